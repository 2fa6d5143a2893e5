package wire

import (
	"bytes"
	"fmt"
	"testing"
)

var frameSizes = []int{64, 1 << 10, 16 << 10, 256 << 10, 1 << 20}

// BenchmarkEncodeFrame shows the cost of a frame with its MAC by body size.
func BenchmarkEncodeFrame(b *testing.B) {
	for _, size := range frameSizes {
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) {
			f := frame{messageType: TypeProbe, callID: 1, body: make([]byte, size)}
			mac, buffer := newFrameMAC([]byte("key")), []byte(nil)
			b.ReportAllocs()
			for b.Loop() {
				var err error
				if buffer, err = appendFrame(buffer[:0], f, mac); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(buffer)), "frame-bytes")
		})
	}
}

// BenchmarkDecodeFrame shows the cost of reading and verifying a frame by body size.
func BenchmarkDecodeFrame(b *testing.B) {
	for _, size := range frameSizes {
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) {
			encoded, err := appendFrame(nil, frame{messageType: TypeProbe, callID: 1, body: make([]byte, size)}, newFrameMAC([]byte("key")))
			if err != nil {
				b.Fatal(err)
			}
			mac, r := newFrameMAC([]byte("key")), bytes.NewReader(encoded)
			b.ReportAllocs()
			for b.Loop() {
				mac.counter = 0 // the same frame each time
				r.Reset(encoded)
				if _, err := readFrame(r, mac); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
