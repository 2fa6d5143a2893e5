// Package queue orders the requests that wait for one target: deficit round robin
// over client accounts in tokens of uncached work, and a limit of work in flight that
// follows the measured delay. It has no goroutines; the time is an argument.
package queue

import (
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/policy/preset"
)

// The reasons for which Push refuses an item.
var (
	ErrFull        = errors.New("the target's queue is full")
	ErrAccountFull = errors.New("the account's share of the target's queue is full")
	ErrDeadline    = errors.New("the deadline can't be met")
)

// Item is a request that waits.
type Item[T any] struct {
	ID      uint64
	Account string
	// Tokens is the uncached work; values below 1 count as 1.
	Tokens int
	// Deadline is when the first token must arrive at the latest; zero means never.
	Deadline time.Time
	// OverRate says that the account is above its rate. Such an item waits until no
	// item of an account within its rate is left.
	OverRate bool
	Value    T
}

// account is one client account's items in one class.
type account[T any] struct {
	name    string
	items   []Item[T]
	deficit int
	// next and previous link the ring of accounts that have items.
	next, previous *account[T]
}

// class is one ring of accounts: those within their rate, or those above it.
type class[T any] struct {
	accounts map[string]*account[T]
	turn     *account[T]
	// fresh says that the account in turn has not got its quantum for this visit.
	fresh bool
}

// Queue is a bounded queue for one target. It is not safe for concurrent use.
type Queue[T any] struct {
	knobs   *preset.Knobs
	classes [2]class[T] // within the rate, above it
	held    map[string]int
	length  int
	tokens  int
}

// New returns an empty queue. The knobs are read at each call.
func New[T any](knobs *preset.Knobs) *Queue[T] {
	q := &Queue[T]{knobs: knobs, held: map[string]int{}}
	for i := range q.classes {
		q.classes[i].accounts = map[string]*account[T]{}
	}
	return q
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.length }

// Tokens returns the uncached work of all waiting items.
func (q *Queue[T]) Tokens() int { return q.tokens }

// HasWithinRate reports whether an item of an account within its rate waits.
func (q *Queue[T]) HasWithinRate() bool { return q.classes[0].turn != nil }

// Push adds an item. It refuses at once if the queue or the account's share is full,
// or if the predicted time until the first token is beyond the deadline.
func (q *Queue[T]) Push(item Item[T], now time.Time, predicted time.Duration) error {
	if !item.Deadline.IsZero() && now.Add(predicted).After(item.Deadline) {
		return ErrDeadline
	}
	if q.length >= q.knobs.QueueItems {
		return ErrFull
	}
	if float64(q.held[item.Account]) >= q.knobs.AccountShare*float64(q.knobs.QueueItems) {
		return ErrAccountFull
	}
	item.Tokens = max(item.Tokens, 1)
	q.held[item.Account]++
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

// Pop removes the next item. Items above the rate are left out if allowOver is false.
func (q *Queue[T]) Pop(allowOver bool) (Item[T], bool) {
	item, ok := q.classes[0].pop(q.knobs.Quantum)
	if !ok && allowOver {
		item, ok = q.classes[1].pop(q.knobs.Quantum)
	}
	if ok {
		q.forget(item)
	}
	return item, ok
}

func (q *Queue[T]) forget(item Item[T]) {
	q.length--
	q.tokens -= item.Tokens
	if q.held[item.Account]--; q.held[item.Account] == 0 {
		delete(q.held, item.Account)
	}
}

// Remove takes an item out, for example because its caller is gone.
func (q *Queue[T]) Remove(accountID string, id uint64) bool {
	removed := q.take(accountID, func(i Item[T]) bool { return i.ID == id })
	return len(removed) > 0
}

// Expire removes and returns the items whose deadline has come.
func (q *Queue[T]) Expire(now time.Time) []Item[T] {
	return q.take("", func(i Item[T]) bool { return !i.Deadline.IsZero() && !now.Before(i.Deadline) })
}

// Clear removes and returns all items, for example because the target is leaving.
func (q *Queue[T]) Clear() []Item[T] {
	return q.take("", func(Item[T]) bool { return true })
}

// take removes the items that match, of one account or, if it is empty, of all.
func (q *Queue[T]) take(accountID string, match func(Item[T]) bool) []Item[T] {
	var taken []Item[T]
	for c := range q.classes {
		for name, a := range q.classes[c].accounts {
			if accountID != "" && name != accountID {
				continue
			}
			kept := a.items[:0]
			for _, item := range a.items {
				if match(item) {
					taken = append(taken, item)
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
	for _, item := range taken {
		q.forget(item)
	}
	return taken
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

// link puts the account at the end of the round.
func (c *class[T]) link(a *account[T]) {
	if c.turn == nil {
		a.next, a.previous = a, a
		c.turn, c.fresh = a, true
		return
	}
	a.next, a.previous = c.turn, c.turn.previous
	a.previous.next, a.next.previous = a, a
}

func (c *class[T]) remove(a *account[T]) {
	delete(c.accounts, a.name)
	if a.next == a {
		c.turn = nil
		return
	}
	a.previous.next, a.next.previous = a.next, a.previous
	if c.turn == a {
		c.turn, c.fresh = a.next, true
	}
}

// pop serves the account in turn while its deficit covers its first item. An account
// that empties its queue loses its deficit, so that idle time earns nothing.
func (c *class[T]) pop(quantum int) (Item[T], bool) {
	for c.turn != nil {
		a := c.turn
		if c.fresh {
			a.deficit += max(quantum, 1)
			c.fresh = false
		}
		if a.deficit < a.items[0].Tokens {
			c.skip(quantum)
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

// skip ends the turn of an account. If no account can pay for its first item, it grants
// all of them the rounds that the nearest one is short of, instead of turning the ring
// once for each quantum.
func (c *class[T]) skip(quantum int) {
	quantum = max(quantum, 1)
	rounds := -1
	for a := c.turn; ; a = a.next {
		short := a.items[0].Tokens - a.deficit
		need := (short + quantum - 1) / quantum
		if rounds < 0 || need < rounds {
			rounds = need
		}
		if a.next == c.turn || rounds <= 1 {
			break
		}
	}
	if rounds > 1 {
		for a := c.turn; ; {
			a.deficit += (rounds - 1) * quantum
			if a = a.next; a == c.turn {
				break
			}
		}
	}
	c.turn, c.fresh = c.turn.next, true
}
