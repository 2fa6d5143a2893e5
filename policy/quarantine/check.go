package quarantine

import "time"

// Sign is what a host learns when it asks a target for its report after a response has
// ended there.
type Sign uint8

const (
	// SignAlive means that the incarnation that sent the response reports its state.
	SignAlive Sign = iota
	// SignEnded means that nothing listens, or that another incarnation or target does.
	SignEnded
	// SignNoReport means that the target takes connections and reports nothing. The port of
	// a process that has ended may be held open, and a target with too many connections
	// closes new ones.
	SignNoReport
	// SignSilent means that nothing came in time, which a lost link looks like, too.
	SignSilent
)

// Verdict says whether a target has crashed.
type Verdict uint8

// The verdicts. CheckAgain asks for another sign after a delay.
const (
	CheckAgain Verdict = iota
	Alive
	Crashed
	Undecided
)

func (v Verdict) String() string {
	return [...]string{CheckAgain: "check again", Alive: "alive", Crashed: "crashed", Undecided: "undecided"}[v]
}

const (
	// FirstCheckDelay is how long after the end of a response the first sign is due. A
	// process that ends may close its connections before its port.
	FirstCheckDelay = 100 * time.Millisecond
	// nextCheckDelay is the delay of each further check.
	nextCheckDelay = 200 * time.Millisecond
	// maxChecks is the number of signs without a report after which a target counts as
	// crashed, and after which no further sign is asked for.
	maxChecks = 3
	// MaxEvidenceAge is how long a response that ended without a verdict counts as a crash
	// if the target's entry shows that this incarnation has ended.
	MaxEvidenceAge = 10 * time.Second
)

// CrashCheck judges one target by its signs.
type CrashCheck struct{ noReport, silent int }

// Observe returns the verdict after a sign, and the delay of the next check.
func (c *CrashCheck) Observe(s Sign) (Verdict, time.Duration) {
	switch s {
	case SignAlive:
		return Alive, 0
	case SignEnded:
		return Crashed, 0
	case SignNoReport:
		c.noReport++
	case SignSilent:
		c.silent++
	}
	switch {
	case c.noReport >= maxChecks:
		return Crashed, 0
	case c.noReport+c.silent >= maxChecks:
		return Undecided, 0
	}
	return CheckAgain, nextCheckDelay
}
