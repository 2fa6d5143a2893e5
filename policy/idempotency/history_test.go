package idempotency

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	testMaxAge = 5 * time.Second
	// maxAttempts leaves enough steps for each attempt to end.
	maxAttempts = 4
)

// model is one row of the table service, with writes on their way, and the
// attempts of two hosts at one request.
type model struct {
	row      *Row
	version  uint64
	counter  uint64
	delayed  []delayedWrite
	now      time.Time
	attempts []*attempt
	// incarnation counts the restarts of each host; suspected hosts are taken for
	// dead although their attempts may go on.
	incarnation [2]int
	suspected   [2]bool
	runs        int
	resolved    bool
}

type delayedWrite struct {
	row      Row
	expected uint64
}

type phase int

const (
	claiming phase = iota
	readingBack
	confirmed
	sendAllowed
	recording
	releasing
	ended
)

// attempt is one attempt, in the steps in which the router takes them.
type attempt struct {
	row            Row
	host           int
	phase          phase
	expected       uint64
	claimUncertain bool
	gate           *Gate
	outcome        State
	ran            bool
	notRun         bool
	crashed        bool
}

func (w *model) live(h Holder) bool {
	for host := range w.incarnation {
		if h == w.holderOf(host) {
			return !w.suspected[host]
		}
	}
	return false
}

func (w *model) holderOf(host int) Holder {
	return Holder{HostID: fmt.Sprint("h", host), Incarnation: fmt.Sprint(w.incarnation[host])}
}

func (w *model) apply(row Row, expected uint64) bool {
	if w.version != expected {
		return false
	}
	w.counter++
	w.row, w.version = &row, w.counter
	return true
}

type result int

const (
	succeeded result = iota
	conflicted
	unanswered
	refused
)

// write makes a conditional write with a drawn fault.
func (w *model) write(t *rapid.T, row Row, expected uint64) result {
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "lost", "late", "down"}).Draw(t, "write") {
	case "lost":
		w.apply(row, expected)
		return unanswered
	case "late":
		w.delayed = append(w.delayed, delayedWrite{row, expected})
		return unanswered
	case "down":
		return refused
	}
	if w.apply(row, expected) {
		return succeeded
	}
	return conflicted
}

func (w *model) beginAttempt(t *rapid.T) {
	if len(w.attempts) == maxAttempts {
		t.Skip("enough attempts")
	}
	host := rapid.IntRange(0, 1).Draw(t, "host")
	w.attempts = append(w.attempts, &attempt{
		host: host, gate: NewGate(w.now, testMaxAge),
		row: Row{Fingerprint: "f", Holder: w.holderOf(host), State: Claimed, AttemptID: fmt.Sprint(len(w.attempts))},
	})
}

func (w *model) step(t *rapid.T) {
	active := []*attempt{}
	for _, a := range w.attempts {
		if a.phase != ended {
			active = append(active, a)
		}
	}
	if len(active) == 0 {
		t.Skip("no attempt is active")
	}
	a := rapid.SampledFrom(active).Draw(t, "attempt")
	switch a.phase {
	case claiming:
		w.claim(t, a)
	case readingBack:
		w.readBack(t, a)
	case confirmed:
		fresh := rapid.Bool().Draw(t, "fresh")
		if a.gate.AllowSend(w.now, w.now.Add(time.Second), fresh) == Allowed {
			a.phase = sendAllowed
			return
		}
		a.notRun, a.outcome, a.phase = true, NotRun, recording
		if a.gate.AllowSend(w.now, w.now.Add(time.Second), true) == Allowed {
			t.Fatal("a refused claim was allowed to send")
		}
	case sendAllowed:
		w.transmit(t, a)
	case recording, releasing:
		w.record(t, a)
	}
}

func (w *model) claim(t *rapid.T, a *attempt) {
	switch w.write(t, a.row, a.expected) {
	case succeeded:
		a.phase = confirmed
	case conflicted:
		a.phase = readingBack
	case unanswered:
		a.claimUncertain, a.phase = true, readingBack
	case refused:
		a.giveUp()
	}
}

// returnTokens rejects the request as not run.
func (a *attempt) giveUp() {
	a.notRun, a.phase = true, ended
	if a.claimUncertain {
		a.phase = releasing
	}
}

