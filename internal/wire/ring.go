package wire

import (
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ErrRingFull means that the send ring of a connection has no room.
var ErrRingFull = errors.New("the send ring is full")

// errRingClosed means that the connection of the ring has ended.
var errRingClosed = errors.New("the connection has ended")

// ring is a bounded first-in first-out buffer between goroutines. A full ring
// drops its oldest digest in favor of the new entry and otherwise refuses it.
type ring struct {
	mu      sync.Mutex
	entries []outgoing
	first   int
	count   int
	closed  bool
	// ready holds a token while the ring may have entries.
	ready chan struct{}
	// drops counts digests dropped and entries refused because the ring was full.
	drops *atomic.Uint64
}

// outgoing is a message that waits for the writer of a connection.
type outgoing struct {
	frame frame
	// canceled reports that nobody waits for the answer any more; nil means never.
	canceled func() bool
	// dropped is told why the message was not sent; nil is allowed.
	dropped func(error)
}

func newRing(size int, drops *atomic.Uint64) *ring {
	return &ring{entries: make([]outgoing, size), ready: make(chan struct{}, 1), drops: drops}
}

func (r *ring) at(i int) *outgoing { return &r.entries[(r.first+i)%len(r.entries)] }

// push adds an entry without blocking.
func (r *ring) push(o outgoing) error {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return errRingClosed
	}
	var victim outgoing
	if r.count == len(r.entries) {
		r.drops.Add(1)
		var found bool
		if victim, found = r.removeOldestDigest(); !found {
			r.mu.Unlock()
			return ErrRingFull
		}
	}
	*r.at(r.count) = o
	r.count++
	r.mu.Unlock()
	if victim.dropped != nil {
		victim.dropped(ErrRingFull)
	}
	r.signal()
	return nil
}

func (r *ring) removeOldestDigest() (outgoing, bool) {
	for i := range r.count {
		if r.at(i).frame.messageType != TypeDigest {
			continue
		}
		victim := *r.at(i)
		for j := i; j < r.count-1; j++ {
			*r.at(j) = *r.at(j + 1)
		}
		*r.at(r.count - 1) = outgoing{}
		r.count--
		return victim, true
	}
	return outgoing{}, false
}

func (r *ring) signal() {
	select {
	case r.ready <- struct{}{}:
	default:
	}
}

// pop removes the oldest entry; false if the ring is empty.
func (r *ring) pop() (outgoing, bool) {
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

// close refuses further entries and drops those that wait.
func (r *ring) close(reason error) {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	for {
		o, ok := r.pop()
		if !ok {
			return
		}
		if o.dropped != nil {
			o.dropped(reason)
		}
	}
}
