package forward

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// responseMemoryDivisor divides the memory limit; the result bounds the parts of
	// responses that are held in memory. targetShareDivisor divides that bound again, so that
	// a target that sends bytes without end leaves room for the responses of others.
	responseMemoryDivisor = 8
	targetShareDivisor    = 8
)

// errResponseMemory means that the host holds too many bytes of responses.
var errResponseMemory = errors.New("the responses in memory exceed their bound")

// responseBudget bounds the bytes of responses that a host holds before it relays them. A
// zero limit means no bound.
type responseBudget struct {
	limit int64
	used  atomic.Int64
}

func newResponseBudget(memoryBytes int64) *responseBudget {
	return &responseBudget{limit: memoryBytes / responseMemoryDivisor}
}

// hold is the part of the budget that one response has taken.
type hold struct {
	budget *responseBudget
	// ofTarget counts what all responses of the target have taken.
	ofTarget *atomic.Int64
	bytes    int64
}

func (b *responseBudget) hold(ofTarget *atomic.Int64) *hold {
	return &hold{budget: b, ofTarget: ofTarget}
}

// take takes bytes that were read. It returns errResponseMemory if too many are held.
func (h *hold) take(n int) error {
	h.bytes += int64(n)
	used, ofTarget := h.budget.used.Add(int64(n)), h.ofTarget.Add(int64(n))
	if limit := h.budget.limit; limit > 0 && (used > limit || ofTarget > limit/targetShareDivisor) {
		return errResponseMemory
	}
	return nil
}

// release gives back all that was taken, since it was relayed or dropped.
func (h *hold) release() {
	h.budget.used.Add(-h.bytes)
	h.ofTarget.Add(-h.bytes)
	h.bytes = 0
}

// heldReader takes from the budget what it reads.
type heldReader struct {
	io.Reader
	hold *hold
}

func (r heldReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if held := r.hold.take(n); held != nil {
		return n, held
	}
	return n, err
}
