package limit

import (
	"math"
	"slices"
	"time"
)

// useMemory is the time constant of the estimate of recent use. Two lifetimes
// smooth single requests and still follow a surge within seconds.
const useMemory = 2 * DefaultGrantLifetime

// maxQueuedReturns bounds the memory of a holder whose returns nobody collects.
// Tokens beyond it count as spent.
const maxQueuedReturns = 4096

// Grant is a grant as its holder knows it.
type Grant struct {
	ID       GrantID
	Revision uint64
	// Issuer is the inner address that issued the grant and takes returns.
	Issuer  string
	expires time.Time
	free    int64
	// returned counts the tokens that will never be spent.
	returned int64
	queued   bool // in the holder's returns
	// dropped says that the holder no longer spends the grant.
	dropped bool
}

// Return names the tokens of a grant that will not be spent.
type Return struct {
	Issuer string
	ID     GrantID
	// Total counts all tokens returned from the grant so far.
	Total int64
}

// Holder is the set of grants that a host may spend.
type Holder struct {
	terms   Terms
	grants  []*Grant // by expiry
	returns []*Grant // with tokens returned since the last report
	use     float64  // tokens per second
	useAt   time.Time
}

// NewHolder returns a holder without grants.
func NewHolder(terms Terms) *Holder { return &Holder{terms: terms} }

// Accept adds a grant. It expires by the holder's clock one lifetime after the
// request was sent, however late the reply arrives.
func (h *Holder) Accept(now time.Time, g *Grant, tokens int64, sent time.Time) {
	g.expires, g.free = sent.Add(h.terms.GrantLifetime), tokens
	if !now.Before(g.expires) {
		h.drop(g)
		return
	}
	i := len(h.grants)
	for i > 0 && h.grants[i-1].expires.After(g.expires) {
		i--
	}
	h.grants = slices.Insert(h.grants, i, g)
}

// expire drops the grants that may no longer be spent.
func (h *Holder) expire(now time.Time) {
	n := 0
	for n < len(h.grants) && !now.Before(h.grants[n].expires) {
		h.drop(h.grants[n])
		n++
	}
	h.grants = slices.Delete(h.grants, 0, n)
}

// drop ends the spending of a grant.
func (h *Holder) drop(g *Grant) {
	g.dropped = true
	h.giveUp(g, g.free)
}

// giveUp marks tokens of a grant as never to be spent.
func (h *Holder) giveUp(g *Grant, tokens int64) {
	if tokens <= 0 {
		return
	}
	g.free -= tokens
	g.returned += tokens
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

// take spends up to tokens, from the grants that expire first.
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
	return parts
}

// refund gives tokens back to a grant, or to its issuer if it was dropped.
func (h *Holder) refund(now time.Time, g *Grant, tokens int64) {
	h.expire(now)
	g.free += tokens
	if g.dropped {
		h.giveUp(g, tokens)
	}
}

// Returns hands over the returns that are due. All grants are given up if all is
// set, as before a planned stop.
func (h *Holder) Returns(now time.Time, all bool) []Return {
	h.expire(now)
	if all {
		for _, g := range h.grants {
			h.drop(g)
		}
		h.grants = nil
	}
	due := make([]Return, 0, len(h.returns))
	for _, g := range h.returns {
		g.queued = false
		due = append(due, Return{Issuer: g.Issuer, ID: g.ID, Total: g.returned})
	}
	h.returns = nil
	return due
}

// noteUse adds a request to the estimate of recent use.
func (h *Holder) noteUse(now time.Time, tokens int64) {
	h.decayUse(now)
	h.use += float64(tokens) / useMemory.Seconds()
}

func (h *Holder) decayUse(now time.Time) {
	if elapsed := now.Sub(h.useAt); elapsed > 0 {
		h.use *= math.Exp(-elapsed.Seconds() / useMemory.Seconds())
		h.useAt = now
	}
}

// Ask returns how many tokens to ask for in advance: the use expected during one
// lifetime less the tokens that will still be held for half of it. Shortages below
// a quarter of that are not worth a message.
func (h *Holder) Ask(now time.Time) int64 {
	h.expire(now)
	h.decayUse(now)
	expected := h.use * h.terms.GrantLifetime.Seconds()
	var held int64
	for _, g := range h.grants {
		if g.expires.Sub(now) > h.terms.GrantLifetime/2 {
			held += g.free
		}
	}
	short := expected - float64(held)
	if short < 1 || short < expected/4 {
		return 0
	}
	return int64(short)
}
