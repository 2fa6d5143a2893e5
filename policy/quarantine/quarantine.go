// Package quarantine finds parts of prompts that crash targets, from attempts in which a
// target ended while it worked on a request. It does no I/O; the current time is an argument.
//
// Invariant: a part of a request that has completed recently is not a suspect. A request
// is rejected only if it has all parts that the crashes have in common, so that requests
// which share some of them with the cause are served.
package quarantine

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// crashesToQuarantine is the number of different targets that must have crashed on a
	// part. Two may be a coincidence of requests that a crash interrupts.
	crashesToQuarantine = 3
	// FirstDuration is the duration of the first quarantine of parts. Requests are then
	// tried again, since targets may have broken off responses for another reason. The
	// first crash after that prolongs the quarantine by durationFactor, up to
	// maxDuration.
	FirstDuration  = time.Minute
	durationFactor = 5
	maxDuration    = time.Hour
	// Probation is how long after its end a quarantine is resumed by a single crash.
	Probation = time.Hour
	// completionTTL is how long a completed request exonerates its parts.
	completionTTL = 15 * time.Second
	// crashTTL is how long a crash counts.
	crashTTL = 5 * time.Minute
	// maxParts bounds the memory for suspects and for completions.
	maxParts = 20_000
)

// Crash is an attempt that a target did not survive.
type Crash struct {
	// Parts are what other requests may have in common with this one: the parts that they may
	// share, with their model, and the prompt as a whole.
	Parts []string `msgpack:"p"`
	// Target identifies the incarnation of the target.
	Target string `msgpack:"t"`
}

// Entry is a set of parts in quarantine: requests that have all of them are rejected
// until its end.
type Entry struct {
	ID       string
	Parts    []string
	Until    time.Time
	Duration time.Duration
}

// Completion is a part of a request that a target completed.
type Completion struct {
	Part string
	At   time.Time
}

// suspect is a part that some crashes have in common.
type suspect struct {
	targets map[string]time.Time
	// common are the parts that all crashes of this part share.
	common []string
	last   time.Time
}

// Registry holds the suspects and the entries. It is not safe for concurrent use.
type Registry struct {
	suspects  map[string]*suspect
	completed map[string]time.Time
	entries   map[string]Entry
	// entriesOf lists the IDs of the entries that have a part.
	entriesOf map[string][]string
	lastSweep time.Time
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		suspects: map[string]*suspect{}, completed: map[string]time.Time{},
		entries: map[string]Entry{}, entriesOf: map[string][]string{},
	}
}

// Match returns the entry that rejects a request with the given parts.
func (r *Registry) Match(parts []string, now time.Time) (Entry, bool) {
	if len(r.entries) == 0 {
		return Entry{}, false
	}
	for _, part := range parts {
		for _, id := range r.entriesOf[part] {
			e := r.entries[id]
			if now.Before(e.Until) && containsAll(parts, e.Parts) {
				return e, true
			}
		}
	}
	return Entry{}, false
}

// Suspected reports whether a part has crashed more than one target, so that a request
// with it must not be retried.
func (r *Registry) Suspected(parts []string) bool {
	return slices.ContainsFunc(parts, func(p string) bool {
		s := r.suspects[p]
		return s != nil && len(s.targets) > 1
	})
}

// RecordCompletion records that a target completed a request with the given parts at a
// time, here or at a peer. It returns the parts that were suspected or in quarantine, and
// the entries that had any of them, without these parts.
func (r *Registry) RecordCompletion(parts []string, at time.Time) (cleared []string, changed []Entry) {
	r.sweep(at)
	for _, part := range parts {
		known, ok := r.completed[part]
		if (ok || len(r.completed) < maxParts) && known.Before(at) {
			r.completed[part] = at
		}
		if r.suspects[part] != nil || len(r.entriesOf[part]) > 0 {
			cleared = append(cleared, part)
		}
		delete(r.suspects, part)
		changed = append(changed, r.removeFromEntries(part)...)
	}
	for _, part := range cleared {
		for _, s := range r.suspects {
			s.common = without(s.common, part)
		}
	}
	return cleared, changed
}

func (r *Registry) isInnocent(part string, now time.Time) bool {
	at, ok := r.completed[part]
	return ok && now.Sub(at) < completionTTL
}

// Innocent returns the completions that prove some of the parts innocent.
func (r *Registry) Innocent(parts []string, now time.Time) []Completion {
	var innocent []Completion
	for _, part := range parts {
		if r.isInnocent(part, now) {
			innocent = append(innocent, Completion{part, r.completed[part]})
		}
	}
	return innocent
}

// RecordCrash records a crash. It returns the entries that it adds or resumes, and the
// completions that prove parts innocent.
func (r *Registry) RecordCrash(c Crash, now time.Time) (added []Entry, innocent []Completion) {
	r.sweep(now)
	innocent = r.Innocent(c.Parts, now)
	var parts []string
	for _, part := range c.Parts {
		if !r.isInnocent(part, now) {
			parts = append(parts, part)
		}
	}
	for _, part := range parts {
		r.suspect(part, parts).crash(c.Target, parts, now)
	}
	if resumed := r.resume(parts, now); len(resumed) > 0 {
		return resumed, innocent
	}
	for _, part := range parts {
		if e, ok := r.judge(part, now); ok {
			added = append(added, e)
		}
	}
	return added, innocent
}

