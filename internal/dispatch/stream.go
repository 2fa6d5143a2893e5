package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/target"
)

const (
	// defaultStallTimeout is far above the 26 ms between tokens of a healthy engine.
	defaultStallTimeout = 5 * time.Second
	// streamBuffer bounds the events read ahead for a slow caller; when it is full,
	// reading from the engine stops.
	streamBuffer = 64
)

var errStalled = errors.New("the stream is stalled")

// streamItem is an event or the error that ended a stream.
type streamItem struct {
	event target.TokenEvent
	err   error
}

// streamReader reads one stream in its own goroutine, so that a stall can be seen.
type streamReader struct {
	stream target.TokenStream
	items  chan streamItem
	stop   chan struct{}
}

func newStreamReader(s target.TokenStream) *streamReader {
	r := &streamReader{stream: s, items: make(chan streamItem, streamBuffer), stop: make(chan struct{})}
	go r.read()
	return r
}

func (r *streamReader) read() {
	for {
		event, err := r.stream.Next()
		select {
		case r.items <- streamItem{event, err}:
		case <-r.stop:
			return
		}
		if err != nil || event.Done {
			return
		}
	}
}

// next returns the next event, or errStalled after the given silence.
func (r *streamReader) next(ctx context.Context, silence time.Duration) (target.TokenEvent, error) {
	timer := time.NewTimer(silence)
	defer timer.Stop()
	select {
	case item := <-r.items:
		return item.event, item.err
	case <-timer.C:
		return target.TokenEvent{}, errStalled
	case <-ctx.Done():
		return target.TokenEvent{}, ctx.Err()
	}
}

// abandon stops reading without a cancel at the engine, so that the stream can be
// resumed there. The attempt's context must be cancelled as well.
func (r *streamReader) abandon() { close(r.stop) }

// close stops reading and cancels an unfinished stream at the engine.
func (r *streamReader) close() {
	close(r.stop)
	r.stream.Close()
}
