// Package queue orders the requests that wait for one target. It uses deficit round
// robin over client accounts, in tokens of uncached work, and a limit of requests in
// flight that adapts to the measured delay. It has no goroutines; the current time is
// an argument.
package queue

import (
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/policy/preset"
)

// The errors of Push.
var (
	ErrFull        = errors.New("the target's queue is full")
	ErrAccountFull = errors.New("the account's share of the target's queue is full")
	ErrDeadline    = errors.New("the deadline can't be met")
)

// Item is a waiting request.
type Item[T any] struct {
	ID      uint64
	Account string
	// Tokens is the uncached work; values below 1 count as 1.
	Tokens int
	// Deadline is the latest time for the first token; zero means no deadline.
	Deadline time.Time
	// OverRate reports that the account is above its rate. The item waits until no item
	// of an account within its rate is left.
	OverRate bool
	Value    T
}

// account holds one client account's items in one class.
type account[T any] struct {
	name    string
	items   []Item[T]
	deficit int
	// next and previous link the ring of accounts with waiting items.
	next, previous *account[T]
}

// class is a round-robin ring of accounts: those within their rate, or those above it.
type class[T any] struct {
	accounts map[string]*account[T]
	current  *account[T]
	// needsQuantum reports that the current account has not received its quantum in
	// this round.
	needsQuantum bool
}

// Queue is a bounded queue for one target. It is not safe for concurrent use.
type Queue[T any] struct {
	knobs           *preset.Knobs
	classes         [2]class[T] // within the rate, above it
	queuedByAccount map[string]int
	length          int
	tokens          int
}

// New returns an empty queue. The knobs are read on each call.
func New[T any](knobs *preset.Knobs) *Queue[T] {
	q := &Queue[T]{knobs: knobs, queuedByAccount: map[string]int{}}
	for i := range q.classes {
		q.classes[i].accounts = map[string]*account[T]{}
	}
	return q
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.length }

// Tokens returns the uncached work of all waiting items.
func (q *Queue[T]) Tokens() int { return q.tokens }

// HasWithinRate reports whether an item of an account within its rate is waiting.
func (q *Queue[T]) HasWithinRate() bool { return q.classes[0].current != nil }

// Push adds an item. It rejects the item at once if the queue or the account's share of
// it is full, or if the predicted time to first token exceeds the deadline.
func (q *Queue[T]) Push(item Item[T], now time.Time, predictedTTFT time.Duration) error {
	if !item.Deadline.IsZero() && now.Add(predictedTTFT).After(item.Deadline) {
		return ErrDeadline
	}
	if q.length >= q.knobs.QueueItems {
		return ErrFull
	}
	if float64(q.queuedByAccount[item.Account]) >= q.knobs.AccountShare*float64(q.knobs.QueueItems) {
		return ErrAccountFull
	}
	item.Tokens = max(item.Tokens, 1)
	q.queuedByAccount[item.Account]++
	q.length++
	q.tokens += item.Tokens
	q.classOf(item.OverRate).push(item)
	return nil
}

func (q *Queue[T]) classOf(overRate bool) *class[T] {
	if overRate {
		return &q.classes[1]
	}
	return &q.classes[0]
}

// Pop removes the next item. Items above the rate are skipped unless allowOverRate is
// set.
func (q *Queue[T]) Pop(allowOverRate bool) (Item[T], bool) {
	item, ok := q.classes[0].pop(q.knobs.Quantum)
	if !ok && allowOverRate {
		item, ok = q.classes[1].pop(q.knobs.Quantum)
	}
	if ok {
		q.subtract(item)
	}
	return item, ok
}

func (q *Queue[T]) subtract(item Item[T]) {
	q.length--
	q.tokens -= item.Tokens
	if q.queuedByAccount[item.Account]--; q.queuedByAccount[item.Account] == 0 {
		delete(q.queuedByAccount, item.Account)
	}
}

