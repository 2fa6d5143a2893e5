package idempotency

import "time"

// SendDecision is the result of Gate.AllowSend.
type SendDecision int

// The decisions. Only Allowed lets the caller send; AlreadySent means that an earlier
// call was allowed.
const (
	Allowed SendDecision = iota
	AlreadySent
	Closed
	DeadlinePassed
	NotFresh
	ClaimTooOld
)

// Gate lets a claimed request be sent once. It is not safe for concurrent use.
type Gate struct {
	claimedAt time.Time
	maxAge    time.Duration
	state     gateState
}

type gateState int

const (
	gateOpen gateState = iota
	gateSent
	gateClosed
)

// NewGate returns the gate of a claim whose first write was sent at claimedAt, a
// monotonic time. After maxAge it allows no send: a process that was paused in between
// must not act on outdated state.
func NewGate(claimedAt time.Time, maxAge time.Duration) *Gate {
	return &Gate{claimedAt: claimedAt, maxAge: maxAge}
}

// AllowSend returns Allowed at most once. A refusal closes the gate for good, since the
// request is then reported and recorded as not executed. A zero deadline means none.
func (g *Gate) AllowSend(now, deadline time.Time, fresh bool) SendDecision {
	switch {
	case g.state == gateSent:
		return AlreadySent
	case g.state == gateClosed:
		return Closed
	case !deadline.IsZero() && !now.Before(deadline):
		return g.refuse(DeadlinePassed)
	case !fresh:
		return g.refuse(NotFresh)
	case now.Sub(g.claimedAt) >= g.maxAge:
		return g.refuse(ClaimTooOld)
	}
	g.state = gateSent
	return Allowed
}

func (g *Gate) refuse(v SendDecision) SendDecision {
	g.state = gateClosed
	return v
}

// Close refuses every later send.
func (g *Gate) Close() {
	if g.state == gateOpen {
		g.state = gateClosed
	}
}

// Sent reports whether a send was allowed.
func (g *Gate) Sent() bool { return g.state == gateSent }
