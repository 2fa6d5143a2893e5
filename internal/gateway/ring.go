package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Bounds of the ring of one stream. An event that is longer than ringBytes is taken
// only into an empty ring.
const (
	ringEvents = 64
	ringBytes  = 64 << 10
	// ringSlots has room for the last event of a full ring.
	ringSlots = ringEvents + 1
)

var errRingClosed = errors.New("the caller's stream is closed")

// eventRing holds the encoded events that a caller has not taken yet.
type eventRing struct {
	mu     sync.Mutex
	moved  *sync.Cond
	events [ringSlots][]byte
	head   int
	count  int
	bytes  int
	closed bool
	err    error
}

func newEventRing() *eventRing {
	r := &eventRing{}
	r.moved = sync.NewCond(&r.mu)
	return r
}

func (r *eventRing) fits(event []byte) bool {
	return r.count == 0 || (r.count < ringEvents && r.bytes+len(event) <= ringBytes)
}

// put waits for room, so that a full ring stops the reading from the engine.
func (r *eventRing) put(ctx context.Context, event []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.fits(event) {
		stop := context.AfterFunc(ctx, r.wake)
		defer stop()
	}
	for r.err == nil && !r.closed && ctx.Err() == nil && !r.fits(event) {
		r.moved.Wait()
	}
	switch {
	case r.err != nil:
		return r.err
	case ctx.Err() != nil:
		return context.Cause(ctx)
	case r.closed:
		return errRingClosed
	}
	r.add(event)
	return nil
}

func (r *eventRing) wake() {
	r.mu.Lock()
	r.moved.Broadcast()
	r.mu.Unlock()
}

func (r *eventRing) add(event []byte) {
	r.events[(r.head+r.count)%ringSlots] = event
	r.count++
	r.bytes += len(event)
	r.moved.Broadcast()
}

// take returns the oldest event, or false once the ring is closed and empty.
func (r *eventRing) take() ([]byte, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.count == 0 && !r.closed {
		r.moved.Wait()
	}
	if r.count == 0 {
		return nil, false
	}
	event := r.events[r.head]
	r.events[r.head] = nil
	r.head = (r.head + 1) % ringSlots
	r.count--
	r.bytes -= len(event)
	r.moved.Broadcast()
	return event, true
}

// close ends the ring with a last event, which may exceed the bounds by its own
// length. With discard, events that were not taken are dropped first.
func (r *eventRing) close(last []byte, discard bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if discard {
		r.clear()
	}
	if last != nil && r.err == nil {
		r.add(last)
	}
	r.closed = true
	r.moved.Broadcast()
}

func (r *eventRing) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err = err
	r.clear()
	r.closed = true
	r.moved.Broadcast()
}

func (r *eventRing) clear() {
	r.events, r.head, r.count, r.bytes = [ringSlots][]byte{}, 0, 0, 0
}

// drainTo writes events to the caller until the ring is closed and empty. Each write
// has a deadline, so that a caller that takes nothing does not hold the stream.
func (r *eventRing) drainTo(w http.ResponseWriter, timeout time.Duration) {
	control := http.NewResponseController(w)
	for {
		event, ok := r.take()
		if !ok {
			return
		}
		_ = control.SetWriteDeadline(time.Now().Add(timeout)) // not every writer has one
		if _, err := w.Write(event); err != nil {
			r.fail(errors.Wrap(err, "write to the caller"))
			return
		}
		if err := control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
			r.fail(errors.Wrap(err, "write to the caller"))
			return
		}
	}
}
