package idempotency

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a send after the deadline, with a stale configuration or long
// after the claim, as after a pause, and against a second send.
func TestGateChecksBeforeTheOnlySend(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1000, 0)
	gate := func() *Gate { return NewGate(start, testMaxAge) }
	later := start.Add(time.Second)
	g.Expect(gate().AllowSend(later, later, true)).To(Equal(DeadlinePassed))
	g.Expect(gate().AllowSend(later, later.Add(1), false)).To(Equal(NotFresh))
	g.Expect(gate().AllowSend(start.Add(testMaxAge), time.Time{}, true)).To(Equal(ClaimTooOld))
	g.Expect(gate().AllowSend(start.Add(testMaxAge-1), time.Time{}, true)).To(Equal(Allowed))

	once := gate()
	g.Expect(once.AllowSend(later, time.Time{}, true)).To(Equal(Allowed))
	g.Expect(once.AllowSend(later, time.Time{}, true)).To(Equal(AlreadySent))

	closed := gate()
	closed.Close()
	g.Expect(closed.AllowSend(later, time.Time{}, true)).To(Equal(Closed))
	g.Expect(closed.Sent()).To(BeFalse())
}
