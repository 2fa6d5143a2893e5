package topology

import (
	"iter"
	"time"
)

const (
	// absentTTL is how long what is known of an incarnation outlives its entry. An entry that
	// lapsed comes back when its target reaches the store again; one that was removed comes
	// back when the store is restored from an older copy.
	absentTTL = 5 * time.Minute
	// maxAbsent bounds the incarnations without an entry that are remembered. All targets of the
	// design size are replaced twice within absentTTL before it is reached.
	maxAbsent = 2048
	// maxEntryLag is how long an entry may be of an earlier incarnation than one that has
	// responded. After that, the start time of the later one was wrong: clocks jump.
	maxEntryLag = 10 * time.Second
)

// States holds what is known of each incarnation of a target, beside its entry. It is not safe
// for concurrent use.
//
// Invariants: a state belongs to an incarnation, not to its entry, and is kept while the entry
// is gone, for absentTTL at most. Once a later incarnation is known, nothing of an earlier one
// is kept or added, unless the entry contradicts it for maxEntryLag. At most maxAbsent states
// are of incarnations without an entry.
type States[S any] struct {
	byID map[string]*held[S]
}

type held[S any] struct {
	incarnation Incarnation
	state       S
	// absentSince is since when there is no entry of the incarnation; zero while there is one,
	// or before Retain has looked for one.
	absentSince time.Time
	// laggingSince is since when the entry is of an earlier incarnation; zero if it is not.
	laggingSince time.Time
}

// NewStates returns an empty set of states.
func NewStates[S any]() *States[S] { return &States[S]{byID: map[string]*held[S]{}} }

// Get returns the state of an incarnation, or nil.
func (s *States[S]) Get(i Incarnation) *S {
	h := s.byID[i.ID]
	if h == nil || h.incarnation != i {
		return nil
	}
	return &h.state
}

// Add returns the state of an incarnation, which is new if there was none. It returns nil if a
// later incarnation is known. replaced means that an earlier one was.
func (s *States[S]) Add(i Incarnation) (state *S, replaced bool) {
	h := s.byID[i.ID]
	switch {
	case h != nil && h.incarnation == i:
		return &h.state, false
	case h != nil && h.incarnation.Started > i.Started:
		return nil, false
	}
	replaced = h != nil
	h = &held[S]{incarnation: i}
	s.byID[i.ID] = h
	return &h.state, replaced
}

// All returns the states of all incarnations.
func (s *States[S]) All() iter.Seq2[Held, *S] {
	return func(yield func(Held, *S) bool) {
		for _, h := range s.byID {
			if !yield(Held{h.incarnation, h.absentSince.IsZero()}, &h.state) {
				return
			}
		}
	}
}

// Held describes an incarnation of which something is known. Present means that it has an
// entry, or that Retain has not looked for one yet.
type Held struct {
	Incarnation
	Present bool
}

// Retain drops the states that no longer count, given the targets that have entries.
func (s *States[S]) Retain(targets map[string]*Target, now time.Time) {
	absent := 0
	for id, h := range s.byID {
		current := targets[id]
		switch {
		case current != nil && current.Started > h.incarnation.Started:
			delete(s.byID, id)
		case current != nil && h.lags(current, now):
			delete(s.byID, id)
		case current != nil:
			h.absentSince = time.Time{}
		case h.absentSince.IsZero():
			h.absentSince = now
			absent++
		case now.Sub(h.absentSince) >= absentTTL:
			delete(s.byID, id)
		default:
			absent++
		}
	}
	for ; absent > maxAbsent; absent-- {
		s.dropOldest()
	}
}

// lags reports whether the entry has been of an earlier incarnation for too long.
func (h *held[S]) lags(current *Target, now time.Time) bool {
	switch {
	case current.Started == h.incarnation.Started:
		h.laggingSince = time.Time{}
	case h.laggingSince.IsZero():
		h.laggingSince = now
	}
	return !h.laggingSince.IsZero() && now.Sub(h.laggingSince) >= maxEntryLag
}

// dropOldest drops the state whose incarnation has been without an entry for the longest time.
func (s *States[S]) dropOldest() {
	var oldest *held[S]
	for _, h := range s.byID {
		if !h.absentSince.IsZero() && (oldest == nil || h.absentSince.Before(oldest.absentSince)) {
			oldest = h
		}
	}
	delete(s.byID, oldest.incarnation.ID)
}
