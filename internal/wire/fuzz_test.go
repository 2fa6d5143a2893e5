package wire

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

var fuzzKey = []byte("a session key of thirty-two byte")

func encodeFrame(t testing.TB, mac *frameMAC, f frame) []byte {
	t.Helper()
	out, err := appendFrame(nil, f, mac)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// Guards against a decoder that panics, accepts a frame that the encoder would not
// produce, or reads beyond the frame. Seeds are in testdata and below.
func FuzzReadFrame(f *testing.F) {
	valid := encodeFrame(f, newFrameMAC(fuzzKey), frame{messageType: TypePush, callID: 7, body: []byte("body")})
	f.Add(valid)
	f.Add(valid[:len(valid)-1])
	f.Add(append(bytes.Clone(valid), 1, 2, 3))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bytes.NewReader(data)
		decoded, err := readFrame(r, newFrameMAC(fuzzKey))
		if err != nil {
			return
		}
		consumed := data[:len(data)-r.Len()]
		if !bytes.Equal(encodeFrame(t, newFrameMAC(fuzzKey), decoded), consumed) {
			t.Fatalf("frame %x decodes to %+v, which encodes differently", consumed, decoded)
		}
	})
}

// Guards against an invalid header that is detected only after the body was allocated,
// and against accepting a modified, repeated or reordered frame.
func TestReadFrameRejectsInvalidFrames(t *testing.T) {
	g := NewWithT(t)
	send := newFrameMAC(fuzzKey)
	first := encodeFrame(t, send, frame{messageType: TypeProbe, callID: 1, body: []byte("first")})
	second := encodeFrame(t, send, frame{messageType: TypeProbe, callID: 2, body: []byte("second")})
	change := func(offset int, value byte) []byte {
		changed := bytes.Clone(first)
		changed[offset] = value
		return changed
	}
	for name, c := range map[string]struct {
		data []byte
		want error
	}{
		"too long":      {change(0, 0x7f), ErrFrameLength},
		"too short":     {[]byte{0, 0, 0, minFrameLength - 1}, ErrFrameLength},
		"wrong version": {change(lengthBytes, 9), ErrFrameVersion},
		"type zero":     {change(lengthBytes+versionBytes+1, 0), ErrFrameType},
		"unknown type":  {change(lengthBytes+versionBytes, 1), ErrFrameType},
		"changed body":  {change(lengthBytes+headerBytes, 'F'), ErrFrameMAC},
		"changed call":  {change(lengthBytes+headerBytes-1, 9), ErrFrameMAC},
		"changed MAC":   {change(len(first)-1, first[len(first)-1]^1), ErrFrameMAC},
		"reordered":     {second, ErrFrameMAC},
	} {
		_, err := readFrame(bytes.NewReader(c.data), newFrameMAC(fuzzKey))
		g.Expect(errors.Is(err, c.want)).To(BeTrue(), "%s: %v", name, err)
	}
	receive := newFrameMAC(fuzzKey)
	r := bytes.NewReader(bytes.Join([][]byte{first, second, second}, nil))
	for range 2 {
		_, err := readFrame(r, receive)
		g.Expect(err).NotTo(HaveOccurred())
	}
	_, err := readFrame(r, receive)
	g.Expect(errors.Is(err, ErrFrameMAC)).To(BeTrue(), "repeated frame: %v", err)
}
