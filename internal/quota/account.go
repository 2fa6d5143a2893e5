package quota

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sequoiaroad/sequoiaroad/internal/refusal"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/limit"
)

// maxWaiters bounds the waiting reservations of one account on one host.
const maxWaiters = 1024

// account is the state of one account on this host.
type account struct {
	id string

	mu    sync.Mutex
	state *limit.Account
	homes []config.Member // the owner first
	// previousHomes are the homes before the revision of the handover in progress.
	previousHomes []config.Member
	waiters       []*waiter   // in order of arrival
	timer         *time.Timer // calls serveWaiters when refill should cover the first waiter
	requesting    bool
	removed       bool // from the configuration
	// retryAt is the earliest time of the next request for unmetNeed tokens or
	// more, according to the last replies of the homes.
	retryAt   time.Time
	unmetNeed int64
	// homesUnreachable is set if no reply to the last request for grants showed whether
	// the account exceeds its rate.
	homesUnreachable bool

	reserved, granted, refused atomic.Int64
}

// waiter is a reservation that waits for tokens.
type waiter struct {
	tokens   int64
	deadline time.Time
	result   chan waitResult // buffered; receives exactly one value unless the wait is canceled
}

type waitResult struct {
	reservation *limit.Reservation
	err         error
}

// waitingTokens returns the tokens that the waiters need.
func (a *account) waitingTokens() int64 {
	var sum int64
	for _, w := range a.waiters {
		sum += w.tokens
	}
	return sum
}

// waitForTokens queues a reservation if tokens are expected within the maximum wait.
// a.mu is held on entry and released on return.
func (l *FleetLimiter) waitForTokens(ctx context.Context, a *account, now time.Time, tokens int64) (Reservation, error) {
	maxWait := time.Duration(l.maxWait.Load())
	w := &waiter{tokens: tokens, deadline: now.Add(maxWait), result: make(chan waitResult, 1)}
	if tokens < a.unmetNeed && len(a.waiters) == 0 {
		a.retryAt = now
	}
	if maxWait == 0 || len(a.waiters) >= maxWaiters || l.unservable(a, now, a.waitingTokens()+tokens, w.deadline) {
		err := l.refuse(a, now, tokens)
		a.mu.Unlock()
		return nil, err
	}
	a.waiters = append(a.waiters, w)
	l.serveWaiters(a, now)
	a.mu.Unlock()

	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case r := <-w.result:
		return l.unwrapResult(a, r)
	case <-ctx.Done():
	case <-timer.C:
	}
	return l.cancelWait(ctx, a, w)
}

// unservable reports whether neither the host's own pool nor the other homes can be
// expected to provide the tokens before the deadline.
func (l *FleetLimiter) unservable(a *account, now time.Time, tokens int64, deadline time.Time) bool {
	if a.takingOver(now) || a.requesting || a.retryAt.Before(deadline) && l.hasOtherHomes(a) {
		return false
	}
	ownWait, ok := l.ownPoolWait(a, now, tokens)
	return !ok || now.Add(ownWait).After(deadline)
}

func (l *FleetLimiter) hasOtherHomes(a *account) bool {
	return len(a.homes) > 1 || len(a.homes) == 1 && !l.isSelf(a.homes[0])
}

// refuseUnservable ends the waits that cannot succeed, so that a caller receives its
// retry time without waiting further. a.mu is held.
func (l *FleetLimiter) refuseUnservable(a *account, now time.Time) {
	waiters := a.waiters
	a.waiters = nil
	for _, w := range waiters {
		if l.unservable(a, now, a.waitingTokens()+w.tokens, w.deadline) {
			w.result <- waitResult{err: l.refuse(a, now, w.tokens)}
			continue
		}
		a.waiters = append(a.waiters, w)
	}
}

// ownPoolWait returns the time until the host's own pool alone provides the tokens, and
// false if the host has no pool.
func (l *FleetLimiter) ownPoolWait(a *account, now time.Time, tokens int64) (time.Duration, bool) {
	pool := a.state.Pool()
	if pool == nil {
		return 0, false
	}
	missing := tokens - a.state.Holder().Free(now)
	level := pool.Level(now)
	rate := pool.Rate()
	if wait, ok := pool.TimeUntil(now, missing); ok {
		return wait, true
	}
	// More than the burst: earlier waiters spend tokens while the pool refills.
	return time.Duration((float64(missing) - level) / rate * float64(time.Second)), true
}

