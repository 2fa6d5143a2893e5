package quarantine

import (
	"maps"
	"slices"
	"time"
)

// set is a set of parts.
type set map[string]struct{}

func newSet(parts []string) set {
	s := make(set, len(parts))
	for _, part := range parts {
		s[part] = struct{}{}
	}
	return s
}

func (s set) has(part string) bool {
	_, ok := s[part]
	return ok
}

func (s set) containsAll(other set) bool {
	if len(other) > len(s) {
		return false
	}
	for part := range other {
		if !s.has(part) {
			return false
		}
	}
	return true
}

// suspect is a group of parts that have been in the same crashes. Parts are grouped so that
// a crash takes time in step with the number of its parts, not with its square.
type suspect struct {
	parts   set
	targets map[string]time.Time
	// common are the parts that all crashes of this group share.
	common set
	// prompt is the prompt of the first crash; severalPrompts means that another one has
	// crashed a target, too.
	prompt         string
	severalPrompts bool
	last           time.Time
	// guiltySince is when what the crashes share was put in quarantine; zero if it was not.
	// widened means that a more specific suspect had been before.
	guiltySince time.Time
	widened     bool
}

// size is the number of strings that the suspect holds.
func (s *suspect) size() int { return len(s.parts) + len(s.common) }

func (s *suspect) crash(c Crash, parts set, now time.Time) {
	s.targets[c.Target], s.last = now, now
	s.severalPrompts = s.severalPrompts || s.prompt != c.Prompt
	maps.DeleteFunc(s.targets, func(_ string, at time.Time) bool { return now.Sub(at) >= crashTTL })
	before := len(s.common)
	maps.DeleteFunc(s.common, func(part string, _ struct{}) bool { return !parts.has(part) })
	if len(s.common) < before {
		s.guiltySince, s.widened = time.Time{}, false // the entry is too narrow
	}
}

// suspects holds all suspects.
//
// Invariant: each part is in one suspect at most, and held is the sum of the suspects' sizes.
type suspects struct {
	byPart map[string]*suspect
	all    map[*suspect]struct{}
	// unsettled are those that must be judged again.
	unsettled map[*suspect]struct{}
	held      int
}

func newSuspects() *suspects {
	return &suspects{byPart: map[string]*suspect{}, all: map[*suspect]struct{}{}, unsettled: map[*suspect]struct{}{}}
}

func (s *suspects) add(n *suspect) {
	s.all[n] = struct{}{}
	s.held += n.size()
	for part := range n.parts {
		s.byPart[part] = n
	}
}

func (s *suspects) remove(old *suspect) {
	delete(s.all, old)
	delete(s.unsettled, old)
	s.held -= old.size()
	for part := range old.parts {
		delete(s.byPart, part)
	}
}

// selectExactly returns the suspects that consist of the parts of a crash, in the order of the
// parts. Groups that have other parts too are divided, and parts that are new form a group.
func (s *suspects) selectExactly(c Crash, parts []string, asSet set) []*suspect {
	members := map[*suspect][]string{}
	var order []*suspect
	for _, part := range parts {
		group := s.byPart[part]
		if members[group] == nil {
			order = append(order, group)
		}
		members[group] = append(members[group], part)
	}
	selected := make([]*suspect, 0, len(order))
	for _, group := range order {
		selected = append(selected, s.divide(group, members[group], c.Prompt, asSet))
	}
	return selected
}

// divide returns the suspect that consists of some members of a group; the group keeps the
// others. New parts have no group yet.
func (s *suspects) divide(group *suspect, members []string, prompt string, crash set) *suspect {
	if group == nil {
		n := &suspect{parts: newSet(members), targets: map[string]time.Time{}, common: maps.Clone(crash), prompt: prompt}
		s.add(n)
		return n
	}
	if len(members) == len(group.parts) {
		return group
	}
	for _, part := range members {
		delete(group.parts, part)
	}
	s.held -= len(members)
	n := *group
	n.parts, n.targets, n.common = newSet(members), maps.Clone(group.targets), maps.Clone(group.common)
	s.add(&n)
	return &n
}

// record records a crash under a request of which the given parts are not innocent, and
// returns the suspects that it concerns.
func (s *suspects) record(c Crash, parts []string, now time.Time) []*suspect {
	crash := newSet(parts)
	selected := s.selectExactly(c, parts, crash)
	for _, suspect := range selected {
		before := suspect.size()
		suspect.crash(c, crash, now)
		s.held += suspect.size() - before
	}
	s.shrink()
	return selected
}

// shrink drops the suspects whose last crash is the longest ago if too much is held. It makes
// room for many crashes at once, since it looks at all suspects.
func (s *suspects) shrink() {
	if s.held <= maxHeld {
		return
	}
	byAge := slices.SortedFunc(maps.Keys(s.all), func(a, b *suspect) int { return a.last.Compare(b.last) })
	for _, old := range byAge {
		if s.held <= maxHeld*3/4 {
			return
		}
		s.remove(old)
	}
}

// exonerate removes innocent parts.
func (s *suspects) exonerate(innocent []string) {
	removed := false
	for _, part := range innocent {
		group := s.byPart[part]
		if group == nil {
			continue
		}
		removed = true
		delete(s.byPart, part)
		delete(group.parts, part)
		s.held--
		if len(group.parts) == 0 {
			s.remove(group)
		}
	}
	if !removed {
		return
	}
	for group := range s.all {
		before := len(group.common)
		for _, part := range innocent {
			delete(group.common, part)
		}
		s.held += len(group.common) - before
	}
}

// expire drops the suspects whose last crash no longer counts.
func (s *suspects) expire(now time.Time) {
	for group := range s.all {
		if now.Sub(group.last) >= crashTTL {
			s.remove(group)
		}
	}
}
