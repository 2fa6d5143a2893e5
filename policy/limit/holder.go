package limit

import (
	"math"
	"slices"
	"time"
)

// useTimeConstant is the time constant of the estimate of recent use. Two lifetimes
// smooth single requests and still follow a surge within seconds.
const useTimeConstant = 2 * DefaultGrantLifetime

// maxQueuedReturns bounds the memory of a holder whose returns are not sent. Tokens of
// further grants count as spent.
const maxQueuedReturns = 4096

// Grant is the record that a holder keeps of a grant.
type Grant struct {
	ID       GrantID
	Revision uint64
	// Issuer is the inner address of the host that issued the grant and accepts its
	// returns.
	Issuer  string
	expires time.Time
	free    int64
	// returned counts the tokens that will never be spent.
	returned int64
	queued   bool // in the holder's returns
	// closed is true if the holder no longer spends the grant, which it has reported or
	// will report to the issuer. Tokens refunded to a closed grant go back to the
	// issuer.
	closed bool
}

// Return closes a grant and reports the tokens that will not be spent.
type Return struct {
	Issuer string
	ID     GrantID
	// Total counts all tokens returned from the grant so far.
	Total int64
}

// Holder is the set of grants that a host may spend.
type Holder struct {
	timing       Timing
	grants       []*Grant // by expiry
	returns      []*Grant // closed, with returns not yet reported
	useRate      float64  // tokens per second
	useUpdatedAt time.Time
}

// NewHolder returns a holder without grants.
func NewHolder(timing Timing) *Holder { return &Holder{timing: timing} }

// Accept adds a grant. It expires by the holder's clock one lifetime after the
// request was sent, however late the reply arrives.
func (h *Holder) Accept(now time.Time, g *Grant, tokens int64, sent time.Time) {
	g.expires, g.free = sent.Add(h.timing.GrantLifetime), tokens
	if !now.Before(g.expires) {
		h.closeGrant(g)
		return
	}
	i := len(h.grants)
	for i > 0 && h.grants[i-1].expires.After(g.expires) {
		i--
	}
	h.grants = slices.Insert(h.grants, i, g)
}

// expire closes the grants that may no longer be spent.
func (h *Holder) expire(now time.Time) {
	n := 0
	for n < len(h.grants) && !now.Before(h.grants[n].expires) {
		h.closeGrant(h.grants[n])
		n++
	}
	h.grants = slices.Delete(h.grants, 0, n)
}

// closeGrant ends the spending of a grant and returns its free tokens to the issuer.
func (h *Holder) closeGrant(g *Grant) {
	g.closed = true
	h.returnTokens(g, g.free)
}

// returnTokens marks tokens of a grant as never to be spent.
func (h *Holder) returnTokens(g *Grant, tokens int64) {
	g.free -= tokens
	g.returned += tokens
	h.enqueueReturn(g)
}

// enqueueReturn queues the report of a closed grant to its issuer. A spent grant is
// reported too: it then stops counting as outstanding, so that refill can go on.
func (h *Holder) enqueueReturn(g *Grant) {
	if !g.queued && len(h.returns) < maxQueuedReturns {
		g.queued = true
		h.returns = append(h.returns, g)
	}
}

// Free returns the tokens that may be spent now.
func (h *Holder) Free(now time.Time) int64 {
	h.expire(now)
	var free int64
	for _, g := range h.grants {
		free += g.free
	}
	return free
}

// take spends up to the given number of tokens, from the grants that expire first, and
// appends what it took to parts.
func (h *Holder) take(tokens int64, parts []part) []part {
	for _, g := range h.grants {
		if tokens == 0 {
			break
		}
		n := min(tokens, g.free)
		if n == 0 {
			continue
		}
		g.free -= n
		tokens -= n
		parts = append(parts, part{grant: g, tokens: n})
	}
	h.grants = slices.DeleteFunc(h.grants, func(g *Grant) bool {
		if g.free == 0 {
			h.closeGrant(g)
		}
		return g.closed
	})
	return parts
}

// refund credits tokens to a grant, or returns them to its issuer if the grant is closed.
func (h *Holder) refund(now time.Time, g *Grant, tokens int64) {
	h.expire(now)
	g.free += tokens
	if g.closed {
		h.returnTokens(g, tokens)
	}
}

// TakeReturns removes and returns the reports that are due to all issuers. If all is
// set, it closes all grants first, as before a planned stop.
func (h *Holder) TakeReturns(now time.Time, all bool) []Return {
	h.expire(now)
	if all {
		for _, g := range h.grants {
			h.closeGrant(g)
		}
		h.grants = nil
	}
	return h.removeReturns(func(*Grant) bool { return true })
}

// TakeReturnsTo removes and returns the reports that are due to one issuer.
func (h *Holder) TakeReturnsTo(now time.Time, issuer string) []Return {
	h.expire(now)
	return h.removeReturns(func(g *Grant) bool { return g.Issuer == issuer })
}

func (h *Holder) removeReturns(chosen func(*Grant) bool) []Return {
	var due []Return
	h.returns = slices.DeleteFunc(h.returns, func(g *Grant) bool {
		if !chosen(g) {
			return false
		}
		g.queued = false
		due = append(due, Return{Issuer: g.Issuer, ID: g.ID, Total: g.returned})
		return true
	})
	return due
}

// recordUse adds a request to the estimate of recent use.
func (h *Holder) recordUse(now time.Time, tokens int64) {
	h.decayUseRate(now)
	h.useRate += float64(tokens) / useTimeConstant.Seconds()
}

func (h *Holder) decayUseRate(now time.Time) {
	if elapsed := now.Sub(h.useUpdatedAt); elapsed > 0 {
		h.useRate *= math.Exp(-elapsed.Seconds() / useTimeConstant.Seconds())
		h.useUpdatedAt = now
	}
}

// PrefetchTokens returns how many tokens to request in advance: the use expected during
// one lifetime less the tokens that will still be held for half of it. A shortage below
// a quarter of the expected use is not worth a message.
func (h *Holder) PrefetchTokens(now time.Time) int64 {
	h.expire(now)
	h.decayUseRate(now)
	expected := h.useRate * h.timing.GrantLifetime.Seconds()
	var held int64
	for _, g := range h.grants {
		if g.expires.Sub(now) > h.timing.GrantLifetime/2 {
			held += g.free
		}
	}
	shortage := expected - float64(held)
	if shortage < 1 || shortage < expected/4 {
		return 0
	}
	return int64(shortage)
}
