// Package quarantine finds parts of prompts that crash targets, from attempts in which a
// target ended while it worked on a request. It does no I/O; the current time is an argument.
//
// Invariants: a part of a request that has completed recently is not a suspect. A part that
// crashes each target is in quarantine alone, or with parts that all such requests had until
// then, once requests with it have crashed three targets; each further crash of a request that
// is not rejected leaves fewer parts beside it, until none is left. A request
// is rejected only if it has all parts that the crashes have in common, so that requests
// which share some of them with the cause are served.
package quarantine

import (
	"fmt"
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
	// SettleTime is how long a suspect waits for a completion, or for the report of a crash, if
	// a more specific one accounts for all but the last of its targets. It is longer than hosts
	// take to report a crash.
	SettleTime = time.Second
	// FirstDuration is how long requests are rejected before the first of them is tried
	// again, since targets may have ended for another reason. Each trial, and each crash of
	// a target after that time, prolongs the quarantine by durationFactor, up to maxDuration.
	FirstDuration  = time.Minute
	durationFactor = 10
	maxDuration    = 24 * time.Hour
	// Probation is how long a quarantine that is due for a trial lasts without a request.
	Probation = time.Hour
	// completionTTL is how long a completed request exonerates its parts.
	completionTTL = 15 * time.Second
	// crashTTL is how long a crash counts if none of its parts completes. Prompts with a part
	// that crashes targets may be rare.
	crashTTL = time.Hour
	// maxParts bounds the parts in memory for completions, and for entries.
	maxParts = 20_000
	// maxHeld bounds the parts that suspects hold.
	maxHeld = 100_000
	// summarizedParts is the number of parts at each end of a list that a log line shows.
	summarizedParts = 4
)

// Crash is an attempt that a target did not survive.
type Crash struct {
	// Parts are what other requests may have in common with this one: the parts that they may
	// share, with their model, and the prompt as a whole.
	Parts []string `msgpack:"p"`
	// Prompt identifies the prompt as a whole. It is one of Parts unless it has completed.
	Prompt string `msgpack:"w"`
	// Target identifies the incarnation of the target.
	Target string `msgpack:"t"`
}

// Outcome is what a crash led to.
type Outcome struct {
	// Added are the entries that it added or resumed.
	Added []Entry
	// Innocent are the completions that prove parts of it innocent.
	Innocent []Completion
	// Explained are the parts under which enough targets have crashed, but whose crashes more
	// specific parts explain.
	Explained []string
	// Unsettled means that Review must be called until SettleTime has passed.
	Unsettled bool
}

// Completion is a part of a request that a target completed.
type Completion struct {
	Part string
	At   time.Time
}

// Registry holds the suspects and the entries. It is not safe for concurrent use.
type Registry struct {
	suspects  *suspects
	completed map[string]time.Time
	entries   *entries
	lastSweep time.Time
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{suspects: newSuspects(), completed: map[string]time.Time{}, entries: newEntries()}
}

// Index returns an index of the current entries.
func (r *Registry) Index() *Index {
	if r.entries.index == nil {
		r.entries.index = NewIndex(slices.Collect(maps.Values(r.entries.byID))...)
	}
	return r.entries.index
}

// Match returns the entry that rejects a request with the given parts, which are distinct.
func (r *Registry) Match(parts []string, now time.Time) (Entry, bool) {
	return r.Index().Match(parts, nil, now)
}

// Suspected reports whether a part has crashed more than one target, so that a request
// with it must not be retried.
func (r *Registry) Suspected(parts []string) bool {
	return slices.ContainsFunc(parts, func(p string) bool {
		s := r.suspects.byPart[p]
		return s != nil && len(s.targets) > 1
	})
}

// RecordCompletion records that a target completed a request with the given parts at a
// time, here or at a peer. It returns the parts that were suspected or in quarantine, and
// the entries that had any of them, without these parts.
func (r *Registry) RecordCompletion(parts []string, at time.Time) (cleared []string, changed []Entry) {
	r.sweep(at)
	index := r.Index()
	for _, part := range parts {
		r.complete(part, at)
		if r.suspects.byPart[part] != nil || len(index.entriesOf[part]) > 0 {
			cleared = append(cleared, part)
		}
	}
	if len(cleared) == 0 {
		return nil, nil
	}
	r.suspects.exonerate(cleared)
	return cleared, r.entries.exonerate(newSet(cleared))
}

// complete records the completion of a part. If too many are known, it takes the place of
// another one: parts in steady use are soon recorded again.
func (r *Registry) complete(part string, at time.Time) {
	known, ok := r.completed[part]
	if ok && !known.Before(at) {
		return
	}
	if !ok && len(r.completed) >= maxParts {
		for other := range r.completed {
			delete(r.completed, other)
			break
		}
	}
	r.completed[part] = at
}

// IsInnocent reports whether a part has completed recently.
func (r *Registry) IsInnocent(part string, now time.Time) bool {
	at, ok := r.completed[part]
	return ok && now.Sub(at) < completionTTL
}