// Remove removes an item, for example because its caller has disconnected.
func (q *Queue[T]) Remove(accountID string, id uint64) bool {
	removed := q.removeMatching(accountID, func(i Item[T]) bool { return i.ID == id })
	return len(removed) > 0
}

// Expire removes and returns the items whose deadline has passed.
func (q *Queue[T]) Expire(now time.Time) []Item[T] {
	return q.removeMatching("", func(i Item[T]) bool { return !i.Deadline.IsZero() && !now.Before(i.Deadline) })
}

// Clear removes and returns all items, for example because the target is leaving.
func (q *Queue[T]) Clear() []Item[T] {
	return q.removeMatching("", func(Item[T]) bool { return true })
}

// removeMatching removes and returns the matching items of one account, or of all
// accounts if accountID is empty.
func (q *Queue[T]) removeMatching(accountID string, match func(Item[T]) bool) []Item[T] {
	var removed []Item[T]
	for c := range q.classes {
		for name, a := range q.classes[c].accounts {
			if accountID != "" && name != accountID {
				continue
			}
			kept := a.items[:0]
			for _, item := range a.items {
				if match(item) {
					removed = append(removed, item)
				} else {
					kept = append(kept, item)
				}
			}
			clear(a.items[len(kept):])
			a.items = kept
			if len(kept) == 0 {
				q.classes[c].remove(a)
			}
		}
	}
	for _, item := range removed {
		q.subtract(item)
	}
	return removed
}

func (c *class[T]) push(item Item[T]) {
	a := c.accounts[item.Account]
	if a == nil {
		a = &account[T]{name: item.Account}
		c.accounts[item.Account] = a
		c.link(a)
	}
	a.items = append(a.items, item)
}

// link appends the account to the ring.
func (c *class[T]) link(a *account[T]) {
	if c.current == nil {
		a.next, a.previous = a, a
		c.current, c.needsQuantum = a, true
		return
	}
	a.next, a.previous = c.current, c.current.previous
	a.previous.next, a.next.previous = a, a
}

func (c *class[T]) remove(a *account[T]) {
	delete(c.accounts, a.name)
	if a.next == a {
		c.current = nil
		return
	}
	a.previous.next, a.next.previous = a.next, a.previous
	if c.current == a {
		c.current, c.needsQuantum = a.next, true
	}
}

// pop serves the current account while its deficit covers its first item. An account
// whose queue becomes empty loses its deficit, so that it earns no credit while idle.
func (c *class[T]) pop(quantum int) (Item[T], bool) {
	for c.current != nil {
		a := c.current
		if c.needsQuantum {
			a.deficit += max(quantum, 1)
			c.needsQuantum = false
		}
		if a.deficit < a.items[0].Tokens {
			c.nextAccount(quantum)
			continue
		}
		item := a.items[0]
		a.deficit -= item.Tokens
		a.items[0] = Item[T]{}
		a.items = a.items[1:]
		if len(a.items) == 0 {
			c.remove(a)
		}
		return item, true
	}
	return Item[T]{}, false
}

// nextAccount ends the turn of the current account. If no account's deficit covers its
// first item after one more quantum, all accounts are credited at once with the rounds
// that the closest one is short of, instead of turning the ring once for each quantum.
func (c *class[T]) nextAccount(quantum int) {
	quantum = max(quantum, 1)
	rounds := -1
	for a := c.current; ; a = a.next {
		shortfall := a.items[0].Tokens - a.deficit
		roundsNeeded := (shortfall + quantum - 1) / quantum
		if rounds < 0 || roundsNeeded < rounds {
			rounds = roundsNeeded
		}
		if a.next == c.current || rounds <= 1 {
			break
		}
	}
	if rounds > 1 {
		for a := c.current; ; {
			a.deficit += (rounds - 1) * quantum
			if a = a.next; a == c.current {
				break
			}
		}
	}
	c.current, c.needsQuantum = c.current.next, true
}
