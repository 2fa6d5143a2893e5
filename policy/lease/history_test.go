package lease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Times of the model. Clocks run between 0.98 and 1.02 of true time, so that over
// the longest wait of 23 s two clocks differ by less than testDrift.
const (
	testDuration = 10 * time.Second
	testDrift    = time.Second
	// longestDelay is that of an order on its way, longestEffect that of a load.
	longestDelay  = 3 * time.Second
	longestEffect = 2 * time.Second
	testNeed      = 2 * time.Second
)

func testParams(settle time.Duration) Params {
	return Params{Duration: testDuration, Drift: testDrift, Settle: settle}
}

// action is an order that was sent under a lease.
type action struct {
	holder string
	number uint64
	sent   time.Duration
	// ends is when its effect ends at the target.
	ends time.Duration
}

type lateWrite struct {
	row      Row
	expected uint64
}

// world is one lease row, with writes on their way and processes whose clocks
// differ.
type world struct {
	params  Params
	row     *Row
	version uint64
	counter uint64
	late    []lateWrite
	now     time.Duration
	procs   []*process
	actions []action
}

type process struct {
	id       int
	restarts int
	rate     float64
	offset   time.Duration
	observer Observer
	// read is a row that was read and not yet acted on.
	read        *Row
	readVersion uint64
	hasRead     bool
	held        *Held
	// busyUntil is the end of the action that the process carries out.
	busyUntil time.Duration
}

func (p *process) name() string { return fmt.Sprint(p.id, "/", p.restarts) }

func (w *world) clock(p *process) time.Time {
	return time.Unix(0, 0).Add(p.offset + time.Duration(float64(w.now)*p.rate))
}

// write makes a conditional write. A lost answer is read back at once or given up.
func (w *world) write(t *rapid.T, row Row, expected uint64) bool {
	fault := rapid.SampledFrom([]string{"ok", "ok", "ok", "lost", "late"}).Draw(t, "write")
	if fault == "late" {
		w.late = append(w.late, lateWrite{row, expected})
		return false
	}
	applied := w.apply(row, expected)
	if fault == "lost" && rapid.Bool().Draw(t, "read back fails") {
		return false
	}
	return applied
}

func (w *world) apply(row Row, expected uint64) bool {
	if w.version != expected {
		return false
	}
	w.counter++
	w.row, w.version = &row, w.counter
	return true
}

// turn lets one process take its next step.
func (w *world) turn(t *rapid.T) {
	p := rapid.SampledFrom(w.procs).Draw(t, "process")
	if w.now < p.busyUntil {
		t.Skip("the process is busy")
	}
	steps := []func(*rapid.T, *process){w.act, w.act, w.renew, w.release, w.crash}
	switch {
	case p.held == nil && !p.hasRead:
		steps = []func(*rapid.T, *process){w.look}
	case p.held == nil && p.observer.MayAcquire(p.read, p.name(), w.clock(p), w.params):
		steps = []func(*rapid.T, *process){w.take, w.take, w.crash}
	case p.held == nil:
		steps = []func(*rapid.T, *process){w.look, w.await}
	}
	steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")](t, p)
}

func (w *world) look(_ *rapid.T, p *process) {
	p.read, p.readVersion, p.hasRead = w.row, w.version, true
	p.observer.Observe(w.version, w.clock(p))
}

// await lets time pass until the process may take the row that it read.
func (w *world) await(t *rapid.T, p *process) {
	for !p.observer.MayAcquire(p.read, p.name(), w.clock(p), w.params) {
		w.now += 50 * time.Millisecond
	}
	w.take(t, p)
}

// take acts on a row that may have been read long ago.
func (w *world) take(t *rapid.T, p *process) {
	next := NextRow(p.read, p.name(), "")
	sentAt := w.clock(p)
	p.hasRead = false
	if w.write(t, next, p.readVersion) {
		held := Acquired(p.read, next, w.version, sentAt, w.params)
		p.held = &held
	}
	w.elapse(t)
}

func (w *world) renew(t *rapid.T, p *process) {
	sentAt := w.clock(p)
	w.elapse(t)
	row := p.held.RenewalRow("")
	if !w.write(t, row, p.held.Version) {
		p.held = nil
		return
	}
	held := p.held.Renewed(row, w.version, sentAt, w.params)
	p.held = &held
}

