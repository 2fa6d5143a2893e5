package routing

import "time"

// LinkClass is a priority class of the traffic on the link between regions.
type LinkClass uint8

// The classes, from the highest priority to the lowest.
const (
	LinkControl LinkClass = iota
	LinkRequest
	LinkKVCopy
	LinkSnapshot
	linkClassCount
)

const (
	// DefaultLinkRate is 30 Mb/s in bytes per second.
	DefaultLinkRate = 30e6 / 8
	// linkBurst is the time whose bandwidth may be used at once.
	linkBurst = time.Second
)

// linkReserve is the share of the burst that a class must leave to the classes above
// it. Control traffic may overdraw the budget: it is small and must never wait.
var linkReserve = [linkClassCount]float64{LinkControl: -1, LinkRequest: 0, LinkKVCopy: 0.5, LinkSnapshot: 0.75}

// LinkBudget is a token bucket for one host's share of the bandwidth between regions.
// The zero value allows only control traffic.
type LinkBudget struct {
	// Rate is in bytes per second.
	Rate       float64
	level      float64
	refilledAt time.Time
}

// Allow reports whether bytes of a class may be sent now, and deducts them if so.
func (b *LinkBudget) Allow(class LinkClass, bytes int, now time.Time) bool {
	b.refill(now)
	capacity := b.Rate * linkBurst.Seconds()
	if class != LinkControl && b.level-float64(bytes) < linkReserve[class]*capacity {
		return false
	}
	b.level = max(b.level-float64(bytes), -capacity)
	return true
}

// AllowMessage is Allow for a message that can't be split. One that is larger than the
// class may ever use is allowed on a full budget and overdraws it: in a large region, a
// host's share of the link is smaller than one part of a snapshot.
func (b *LinkBudget) AllowMessage(class LinkClass, bytes int, now time.Time) bool {
	b.refill(now)
	capacity := b.Rate * linkBurst.Seconds()
	if float64(bytes) <= (1-linkReserve[class])*capacity {
		return b.Allow(class, bytes, now)
	}
	if b.Rate <= 0 || b.level < capacity {
		return false
	}
	b.level -= float64(bytes)
	return true
}

// Charge deducts bytes that are sent in any case. It overdraws the budget by at most
// the burst.
func (b *LinkBudget) Charge(bytes int, now time.Time) {
	b.refill(now)
	b.level = max(b.level-float64(bytes), min(b.level, -b.Rate*linkBurst.Seconds()))
}

// Delay returns the predicted seconds until bytes of a class may be sent.
func (b *LinkBudget) Delay(class LinkClass, bytes int, now time.Time) float64 {
	b.refill(now)
	if b.Rate <= 0 {
		return 0
	}
	missing := linkReserve[class]*b.Rate*linkBurst.Seconds() + float64(bytes) - b.level
	return max(0, missing/b.Rate)
}

// Worthwhile reports whether copying bytes over the link takes less time than the
// seconds of prefill that the copy saves.
func (b *LinkBudget) Worthwhile(bytes int, savedSeconds float64) bool {
	return b.Rate > 0 && savedSeconds > float64(bytes)/b.Rate
}

func (b *LinkBudget) refill(now time.Time) {
	capacity := b.Rate * linkBurst.Seconds()
	if b.refilledAt.IsZero() {
		b.level = capacity
	} else if now.After(b.refilledAt) {
		b.level = min(capacity, b.level+now.Sub(b.refilledAt).Seconds()*b.Rate)
	}
	b.refilledAt = now
}
