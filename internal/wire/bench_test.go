package wire

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"
)

var frameSizes = []int{64, 1 << 10, 16 << 10, 256 << 10, 1 << 20}

// BenchmarkEncodeFrame measures encoding a frame with its MAC, by body size.
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

// BenchmarkDecodeFrame measures reading and verifying a frame, by body size.
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
				mac.counter = 0 // each iteration verifies the same frame
				r.Reset(encoded)
				if _, err := readFrame(r, mac); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkCall measures a call and its reply over loopback, by body size. The CPU time
// covers both ends and the kernel.
func BenchmarkCall(b *testing.B) {
	for _, size := range []int{64, 512, 4 << 10, 64 << 10} {
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) {
			credentials, err := SecretCredentials([]byte("a shared secret of the fleet"))
			if err != nil {
				b.Fatal(err)
			}
			s := NewServer(ServerOptions{Self: Peer{HostID: "server"}, Credentials: credentials})
			s.Handle(TypeProbe, echoHandler)
			address, err := s.Listen("127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			b.Cleanup(cancel)
			go func() { _ = s.Serve(ctx) }()
			client := NewClient(ClientOptions{Self: Peer{HostID: "client"}, Credentials: credentials})
			b.Cleanup(client.Close)
			request := &echo{Text: strings.Repeat("x", size)}
			before := cpuTime(b)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if err := client.Call(ctx, address.String(), request, &echo{}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/op")
		})
	}
}

func cpuTime(b *testing.B) time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		b.Fatal(err)
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}
