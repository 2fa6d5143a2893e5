// Package rollout decides which engines load new weights next. It does no I/O; the
// current time is an argument.
package rollout

import (
	"sort"
	"time"
)

// Engine is an engine that serves the model.
type Engine struct {
	ID string
	// Version is the newest weights version that the engine is known to have.
	Version int64
	// OutdatedFor is the time since a newer version was published.
	OutdatedFor time.Duration
	// InFlight is the number of requests at the engine. They finish before it loads.
	InFlight int
	// Busy reports that the engine is executing a load order.
	Busy bool
	// Ejected engines do not respond to requests. They take no load slot from engines
	// that do.
	Ejected bool
	// NotBefore is when a failed order may be retried.
	NotBefore time.Time
}

// minConcurrent is the number of concurrent loads in a small fleet.
const minConcurrent = 2

// Limits bound a rollout.
type Limits struct {
	// MaxConcurrent is the number of engines that load at the same time; zero means
	// ConcurrentShare of them. Concurrent loads slow each other down, and each takes an
	// engine out of service.
	MaxConcurrent int
	// ConcurrentShare is the share of all engines that load at the same time, above 0 and
	// at most 1.
	ConcurrentShare float64
	// MaxStaleness is the time within which published weights must be loaded; zero
	// means no bound.
	MaxStaleness time.Duration
}

// urgentShare is the share of MaxStaleness after which twice as many engines load at
// the same time: by then orders were lost or engines were slow.
const urgentShare = 0.45

func (l Limits) concurrency(engines int, oldest time.Duration) int {
	n := l.MaxConcurrent
	if n == 0 {
		n = max(minConcurrent, int(l.ConcurrentShare*float64(engines)))
	}
	if l.MaxStaleness > 0 && oldest.Seconds() > urgentShare*l.MaxStaleness.Seconds() {
		n *= 2
	}
	return n
}

// Next returns the engines that should start to load the desired version now. Engines
// with the oldest weights come first, since staleness is bounded, then those with the
// fewest requests; ejected engines come last.
func Next(engines []Engine, desired int64, limits Limits, now time.Time) []string {
	busy := 0
	var oldest time.Duration
	var outdated []Engine
	for _, e := range engines {
		if !e.Ejected {
			oldest = max(oldest, e.OutdatedFor)
		}
		switch {
		case e.Busy && e.Ejected:
		case e.Busy:
			busy++
		case e.Version < desired && !now.Before(e.NotBefore):
			outdated = append(outdated, e)
		}
	}
	sort.Slice(outdated, func(i, j int) bool {
		a, b := outdated[i], outdated[j]
		if a.Ejected != b.Ejected {
			return b.Ejected
		}
		if a.Version != b.Version {
			return a.Version < b.Version
		}
		if a.InFlight != b.InFlight {
			return a.InFlight < b.InFlight
		}
		return a.ID < b.ID
	})
	// At least half of the engines keep serving.
	maxLoading := max(1, len(engines)/2)
	free := max(0, min(limits.concurrency(len(engines), oldest), maxLoading)-busy)
	var out []string
	for _, e := range outdated[:min(free, len(outdated))] {
		out = append(out, e.ID)
	}
	return out
}

// AnyOutdated reports whether an engine has weights older than the desired version.
func AnyOutdated(engines []Engine, desired int64) bool {
	for _, e := range engines {
		if e.Version < desired {
			return true
		}
	}
	return false
}

// TakeoverDelay returns how long a host waits for progress by other hosts before it
// reads the lease. position is the host's index among the live hosts, from 0.
func TakeoverDelay(position int) time.Duration {
	const step = 700 * time.Millisecond
	return time.Duration(position) * step
}
