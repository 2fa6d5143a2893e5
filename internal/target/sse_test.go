package target

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"
)

func readEvents(r io.Reader) ([]string, error) {
	events := newSSEReader(r)
	var all []string
	for {
		data, err := events.next()
		if err != nil {
			return all, err
		}
		all = append(all, string(data))
	}
}

// Guards against events that are joined, split or truncated without an error.
func TestSSEReaderSplitsEvents(t *testing.T) {
	g := NewWithT(t)
	cases := []struct {
		text   string
		events []string
		err    error
	}{
		{"data: a\n\ndata:b\r\n\r\n", []string{"a", "b"}, io.EOF},
		{": note\nid: 1\nevent: x\ndata: a\ndata: b\n\n", []string{"a\nb"}, io.EOF},
		{"data: a\n\ndata: part", []string{"a"}, io.ErrUnexpectedEOF},
		{"data: a\n", nil, io.ErrUnexpectedEOF},
		{"\n\n: only notes\n\n", nil, io.EOF},
		{"data\n\n", []string{""}, io.EOF},
		{"data: " + strings.Repeat("x", maxEventBytes) + "\n\n", nil, errEventTooLong},
		{strings.Repeat("data: "+strings.Repeat("x", 1000)+"\n", 300) + "\n", nil, errEventTooLong},
	}
	for _, c := range cases {
		events, err := readEvents(iotest.OneByteReader(strings.NewReader(c.text)))
		g.Expect(err).To(Equal(c.err), "%.40q", c.text)
		g.Expect(events).To(Equal(c.events), "%.40q", c.text)
	}
}

// Guards against events that depend on how the bytes arrive, and against events above
// the size limit.
func FuzzSSE(f *testing.F) {
	for _, seed := range []string{"data: a\n\n", "data: a\r\n\r\n", ": c\ndata: a\ndata: b\n\n", "data: {\"id\":\"r\"}\n\ndata: [DONE]\n\n", "id\n\n", "data"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		whole, wholeErr := readEvents(strings.NewReader(text))
		split, splitErr := readEvents(iotest.OneByteReader(strings.NewReader(text)))
		if strings.Join(whole, "\x00") != strings.Join(split, "\x00") || wholeErr != splitErr {
			t.Fatalf("the events depend on how the bytes arrive: %q %v, %q %v", whole, wholeErr, split, splitErr)
		}
		for _, e := range whole {
			if len(e) > maxEventBytes {
				t.Fatalf("an event has %d bytes", len(e))
			}
		}
	})
}
