package quarantine

import "time"

// judgement is what the crashes of a suspect and of more specific ones say of it.
type judgement uint8

const (
	// guilty means that no more specific suspect accounts for its crashes.
	guilty judgement = iota
	// unsettled means that one accounts for all of its targets but one, which may have crashed
	// under a request whose crash is not known here yet.
	unsettled
	// explained means that one accounts for all of them, or that too few targets have crashed.
	explained
)

// judge judges a suspect; what its crashes share is in quarantine from then on if it is guilty.
// Other suspects are more specific if all of their crashes have what those of the suspect share,
// and more.
//
// Invariant: several more specific suspects together never explain a suspect. A part that
// crashes targets beside ever new other parts looks like many such parts that come with a sound
// one; the former takes one cause, and a completion of the part disproves it.
func (s *suspects) judge(candidate *suspect, now time.Time) judgement {
	if len(candidate.targets) < crashesToQuarantine {
		return explained
	}
	result, widened := guilty, false
	for other := range s.all {
		if !other.isMoreSpecific(candidate) {
			continue
		}
		widened = widened || other.isInQuarantine()
		if len(other.targets) < len(candidate.targets)-1 {
			continue
		}
		left, newest := candidate.targetsWithout(other)
		switch {
		case left == 0:
			return explained
		case left == 1 && now.Sub(newest) < SettleTime && !other.isTooNarrow(newest):
			result = unsettled
		}
	}
	if result == guilty && !candidate.isInQuarantine() {
		candidate.guiltySince, candidate.widened = now, widened
	}
	return result
}

// isInQuarantine reports whether what the crashes of a suspect share was put in quarantine.
func (s *suspect) isInQuarantine() bool { return !s.guiltySince.IsZero() }

// isTooNarrow reports whether a crash that a suspect does not account for shows at once that its
// quarantine does not stop the crashes: requests with its parts had been rejected for long
// enough by then, or the quarantine before was too narrow already.
func (s *suspect) isTooNarrow(crashedAt time.Time) bool {
	return s.isInQuarantine() && (s.widened || crashedAt.Sub(s.guiltySince) >= SettleTime)
}

// isMoreSpecific reports whether a suspect may explain the crashes of another one. A prompt
// that is sent again does not explain what other prompts crash.
func (s *suspect) isMoreSpecific(candidate *suspect) bool {
	if candidate.severalPrompts && !s.severalPrompts {
		return false
	}
	return len(s.common) > len(candidate.common) && s.common.containsAll(candidate.common)
}

// targetsWithout returns the number of targets that have not crashed under another suspect, and
// when the newest of them crashed.
func (s *suspect) targetsWithout(other *suspect) (left int, newest time.Time) {
	for target, at := range s.targets {
		if _, ok := other.targets[target]; ok {
			continue
		}
		left++
		if at.After(newest) {
			newest = at
		}
	}
	return left, newest
}
