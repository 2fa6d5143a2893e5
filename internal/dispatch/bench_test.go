package dispatch

import (
	"context"
	"encoding/binary"
	"fmt"
	"testing"

	"github.com/sequoiaroad/sequoiaroad/internal/target"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
)

// fixedLengthEngines returns responses with a fixed number of tokens.
type fixedLengthEngines struct {
	*fakeEngines
	tokens int
}

func (e *fixedLengthEngines) Complete(context.Context, *config.Target, *target.CompletionRequest) (target.TokenStream, error) {
	return &fixedLengthStream{remaining: e.tokens}, nil
}

type fixedLengthStream struct{ next, remaining int }

func (s *fixedLengthStream) Next() (target.TokenEvent, error) {
	if s.remaining == 0 {
		return target.TokenEvent{Done: true}, nil
	}
	e := target.TokenEvent{Offset: s.next, Text: "token "}
	s.next++
	if s.remaining--; s.remaining == 0 {
		e.FinishReason = "length"
	}
	return e, nil
}

func (s *fixedLengthStream) Epoch() string { return "e" }
func (s *fixedLengthStream) Close()        {}

// BenchmarkRelay relays a whole response from an in-memory engine to a sink. The slope
// over the number of tokens is the cost of one token in the dispatcher.
func BenchmarkRelay(b *testing.B) {
	for _, tokens := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			f := newFixture(1)
			f.d.options.Engines = &fixedLengthEngines{f.engines, tokens}
			c := completion("a", 1)
			c.MaxOutputTokens = tokens
			b.ReportAllocs()
			for b.Loop() {
				if _, err := f.d.Complete(context.Background(), c, func(Token) error { return nil }); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkSnapshot measures the size and the cost of a routing snapshot by number of
// blocks.
func BenchmarkSnapshot(b *testing.B) {
	for _, blocks := range []int{1 << 12, 1 << 14, 1 << 16, 1 << 18} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			f := newFixture(1)
			d, err := New(Options{Config: f.config, Engines: f.engines, IndexBlocks: 1 << 20})
			if err != nil {
				b.Fatal(err)
			}
			events := make([]target.CacheEvent, blocks)
			for i := range events {
				var h prefix.BlockHash
				binary.LittleEndian.PutUint64(h[:], uint64(i+1)*0x9e3779b97f4a7c15)
				events[i] = target.CacheEvent{Sequence: uint64(i + 1), Hash: h, Stored: true}
			}
			d.ObserveCacheEvents("t0", target.CacheEvents{Epoch: "e", Sequence: uint64(blocks), Events: events})
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				encoded, err := d.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				size = len(encoded)
			}
			b.ReportMetric(float64(size), "snapshot-bytes")
		})
	}
}