// resume prolongs the entries that have ended and whose parts have crashed a target again.
func (r *Registry) resume(parts []string, now time.Time) []Entry {
	var out []Entry
	for id, e := range r.entries {
		if now.Before(e.Until) || !containsAll(parts, e.Parts) {
			continue
		}
		e.Duration = min(e.Duration*durationFactor, maxDuration)
		e.Until = now.Add(e.Duration)
		r.entries[id] = e
		out = append(out, e)
	}
	return out
}

func (r *Registry) suspect(part string, common []string) *suspect {
	s := r.suspects[part]
	if s == nil {
		s = &suspect{targets: map[string]time.Time{}, common: common}
		if len(r.suspects) < maxParts {
			r.suspects[part] = s
		}
	}
	return s
}

func (s *suspect) crash(target string, parts []string, now time.Time) {
	s.targets[target], s.last = now, now
	maps.DeleteFunc(s.targets, func(_ string, at time.Time) bool { return now.Sub(at) >= crashTTL })
	var common []string
	for _, part := range s.common {
		if slices.Contains(parts, part) {
			common = append(common, part)
		}
	}
	s.common = common
}

// judge puts a part in quarantine if enough targets crashed on it and its crashes are not
// explained by a more specific suspect.
func (r *Registry) judge(part string, now time.Time) (Entry, bool) {
	s := r.suspects[part]
	if s == nil || len(s.targets) < crashesToQuarantine || r.isExplained(s) {
		return Entry{}, false
	}
	return r.AddEntry(Entry{ID: entryID(s.common), Parts: s.common, Until: now.Add(FirstDuration), Duration: FirstDuration}, now)
}

// isExplained reports whether s is only what several causes have in common: suspects that
// share all parts of its crashes, and more, account for all but a few of its targets.
// Suspects with a single crash explain nothing, since each request has parts of its own.
func (r *Registry) isExplained(s *suspect) bool {
	explained := map[string]bool{}
	for _, other := range r.suspects {
		if len(other.targets) < 2 || len(other.common) <= len(s.common) || !containsAll(other.common, s.common) {
			continue
		}
		for target := range other.targets {
			explained[target] = true
		}
	}
	unexplained := 0
	for target := range s.targets {
		if !explained[target] {
			unexplained++
		}
	}
	return unexplained < crashesToQuarantine
}

// AddEntry adds an entry, or extends one that is known. Parts that have completed here
// are left out. It returns the entry as it holds here, and false if nothing changed.
func (r *Registry) AddEntry(e Entry, now time.Time) (Entry, bool) {
	known, ok := r.entries[e.ID]
	if ok {
		if !known.Until.Before(e.Until) {
			return known, false
		}
		prolonged := e.Until.Sub(known.Until) > time.Second
		known.Until, known.Duration = e.Until, max(known.Duration, e.Duration)
		r.entries[e.ID] = known
		return known, prolonged
	}
	e.Parts = slices.DeleteFunc(slices.Clone(e.Parts), func(part string) bool { return r.isInnocent(part, now) })
	if len(e.Parts) == 0 || now.Sub(e.Until) >= Probation {
		return e, false
	}
	r.entries[e.ID] = e
	for _, part := range e.Parts {
		r.entriesOf[part] = append(r.entriesOf[part], e.ID)
	}
	return e, true
}

// Entries returns the entries that reject requests.
func (r *Registry) Entries(now time.Time) []Entry {
	var out []Entry
	for _, e := range r.entries {
		if now.Before(e.Until) {
			out = append(out, e)
		}
	}
	return out
}

// Digest identifies the set of entries; zero if there is none.
func (r *Registry) Digest() uint64 {
	var digest uint64
	for id, e := range r.entries {
		digest ^= xxhash.Sum64String(id + "/" + e.Duration.String())
	}
	return digest
}

// removeFromEntries removes an innocent part from all entries, and returns them. Entries
// without parts have ended.
func (r *Registry) removeFromEntries(part string) []Entry {
	var changed []Entry
	for _, id := range r.entriesOf[part] {
		e := r.entries[id]
		e.Parts = without(e.Parts, part)
		changed = append(changed, e)
		if len(e.Parts) == 0 {
			delete(r.entries, id)
			continue
		}
		r.entries[id] = e
	}
	delete(r.entriesOf, part)
	return changed
}

func (r *Registry) removeEntry(id string) {
	for _, part := range r.entries[id].Parts {
		r.entriesOf[part] = without(r.entriesOf[part], id)
		if len(r.entriesOf[part]) == 0 {
			delete(r.entriesOf, part)
		}
	}
	delete(r.entries, id)
}

// sweep drops what has expired, at most once per second.
func (r *Registry) sweep(now time.Time) {
	if now.Sub(r.lastSweep) < time.Second {
		return
	}
	r.lastSweep = now
	for part, at := range r.completed {
		if now.Sub(at) >= completionTTL {
			delete(r.completed, part)
		}
	}
	for part, s := range r.suspects {
		if now.Sub(s.last) >= crashTTL {
			delete(r.suspects, part)
		}
	}
	for id, e := range r.entries {
		if now.Sub(e.Until) >= Probation {
			r.removeEntry(id)
		}
	}
}

func containsAll(parts, wanted []string) bool {
	for _, part := range wanted {
		if !slices.Contains(parts, part) {
			return false
		}
	}
	return true
}

func without(parts []string, part string) []string {
	var out []string
	for _, p := range parts {
		if p != part {
			out = append(out, p)
		}
	}
	return out
}

// entryID returns the same ID on all hosts for the same parts.
func entryID(parts []string) string {
	sorted := slices.Sorted(slices.Values(parts))
	return strconv.FormatUint(xxhash.Sum64String(strings.Join(sorted, "\x00")), 16)
}