func (l *FleetLimiter) unwrapResult(a *account, r waitResult) (Reservation, error) {
	if r.err != nil {
		return nil, r.err
	}
	return l.newReservation(a, r.reservation), nil
}

// cancelWait removes a waiter and refuses its reservation, unless the result arrived at
// the same time.
func (l *FleetLimiter) cancelWait(ctx context.Context, a *account, w *waiter) (Reservation, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case r := <-w.result:
		return l.unwrapResult(a, r)
	default:
	}
	a.waiters = slices.DeleteFunc(a.waiters, func(x *waiter) bool { return x == w })
	now := l.clock()
	err := l.refuse(a, now, w.tokens)
	l.serveWaiters(a, now)
	if ctx.Err() != nil {
		return nil, refusal.From(err).WithCause(ctx.Err())
	}
	return nil, err
}

// refuse counts a refusal and returns its error. a.mu is held.
func (l *FleetLimiter) refuse(a *account, now time.Time, tokens int64) error {
	a.refused.Add(1)
	pool := a.state.Pool()
	if l.shortageInconclusive(a, now) {
		l.countRefusalWithinRate(a.id)
	}
	r := refusal.New(refusal.RateLimited, "client account %q has too few tokens left for %d", a.id, tokens)
	retry := time.Duration(0)
	if pool != nil {
		retry, _ = l.ownPoolWait(a, now, a.waitingTokens()+tokens)
	}
	if wait := a.retryAt.Sub(now); pool == nil && wait > 0 {
		retry = wait
	}
	r = r.WithRetryAfter(max(retry, time.Millisecond))
	for _, h := range a.homes {
		r.Addresses = append(r.Addresses, h.CallerAddress)
	}
	return r
}

// shortageInconclusive reports whether a lack of tokens does not show that the account
// exceeds its rate: the homes are unreachable or have just taken over.
func (l *FleetLimiter) shortageInconclusive(a *account, now time.Time) bool {
	if a.state.Role().Rank == 0 {
		return !a.state.Pool().Started(now) || a.takingOver(now)
	}
	return a.homesUnreachable || len(a.homes) == 0
}

// refuseAll marks an account as removed and ends all its waits. a.mu is held.
func (l *FleetLimiter) refuseAll(a *account) {
	a.removed = true
	for _, w := range a.waiters {
		w.result <- waitResult{err: refusal.New(refusal.NotFound, "client account %q was removed", a.id)}
	}
	a.waiters = nil
	if a.timer != nil {
		a.timer.Stop()
	}
}

// serveWaiters reserves tokens for the waiters in order of arrival and schedules the next
// attempt. a.mu is held.
func (l *FleetLimiter) serveWaiters(a *account, now time.Time) {
	if len(a.waiters) == 0 {
		return
	}
	// If the role is not current, apply replaces it soon and calls serveWaiters again.
	if fresh, current := l.freshAndCurrent(a, now); !fresh || !current {
		return
	}
	for len(a.waiters) > 0 {
		w := a.waiters[0]
		r, ok := a.state.Reserve(now, w.tokens)
		if !ok {
			break
		}
		a.reserved.Add(w.tokens)
		a.waiters = slices.Delete(a.waiters, 0, 1)
		w.result <- waitResult{reservation: r}
	}
	if len(a.waiters) > 0 {
		l.scheduleServe(a, now)
	}
}

// scheduleServe starts a request for grants if one is due and sets a timer for the first
// waiter. a.mu is held.
func (l *FleetLimiter) scheduleServe(a *account, now time.Time) {
	next := time.Duration(l.maxWait.Load())
	if pool := a.state.Pool(); pool != nil {
		missing := a.waiters[0].tokens - a.state.Holder().Free(now)
		if wait, ok := pool.TimeUntil(now, missing); ok {
			next = min(next, wait)
		}
	}
	if !a.requesting && l.hasOtherHomes(a) {
		if wait := a.retryAt.Sub(now); wait > 0 {
			next = min(next, wait)
		} else {
			a.requesting = true
			go l.requestForWaiters(a)
		}
	}
	if a.takingOver(now) {
		next = min(next, minRetryInterval)
	}
	if a.timer != nil {
		a.timer.Stop()
	}
	a.timer = time.AfterFunc(max(next, time.Millisecond), func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		l.serveWaiters(a, l.clock())
	})
}
