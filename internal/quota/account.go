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

// maxWaiters bounds the reservations of one account that wait on one host.
const maxWaiters = 1024

// account is the state of one account on this host.
type account struct {
	id string

	mu    sync.Mutex
	state *limit.Account
	homes []config.Member // the owner first
	// previous are the homes before the revision of the handover under way.
	previous []config.Member
	waiters  []*waiter   // in order of arrival
	timer    *time.Timer // calls serve when refill should reach the first waiter
	asking   bool
	removed  bool // from the configuration
	// askAfter is the earliest time of the next request for shortNeed tokens or
	// more, as far as the homes have said.
	askAfter  time.Time
	shortNeed int64
	// homesOut says that the last request for grants reached no home that could
	// tell whether the account exceeds its rate.
	homesOut bool

	reserved, granted, refused atomic.Int64
}

// waiter is a reservation that waits for tokens.
type waiter struct {
	tokens   int64
	deadline time.Time
	result   chan waitResult // buffered, gets exactly one value unless abandoned
}

type waitResult struct {
	reservation *limit.Reservation
	err         error
}

// waiting returns the tokens that the waiters need.
func (a *account) waiting() int64 {
	var sum int64
	for _, w := range a.waiters {
		sum += w.tokens
	}
	return sum
}

// wait queues a reservation if tokens are expected in time. a.mu is held on entry
// and free on return.
func (l *FleetLimiter) wait(ctx context.Context, a *account, now time.Time, tokens int64) (Reservation, error) {
	maxWait := time.Duration(l.maxWait.Load())
	w := &waiter{tokens: tokens, deadline: now.Add(maxWait), result: make(chan waitResult, 1)}
	if tokens < a.shortNeed && len(a.waiters) == 0 {
		a.askAfter = now
	}
	if maxWait == 0 || len(a.waiters) >= maxWaiters || l.hopeless(a, now, a.waiting()+tokens, w.deadline) {
		err := l.refuse(a, now, tokens)
		a.mu.Unlock()
		return nil, err
	}
	a.waiters = append(a.waiters, w)
	l.serve(a, now)
	a.mu.Unlock()

	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case r := <-w.result:
		return l.finish(a, r)
	case <-ctx.Done():
	case <-timer.C:
	}
	return l.abandon(ctx, a, w)
}

// hopeless reports whether neither the host's own pool nor the other homes can be
// expected to provide the tokens before the deadline.
func (l *FleetLimiter) hopeless(a *account, now time.Time, tokens int64, deadline time.Time) bool {
	if a.takingOver(now) || a.asking || a.askAfter.Before(deadline) && l.hasOtherHomes(a) {
		return false
	}
	own, ok := l.ownWait(a, now, tokens)
	return !ok || now.Add(own).After(deadline)
}

func (l *FleetLimiter) hasOtherHomes(a *account) bool {
	return len(a.homes) > 1 || len(a.homes) == 1 && !l.isSelf(a.homes[0])
}

// refuseHopeless ends the waits that cannot succeed, so that a caller learns early
// when to try again. a.mu is held.
func (l *FleetLimiter) refuseHopeless(a *account, now time.Time) {
	waiters := a.waiters
	a.waiters = nil
	for _, w := range waiters {
		if l.hopeless(a, now, a.waiting()+w.tokens, w.deadline) {
			w.result <- waitResult{err: l.refuse(a, now, w.tokens)}
			continue
		}
		a.waiters = append(a.waiters, w)
	}
}

// ownWait returns when the host's own pool alone provides the tokens, and false if
// it has none.
func (l *FleetLimiter) ownWait(a *account, now time.Time, tokens int64) (time.Duration, bool) {
	pool := a.state.Pool()
	if pool == nil {
		return 0, false
	}
	short := tokens - a.state.Holder().Free(now)
	level := pool.Level(now)
	rate := pool.Rate()
	if wait, ok := pool.TimeUntil(now, short); ok {
		return wait, true
	}
	// More than the burst: the waiters before this one empty the pool on the way.
	return time.Duration((float64(short) - level) / rate * float64(time.Second)), true
}

func (l *FleetLimiter) finish(a *account, r waitResult) (Reservation, error) {
	if r.err != nil {
		return nil, r.err
	}
	return l.reservation(a, r.reservation), nil
}

// abandon ends a wait without tokens, unless they came at the same time.
func (l *FleetLimiter) abandon(ctx context.Context, a *account, w *waiter) (Reservation, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case r := <-w.result:
		return l.finish(a, r)
	default:
	}
	a.waiters = slices.DeleteFunc(a.waiters, func(x *waiter) bool { return x == w })
	now := l.clock()
	err := l.refuse(a, now, w.tokens)
	l.serve(a, now)
	if ctx.Err() != nil {
		return nil, refusal.From(err).WithCause(ctx.Err())
	}
	return nil, err
}

// refuse counts a refusal and returns its error. a.mu is held.
func (l *FleetLimiter) refuse(a *account, now time.Time, tokens int64) error {
	a.refused.Add(1)
	pool := a.state.Pool()
	if l.homesUnable(a, now) {
		l.countWithinRate(a.id)
	}
	r := refusal.New(refusal.RateLimited, "client account %q has too few tokens left for %d", a.id, tokens)
	retry := time.Duration(0)
	if pool != nil {
		retry, _ = l.ownWait(a, now, a.waiting()+tokens)
	}
	if wait := a.askAfter.Sub(now); pool == nil && wait > 0 {
		retry = wait
	}
	r = r.WithRetryAfter(max(retry, time.Millisecond))
	for _, h := range a.homes {
		r.Addresses = append(r.Addresses, h.CallerAddress)
	}
	return r
}

// homesUnable reports whether a lack of tokens says nothing about the account's
// use: the homes cannot be asked or have just taken over.
func (l *FleetLimiter) homesUnable(a *account, now time.Time) bool {
	if a.state.Role().Rank == 0 {
		return !a.state.Pool().Started(now) || a.takingOver(now)
	}
	return a.homesOut || len(a.homes) == 0
}

// refuseAll ends all waits, as for an account that was removed. a.mu is held.
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

// serve gives tokens to the waiters in their order and arranges the next try.
// a.mu is held.
func (l *FleetLimiter) serve(a *account, now time.Time) {
	if len(a.waiters) == 0 {
		return
	}
	// A role that is not current is applied soon, which calls serve again.
	if fresh, current := l.mayAct(a, now); !fresh || !current {
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
		l.arrange(a, now)
	}
}

// arrange asks for grants or sets a timer for the first waiter. a.mu is held.
func (l *FleetLimiter) arrange(a *account, now time.Time) {
	next := time.Duration(l.maxWait.Load())
	if pool := a.state.Pool(); pool != nil {
		short := a.waiters[0].tokens - a.state.Holder().Free(now)
		if wait, ok := pool.TimeUntil(now, short); ok {
			next = min(next, wait)
		}
	}
	if !a.asking && l.hasOtherHomes(a) {
		if wait := a.askAfter.Sub(now); wait > 0 {
			next = min(next, wait)
		} else {
			a.asking = true
			go l.ask(a)
		}
	}
	if a.takingOver(now) {
		next = min(next, retryPause)
	}
	if a.timer != nil {
		a.timer.Stop()
	}
	a.timer = time.AfterFunc(max(next, time.Millisecond), func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		l.serve(a, l.clock())
	})
}