// Innocent returns the completions that prove some of the parts innocent.
func (r *Registry) Innocent(parts []string, now time.Time) []Completion {
	var innocent []Completion
	for _, part := range parts {
		if r.IsInnocent(part, now) {
			innocent = append(innocent, Completion{part, r.completed[part]})
		}
	}
	return innocent
}

// RecordCrash records a crash.
func (r *Registry) RecordCrash(c Crash, now time.Time) Outcome {
	r.sweep(now)
	out := Outcome{Innocent: r.Innocent(c.Parts, now)}
	known, parts := make(set, len(c.Parts)), make([]string, 0, len(c.Parts))
	for _, part := range c.Parts {
		if !known.has(part) && !r.IsInnocent(part, now) {
			parts = append(parts, part)
		}
		known[part] = struct{}{}
	}
	concerned := r.suspects.record(c, parts, now)
	if out.Added = r.entries.resume(newSet(parts), now); len(out.Added) > 0 {
		return out
	}
	for _, s := range concerned {
		r.judge(s, now, &out)
	}
	return out
}

// Review judges the suspects again that were unsettled.
func (r *Registry) Review(now time.Time) Outcome {
	var out Outcome
	for s := range r.suspects.unsettled {
		r.judge(s, now, &out)
	}
	return out
}

// judge puts what the crashes of a suspect share in quarantine if the suspect is guilty.
func (r *Registry) judge(s *suspect, now time.Time, out *Outcome) {
	verdict := r.suspects.judge(s, now)
	if verdict == unsettled {
		r.suspects.unsettled[s] = struct{}{}
		out.Unsettled = true
		return
	}
	delete(r.suspects.unsettled, s)
	if len(s.targets) < crashesToQuarantine {
		return
	}
	parts := slices.Sorted(maps.Keys(s.common))
	if verdict == explained {
		out.Explained = append(out.Explained, parts...)
		return
	}
	duration := r.entries.firstDuration(s.common)
	e := Entry{ID: entryID(parts), Parts: parts, Until: now.Add(duration), Duration: duration}
	if e, added := r.AddEntry(e, now); added {
		out.Added = append(out.Added, e)
	}
}

// AddEntry adds an entry, or extends one that is known. Parts that have completed here
// are left out. It returns the entry as it holds here, and false if nothing changed.
func (r *Registry) AddEntry(e Entry, now time.Time) (Entry, bool) {
	if known, ok := r.entries.byID[e.ID]; ok {
		if !known.Until.Before(e.Until) {
			return known, false
		}
		prolonged := e.Until.Sub(known.Until) > time.Second
		known.Until, known.Duration = e.Until, max(known.Duration, e.Duration)
		r.entries.set(known)
		return known, prolonged
	}
	// A peer or a row may name a part twice.
	distinct := newSet(e.Parts)
	maps.DeleteFunc(distinct, func(part string, _ struct{}) bool { return r.IsInnocent(part, now) })
	e.Parts = slices.Sorted(maps.Keys(distinct))
	if len(e.Parts) == 0 || e.hasEnded(now) {
		return e, false
	}
	r.entries.set(e)
	r.entries.shrink()
	return e, true
}

// Entry returns the entry with an ID.
func (r *Registry) Entry(id string) (Entry, bool) {
	e, ok := r.entries.byID[id]
	return e, ok
}

// Entries returns the entries that reject requests.
func (r *Registry) Entries(now time.Time) []Entry {
	var out []Entry
	for _, e := range r.entries.byID {
		if !e.hasEnded(now) {
			out = append(out, e)
		}
	}
	return out
}

// Digest identifies the set of entries; zero if there is none.
func (r *Registry) Digest() uint64 {
	var digest uint64
	for id, e := range r.entries.byID {
		digest ^= xxhash.Sum64String(id + "/" + e.Duration.String())
	}
	return digest
}

// sweep drops what has expired, at most once per second.
func (r *Registry) sweep(now time.Time) {
	if now.Sub(r.lastSweep) < time.Second {
		return
	}
	r.lastSweep = now
	maps.DeleteFunc(r.completed, func(_ string, at time.Time) bool { return now.Sub(at) >= completionTTL })
	r.suspects.expire(now)
	r.entries.expire(now)
}

// Summarize returns some of the parts for a log line: those at both ends of a long list, with
// the number of the others between them.
func Summarize(parts []string) []string {
	if len(parts) <= 2*summarizedParts {
		return parts
	}
	omitted := len(parts) - 2*summarizedParts
	out := append(slices.Clone(parts[:summarizedParts]), fmt.Sprintf("(%d more)", omitted))
	return append(out, parts[len(parts)-summarizedParts:]...)
}

// entryID returns the same ID on all hosts for the same parts.
func entryID(parts []string) string {
	sorted := slices.Sorted(slices.Values(parts))
	return strconv.FormatUint(xxhash.Sum64String(strings.Join(sorted, "\x00")), 16)
}
