package wire

import (
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ErrRingFull means that the send ring of a connection is full.
var ErrRingFull = errors.New("the send ring is full")

// errConnectionClosed means that the connection of the send ring has ended.
var errConnectionClosed = errors.New("the connection has ended")

// sendRing is a bounded FIFO queue of messages for the writer of a connection. A full ring
// drops its oldest digest to make room; if it has no digest, it rejects the new message.
type sendRing struct {
	mu      sync.Mutex
	entries []outgoing
	first   int
	count   int
	closed  bool
	// ready is signaled when an entry was added.
	ready chan struct{}
	// drops counts digests dropped and entries rejected because the ring was full.
	drops *atomic.Uint64
}

// outgoing is a message that waits for the writer of a connection.
type outgoing struct {
	frame frame
	// isCanceled reports whether the call has ended without a reply; nil means never.
	isCanceled func() bool
	// onDrop is called with the reason if the message is not sent; it may be nil.
	onDrop func(error)
}

func newSendRing(size int, drops *atomic.Uint64) *sendRing {
	return &sendRing{entries: make([]outgoing, size), ready: make(chan struct{}, 1), drops: drops}
}

func (r *sendRing) at(i int) *outgoing { return &r.entries[(r.first+i)%len(r.entries)] }

// push adds an entry without blocking.
func (r *sendRing) push(o outgoing) error {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return errConnectionClosed
	}
	var evicted outgoing
	if r.count == len(r.entries) {
		r.drops.Add(1)
		var found bool
		if evicted, found = r.removeOldestDigest(); !found {
			r.mu.Unlock()
			return ErrRingFull
		}
	}
	*r.at(r.count) = o
	r.count++
	r.mu.Unlock()
	if evicted.onDrop != nil {
		evicted.onDrop(ErrRingFull)
	}
	r.signal()
	return nil
}

func (r *sendRing) removeOldestDigest() (outgoing, bool) {
	for i := range r.count {
		if r.at(i).frame.messageType != TypeDigest {
			continue
		}
		oldest := *r.at(i)
		for j := i; j < r.count-1; j++ {
			*r.at(j) = *r.at(j + 1)
		}
		*r.at(r.count - 1) = outgoing{}
		r.count--
		return oldest, true
	}
	return outgoing{}, false
}

func (r *sendRing) signal() {
	select {
	case r.ready <- struct{}{}:
	default:
	}
}

// pop removes the oldest entry. It returns false if the ring is empty.
func (r *sendRing) pop() (outgoing, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == 0 {
		return outgoing{}, false
	}
	o := *r.at(0)
	*r.at(0) = outgoing{}
	r.first = (r.first + 1) % len(r.entries)
	r.count--
	return o, true
}

// close rejects further entries and drops the queued ones.
func (r *sendRing) close(reason error) {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	for {
		o, ok := r.pop()
		if !ok {
			return
		}
		if o.onDrop != nil {
			o.onDrop(reason)
		}
	}
}
