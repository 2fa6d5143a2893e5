package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Bounds of the ring of one stream. An event that is longer than ringBytes is accepted
// only by an empty ring.
const (
	ringEvents = 64
	ringBytes  = 64 << 10
	// ringCapacity leaves room for the final event in a full ring.
	ringCapacity = ringEvents + 1
)

var errRingClosed = errors.New("the caller's stream is closed")

// eventRing buffers the encoded events of a stream that are not yet written to the caller.
type eventRing struct {
	mu      sync.Mutex
	changed *sync.Cond
	events  [ringCapacity][]byte
	head    int
	count   int
	bytes   int
	closed  bool
	err     error
}

func newEventRing() *eventRing {
	r := &eventRing{}
	r.changed = sync.NewCond(&r.mu)
	return r
}

func (r *eventRing) fits(event []byte) bool {
	return r.count == 0 || (r.count < ringEvents && r.bytes+len(event) <= ringBytes)
}

// put adds an event. It waits while the ring is full, which stops reading from the engine.
func (r *eventRing) put(ctx context.Context, event []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.fits(event) {
		stop := context.AfterFunc(ctx, r.broadcast)
		defer stop()
	}
	for r.err == nil && !r.closed && ctx.Err() == nil && !r.fits(event) {
		r.changed.Wait()
	}
	switch {
	case r.err != nil:
		return r.err
	case ctx.Err() != nil:
		return context.Cause(ctx)
	case r.closed:
		return errRingClosed
	}
	r.push(event)
	return nil
}

func (r *eventRing) broadcast() {
	r.mu.Lock()
	r.changed.Broadcast()
	r.mu.Unlock()
}

func (r *eventRing) push(event []byte) {
	r.events[(r.head+r.count)%ringCapacity] = event
	r.count++
	r.bytes += len(event)
	r.changed.Broadcast()
}

// take returns the oldest event, or false once the ring is closed and empty.
func (r *eventRing) take() ([]byte, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.count == 0 && !r.closed {
		r.changed.Wait()
	}
	if r.count == 0 {
		return nil, false
	}
	event := r.events[r.head]
	r.events[r.head] = nil
	r.head = (r.head + 1) % ringCapacity
	r.count--
	r.bytes -= len(event)
	r.changed.Broadcast()
	return event, true
}

// close adds the final event, which may exceed the bounds, and closes the ring. With
// discard it drops all other events first.
func (r *eventRing) close(last []byte, discard bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if discard {
		r.clear()
	}
	if last != nil && r.err == nil {
		r.push(last)
	}
	r.closed = true
	r.changed.Broadcast()
}

// fail drops all events and closes the ring; put then returns err.
func (r *eventRing) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err = err
	r.clear()
	r.closed = true
	r.changed.Broadcast()
}

func (r *eventRing) clear() {
	r.events, r.head, r.count, r.bytes = [ringCapacity][]byte{}, 0, 0, 0
}

// writeTo writes events to the caller until the ring is closed and empty. Each write has a
// deadline, so that a caller that reads nothing does not hold the stream open.
func (r *eventRing) writeTo(w http.ResponseWriter, timeout time.Duration) {
	control := http.NewResponseController(w)
	for {
		event, ok := r.take()
		if !ok {
			return
		}
		_ = control.SetWriteDeadline(time.Now().Add(timeout)) // not all writers support deadlines
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