func (w *model) readBack(t *rapid.T, a *attempt) {
	if rapid.IntRange(0, 3).Draw(t, "read fails") == 0 {
		a.giveUp()
		return
	}
	if Confirms(w.row, a.row.AttemptID) {
		a.phase = confirmed
		return
	}
	if w.version != a.expected {
		a.claimUncertain, a.expected = false, w.version
	}
	a.phase = ended
	if Decide(w.row, a.row.Fingerprint, w.live) == MayClaim {
		a.phase = claiming
	}
}

func (w *model) transmit(t *rapid.T, a *attempt) {
	a.phase = recording
	a.outcome = rapid.SampledFrom([]State{Done, Unknown, NotRun}).Draw(t, "target")
	if a.outcome == NotRun {
		a.notRun = true
		return
	}
	a.ran = true
	w.runs++
}

func (w *model) record(t *rapid.T, a *attempt) {
	step := DecideFinish(w.row, a.row.AttemptID, a.outcome)
	row := a.row
	row.State = a.outcome
	if a.phase == releasing {
		step = DecideRelease(w.row, w.version, a.row.AttemptID, a.expected)
		row.State = NotRun
	}
	if step != Write || w.write(t, row, w.version) == succeeded {
		a.phase = ended
	}
}

func (w *model) crash(t *rapid.T) {
	host := rapid.IntRange(0, 1).Draw(t, "host")
	for _, a := range w.attempts {
		if a.host == host {
			a.crashed = a.crashed || a.phase != ended
			a.phase = ended
		}
	}
	w.incarnation[host]++
	w.suspected[host] = false
}

func (w *model) suspect(t *rapid.T) {
	host := rapid.IntRange(0, 1).Draw(t, "host")
	w.suspected[host] = !w.suspected[host]
}

func (w *model) resolve(t *rapid.T) {
	if w.row == nil {
		t.Skip("no row")
	}
	row, err := Resolve(*w.row, "op", "checked", w.live)
	if err != nil {
		t.Skip("not resolvable")
	}
	if w.write(t, row, w.version) == succeeded {
		w.resolved = true
	}
}

func (w *model) deliver(t *rapid.T) {
	if len(w.delayed) == 0 {
		t.Skip("no late write")
	}
	i := rapid.IntRange(0, len(w.delayed)-1).Draw(t, "late")
	w.apply(w.delayed[i].row, w.delayed[i].expected)
	w.delayed = append(w.delayed[:i], w.delayed[i+1:]...)
}

func (w *model) advance(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
}

func (w *model) check(t *rapid.T) {
	if w.runs > 1 {
		t.Fatalf("the request ran %d times", w.runs)
	}
	if w.runs > 0 && Decide(w.row, "f", w.live) == MayClaim {
		t.Fatal("the request ran and may be claimed again")
	}
	for _, a := range w.attempts {
		if a.ran && a.notRun {
			t.Fatalf("attempt %s ran and was rejected as not_run", a.row.AttemptID)
		}
		if a.phase == ended && a.notRun && !a.crashed && Confirms(w.row, a.row.AttemptID) {
			t.Fatalf("attempt %s ended as not_run and still holds the row", a.row.AttemptID)
		}
	}
	if w.resolved && w.row.State != Resolved {
		t.Fatalf("a resolved row became %s", w.row.State)
	}
}

// Guards against a second run of a booking or payment, a false not_run, and a
// resolved key that opens again, under crashes, pauses between claim and send,
// lost and late writes, and an operator who resolves meanwhile.
func TestRequestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &model{now: time.Unix(1000, 0)}
		t.Repeat(map[string]func(*rapid.T){
			"begin": w.beginAttempt, "step": w.step, "step 2": w.step, "step 3": w.step,
			"step 4": w.step, "step 5": w.step, "step 6": w.step,
			"crash": w.crash, "suspect": w.suspect, "resolve": w.resolve,
			"deliver": w.deliver, "advance": w.advance, "": w.check,
		})
	})
}

// Guards against rows of different requests meeting under one key.
func TestRowKeySeparatesParts(t *testing.T) {
	if RowKey("ab", "c", "d") == RowKey("a", "bc", "d") {
		t.Fatal("keys of different requests are equal")
	}
}
