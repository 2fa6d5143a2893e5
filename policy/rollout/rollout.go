// Package rollout decides which engines load new weights next. It does no I/O; the
// time is an argument.
package rollout

import (
	"sort"
	"time"
)

// Engine is one engine that serves the model.
type Engine struct {
	ID string
	// Version is the weights version that it is known to have.
	Version int64
	// OutdatedFor is for how long a newer version has been named.
	OutdatedFor time.Duration
	// InFlight is the number of requests there; they finish before it loads.
	InFlight int
	// Busy engines carry out an order.
	Busy bool
	// Ejected engines do not answer requests. They take no turn from those that do.
	Ejected bool
	// NotBefore is when the engine may be tried again after a failed order.
	NotBefore time.Time
}

// leastAtOnce is the number of loads at the same time in a small fleet.
const leastAtOnce = 2

// Limits bound a roll-out.
type Limits struct {
	// MaxConcurrent is the number of engines that load at the same time; zero means Share
	// of them. Loads slow each other down, and each takes an engine from the callers.
	MaxConcurrent int
	// ConcurrentShare of all engines loads at the same time, in (0, 1].
	ConcurrentShare float64
	// MaxStaleness is the time within which named weights must be in place; zero means none.
	MaxStaleness time.Duration
}

// urgentShare of the bound is the age of a name from which twice as many engines load
// at the same time: orders were lost, or engines took long.
const urgentShare = 0.45

func (t Limits) atOnce(engines int, oldest time.Duration) int {
	atOnce := t.MaxConcurrent
	if atOnce == 0 {
		atOnce = max(leastAtOnce, int(t.ConcurrentShare*float64(engines)))
	}
	if t.MaxStaleness > 0 && oldest.Seconds() > urgentShare*t.MaxStaleness.Seconds() {
		atOnce *= 2
	}
	return atOnce
}

// Next returns the engines that start to load the wanted version now: those with the
// oldest weights first, since old weights have a time limit, then those with the
// fewest requests.
func Next(engines []Engine, wanted int64, terms Limits, now time.Time) []string {
	busy := 0
	var oldest time.Duration
	var behind []Engine
	for _, e := range engines {
		if !e.Ejected {
			oldest = max(oldest, e.OutdatedFor)
		}
		switch {
		case e.Busy && e.Ejected:
		case e.Busy:
			busy++
		case e.Version < wanted && !now.Before(e.NotBefore):
			behind = append(behind, e)
		}
	}
	sort.Slice(behind, func(i, j int) bool {
		a, b := behind[i], behind[j]
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
	// Half of the engines keep serving.
	mayLeave := max(1, len(engines)/2)
	free := max(0, min(terms.atOnce(len(engines), oldest), mayLeave)-busy)
	var out []string
	for _, e := range behind[:min(free, len(behind))] {
		out = append(out, e.ID)
	}
	return out
}

// AnyOutdated reports whether an engine has weights older than the wanted version.
func AnyOutdated(engines []Engine, wanted int64) bool {
	for _, e := range engines {
		if e.Version < wanted {
			return true
		}
	}
	return false
}

// TakeoverDelay returns how long the host at a position among the live hosts, from 0,
// waits for others to make progress before it reads the lease.
func TakeoverDelay(position int) time.Duration {
	const step = 700 * time.Millisecond
	return time.Duration(position) * step
}
