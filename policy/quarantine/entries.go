package quarantine

import (
	"slices"
	"time"
)

// Entry is a set of parts in quarantine: requests that have all of them are rejected. From
// Until on, one request may be tried after the entry was prolonged; the entry ends if none
// comes for the time of Probation, or once its parts complete.
type Entry struct {
	ID       string
	Parts    []string
	Until    time.Time
	Duration time.Duration
}

// IsTrialDue reports whether a request with the parts may be tried.
func (e *Entry) IsTrialDue(now time.Time) bool { return !now.Before(e.Until) }

// hasEnded reports whether the entry no longer rejects requests.
func (e *Entry) hasEnded(now time.Time) bool { return now.Sub(e.Until) >= Probation }

// Prolonged returns the entry as it is while a request is tried, or once another target has
// crashed on its parts.
func (e Entry) Prolonged(now time.Time) Entry {
	e.Duration = min(e.Duration*durationFactor, maxDuration)
	e.Until = now.Add(e.Duration)
	return e
}

// Index finds the entries that reject a request. It does not change, so that requests can
// use it while entries are added.
type Index struct {
	entries map[string]Entry
	// entriesOf lists the IDs of the entries that have a part.
	entriesOf map[string][]string
}

// NewIndex returns an index of entries whose parts are distinct.
func NewIndex(entries ...Entry) *Index {
	x := &Index{entries: make(map[string]Entry, len(entries)), entriesOf: map[string][]string{}}
	for _, e := range entries {
		x.entries[e.ID] = e
		for _, part := range e.Parts {
			x.entriesOf[part] = append(x.entriesOf[part], e.ID)
		}
	}
	return x
}

// Trials are the IDs of the entries for which a request is tried.
type Trials map[string]bool

// Match returns the entry that rejects a request with the given parts, which are distinct,
// other than those for which it is tried. An entry that is due for a trial is returned only
// if no other one rejects the request.
func (x *Index) Match(parts []string, trials Trials, now time.Time) (Entry, bool) {
	if len(x.entries) == 0 {
		return Entry{}, false
	}
	var matched map[string]int
	var due Entry
	for _, part := range parts {
		for _, id := range x.entriesOf[part] {
			if matched == nil {
				matched = map[string]int{}
			}
			matched[id]++
			e := x.entries[id]
			if matched[id] < len(e.Parts) || trials[id] || e.hasEnded(now) {
				continue
			}
			if !e.IsTrialDue(now) {
				return e, true
			}
			due = e
		}
	}
	return due, due.ID != ""
}

// entries holds the parts in quarantine.
type entries struct {
	byID map[string]Entry
	// held is the number of parts of all entries.
	held int
	// index is nil after a change.
	index *Index
}

func newEntries() *entries { return &entries{byID: map[string]Entry{}} }

func (s *entries) set(e Entry) {
	s.held += len(e.Parts) - len(s.byID[e.ID].Parts)
	s.byID[e.ID] = e
	s.index = nil
}

func (s *entries) remove(id string) {
	s.held -= len(s.byID[id].Parts)
	delete(s.byID, id)
	s.index = nil
}

// shrink drops the entries that end first if too many parts are held.
func (s *entries) shrink() {
	for s.held > maxParts && len(s.byID) > 1 {
		var first Entry
		for _, e := range s.byID {
			if first.ID == "" || e.Until.Before(first.Until) {
				first = e
			}
		}
		s.remove(first.ID)
	}
}

// firstDuration returns how long a new entry of some parts lasts: as long as the entries that
// were too narrow and that it replaces, since trials of those have failed.
func (s *entries) firstDuration(parts set) time.Duration {
	duration := FirstDuration
	for _, e := range s.byID {
		if e.Duration > duration && newSet(e.Parts).containsAll(parts) {
			duration = e.Duration
		}
	}
	return duration
}

// resume prolongs the entries that have ended and whose parts have crashed a target again.
func (s *entries) resume(crash set, now time.Time) []Entry {
	var out []Entry
	for _, e := range s.byID {
		if now.Before(e.Until) || !crash.containsAll(newSet(e.Parts)) {
			continue
		}
		e = e.Prolonged(now)
		s.set(e)
		out = append(out, e)
	}
	return out
}

// exonerate removes innocent parts from all entries, and returns those that had any. Entries
// without parts have ended.
func (s *entries) exonerate(innocent set) []Entry {
	var changed []Entry
	for id, e := range s.byID {
		if !slices.ContainsFunc(e.Parts, innocent.has) {
			continue
		}
		e.Parts = slices.DeleteFunc(slices.Clone(e.Parts), innocent.has)
		changed = append(changed, e)
		if len(e.Parts) == 0 {
			s.remove(id)
			continue
		}
		s.set(e)
	}
	return changed
}

// expire drops the entries whose probation has ended.
func (s *entries) expire(now time.Time) {
	for id, e := range s.byID {
		if e.hasEnded(now) {
			s.remove(id)
		}
	}
}
