package routing

import "time"

// LinkClass orders the traffic on the link between regions.
type LinkClass uint8

// The classes, the most important first.
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
	// linkBurst is the time over which the budget may be used up in advance.
	linkBurst = time.Second
)

// linkReserve is the share of the burst that a class must leave to the classes above
// it. Control traffic may overdraw: it is small and must never wait.
var linkReserve = [linkClassCount]float64{LinkControl: -1, LinkRequest: 0, LinkKVCopy: 0.5, LinkSnapshot: 0.75}

// LinkBudget is one host's part of the bandwidth between regions. The zero value
// allows nothing but control traffic.
type LinkBudget struct {
	// Rate is in bytes per second.
	Rate       float64
	level      float64
	refilledAt time.Time
}

// Allow reports whether bytes of a class may be sent now, and counts them.
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
// class may ever use is allowed on an unused budget and leaves a debt: a host's share
// of the link in a large region is smaller than a piece of a snapshot.
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

// Charge counts bytes that are sent in any case, and leaves a debt of at most the burst.
func (b *LinkBudget) Charge(bytes int, now time.Time) {
	b.refill(now)
	b.level = max(b.level-float64(bytes), min(b.level, -b.Rate*linkBurst.Seconds()))
}

// Delay returns the seconds until bytes of a class fit, for predictions.
func (b *LinkBudget) Delay(class LinkClass, bytes int, now time.Time) float64 {
	b.refill(now)
	if b.Rate <= 0 {
		return 0
	}
	missing := linkReserve[class]*b.Rate*linkBurst.Seconds() + float64(bytes) - b.level
	return max(0, missing/b.Rate)
}

// Worthwhile reports whether a copy of bytes saves more time than it takes on the
// link: the seconds of prefill that it replaces against its transfer.
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