// act sends one order, up to testNeed after the check. The order is answered when
// its effect ended, or not at all.
func (w *world) act(t *rapid.T, p *process) {
	if w.clock(p).Before(p.held.ActFrom) && rapid.Bool().Draw(t, "settle") {
		for w.clock(p).Before(p.held.ActFrom) {
			w.now += 50 * time.Millisecond
		}
	}
	if !p.held.MayAct(w.clock(p), testNeed) {
		w.elapse(t)
		return
	}
	w.checkAction(t, p)
	pause := time.Duration(float64(rapid.SampledFrom([]time.Duration{0, testNeed}).Draw(t, "pause")) / p.rate)
	sent := w.now + pause
	ends := sent + rapid.SampledFrom([]time.Duration{0, longestDelay, longestDelay + longestEffect}).Draw(t, "ends")
	w.actions = append(w.actions, action{p.name(), p.held.Row.FencingToken, sent, ends})
	p.busyUntil = ends
	if rapid.Bool().Draw(t, "unanswered") {
		p.held, p.busyUntil = nil, sent
	}
}

// checkAction compares an action that may start now with all earlier ones.
func (w *world) checkAction(t *rapid.T, p *process) {
	number := p.held.Row.FencingToken
	for _, earlier := range w.actions {
		switch {
		case earlier.number > number:
			t.Fatalf("order %d was sent after order %d", number, earlier.number)
		case earlier.number == number && earlier.holder != p.name():
			t.Fatalf("%s and %s have number %d", p.name(), earlier.holder, number)
		case earlier.sent > w.now:
			t.Fatalf("orders %d and %d were sent at once", number, earlier.number)
		case w.params.Settle > 0 && earlier.ends > w.now:
			t.Fatalf("order %d overlaps order %d by %v", number, earlier.number, earlier.ends-w.now)
		}
	}
}

func (w *world) release(t *rapid.T, p *process) {
	if w.clock(p).Before(p.held.ActFrom) {
		p.held = nil
		return
	}
	w.write(t, p.held.ReleaseRow(""), p.held.Version)
	p.held = nil
}

func (w *world) crash(_ *rapid.T, p *process) {
	p.restarts++
	p.held, p.hasRead, p.observer = nil, false, Observer{}
}

func (w *world) deliver(t *rapid.T) {
	if len(w.late) == 0 {
		t.Skip("no late write")
	}
	late := w.late[0]
	w.late = w.late[1:]
	w.apply(late.row, late.expected)
}

func (w *world) elapse(t *rapid.T) {
	w.now += rapid.SampledFrom([]time.Duration{
		0, 50 * time.Millisecond, time.Second, 4 * time.Second, 8 * time.Second, 9 * time.Second,
	}).Draw(t, "elapsed")
}

func (w *world) run(t *rapid.T) {
	for id := range 3 {
		w.procs = append(w.procs, &process{
			id:     id,
			rate:   rapid.SampledFrom([]float64{0.98, 1, 1.02}).Draw(t, "rate"),
			offset: time.Duration(rapid.IntRange(0, 1000).Draw(t, "offset")) * time.Second,
		})
	}
	t.Repeat(map[string]func(*rapid.T){
		"turn": w.turn, "turn 2": w.turn, "turn 3": w.turn, "turn 4": w.turn, "turn 5": w.turn,
		"deliver": w.deliver, "elapse": w.elapse,
	})
}

// Guards against two holders that act at once, and against an order of a new
// holder before the last effect of the previous one at a target that does not
// check fencing numbers, under pauses, crashes, clock drift, lost and late writes.
// A slot for weight loads is such a lease, so that each slot has one load at most.
func TestActionsUnderALeaseDoNotOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		(&world{params: testParams(longestDelay + longestEffect)}).run(t)
	})
}

// Guards against a holder that acts after its successor did at a target that
// checks fencing numbers, where no time to settle is needed.
func TestHoldersActInTheOrderOfTheirNumbers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		(&world{params: testParams(0)}).run(t)
	})
}

// Guards against a takeover while a slow clock still counts the lease as held, and
// against a restart of the wait being missed when the row is renewed.
func TestTakeoverWaitsForDurationAndDrift(t *testing.T) {
	p := testParams(0)
	row := &Row{Holder: "other", FencingToken: 4}
	start := time.Unix(0, 0)
	var o Observer
	if o.MayAcquire(row, "self", start, p) {
		t.Fatal("took a row that was never seen")
	}
	o.Observe(1, start)
	if o.MayAcquire(row, "self", start.Add(p.Duration+p.Drift-1), p) {
		t.Fatal("took the lease within the drift margin")
	}
	o.Observe(2, start.Add(time.Second))
	if o.MayAcquire(row, "self", start.Add(p.Duration+p.Drift), p) {
		t.Fatal("took a lease that was renewed")
	}
	if !o.MayAcquire(row, "self", start.Add(time.Second+p.Duration+p.Drift), p) {
		t.Fatal("did not take an expired lease")
	}
}
