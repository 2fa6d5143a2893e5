package routing

import (
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/preset"
)

const (
	// maxEjection bounds the duration of an ejection, which doubles with each one.
	maxEjection = time.Minute
	// initialShare is the share of choices that a target may get at the start of its
	// reinstatement.
	initialShare = 0.1
)

// Health ejects a target that fails repeatedly and reinstates it gradually. The zero
// value is a healthy target.
type Health struct {
	failures     int
	ejections    int
	ejectedUntil time.Time
	// reinstatedAt is when the target takes full traffic again after an ejection.
	reinstatedAt time.Time
	// credit grows with each choice by the target's share of choices during
	// reinstatement; at 1 the target is usable for one choice.
	credit float64
}

// Failed records a failure and reports whether it ejected the target.
func (h *Health) Failed(k *preset.Knobs, now time.Time) bool {
	h.failures++
	reinstating := now.Before(h.reinstatedAt) && !now.Before(h.ejectedUntil)
	if k.EjectAfter == 0 || h.failures < k.EjectAfter && !reinstating {
		return false
	}
	if now.Before(h.ejectedUntil) {
		return false // late failure of a request sent before the ejection
	}
	duration := min(k.EjectFor<<min(h.ejections, 10), maxEjection)
	h.ejections++
	h.failures = 0
	h.ejectedUntil = now.Add(duration)
	h.reinstatedAt = h.ejectedUntil.Add(k.ReinstateOver)
	h.credit = 0
	return true
}

// Succeeded records a success.
func (h *Health) Succeeded(now time.Time) {
	h.failures = 0
	if !now.Before(h.reinstatedAt) {
		h.ejections = 0
	}
}

// State returns whether the target may be chosen now. During reinstatement the target
// may get only a growing share of choices; each call counts as one.
func (h *Health) State(k *preset.Knobs, now time.Time) Exclusion {
	if h.reinstatedAt.IsZero() || !now.Before(h.reinstatedAt) {
		return Usable
	}
	if now.Before(h.ejectedUntil) {
		return Ejected
	}
	share := 1.0
	if k.ReinstateOver > 0 {
		share = max(initialShare, 1-h.reinstatedAt.Sub(now).Seconds()/k.ReinstateOver.Seconds())
	}
	if h.credit += share; h.credit >= 1 {
		h.credit--
		return Usable
	}
	return Reinstating
}

// peek is State without counting a choice.
func (h Health) peek(k *preset.Knobs, now time.Time) Exclusion { return h.State(k, now) }

// RetryBudget limits retries to a share of recent requests, so that retries can't
// multiply an overload. The zero value allows no retry until its first request.
type RetryBudget struct {
	balance     float64
	initialized bool
}

// Request adds the retry share of one request to the budget.
func (b *RetryBudget) Request(k *preset.Knobs) {
	if !b.initialized {
		b.initialized, b.balance = true, k.RetryFloor
	}
	// The floor is also the cap, so that the budget does not accumulate over an hour with
	// few failures and then allow a burst of retries.
	b.balance = min(b.balance+k.RetryShare, max(k.RetryFloor, 1))
}

// Take reports whether a retry is allowed, and deducts it if so.
func (b *RetryBudget) Take() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
