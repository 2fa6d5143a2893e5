package lease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The times of the model. Clocks run at 0.98 to 1.02 of the true rate, so that two
// clocks differ by less than testDrift over the longest wait of 23 s.
const (
	testDuration = 10 * time.Second
	testDrift    = time.Second
	// maxOrderDelay bounds the transit time of an order, maxOrderEffect the time of a
	// load.
	maxOrderDelay  = 3 * time.Second
	maxOrderEffect = 2 * time.Second
	testActionTime = 2 * time.Second
)

func testParams(settle time.Duration) Params {
	return Params{Duration: testDuration, Drift: testDrift, Settle: settle}
}

// action is an order that was sent under a lease.
type action struct {
	holder string
	token  uint64
	sent   time.Duration
	// effectEnds is when the effect of the order ends at the target.
	effectEnds time.Duration
}

// storeCopy is a state of the store.
type storeCopy struct {
	row              *Row
	version, counter uint64
}

type delayedWrite struct {
	row      Row
	expected uint64
}

func (m *model) restorable() bool { return m.era > 0 }

// keepCopy keeps the current state of the store.
func (m *model) keepCopy() { m.copies = append(m.copies, storeCopy{m.row, m.version, m.counter}) }

// restore brings the store back in an earlier state: later leases are lost, and versions are
// given out again. Writes that are still in flight may take effect in the new era.
func (m *model) restore(t *rapid.T) {
	if !m.restorable() || len(m.copies) == 0 {
		t.Skip("no copy")
	}
	kept := rapid.IntRange(max(0, len(m.copies)-4), len(m.copies)-1).Draw(t, "copy")
	m.copies = m.copies[:kept+1]
	c := m.copies[kept]
	m.row, m.version, m.counter = c.row, c.version, c.counter
	m.era++
}

// model is one lease row with delayed writes, and processes with different clocks.
type model struct {
	params  Params
	row     *Row
	version uint64
	counter uint64
	// era counts the restorations of the store; 0 stands for a store without eras. copies
	// are earlier states of the row from which it may be restored.
	era     uint64
	copies  []storeCopy
	delayed []delayedWrite
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
	// read is a row that has been read but not yet acted on.
	read        *Row
	readVersion uint64
	readEra     uint64
	hasRead     bool
	held        *Held
	// busyUntil is the end of the action that the process is waiting for.
	busyUntil time.Duration
}

func (p *process) name() string { return fmt.Sprint(p.id, "/", p.restarts) }

func (m *model) clock(p *process) time.Time {
	return time.Unix(0, 0).Add(p.offset + time.Duration(float64(m.now)*p.rate))
}

// write makes a conditional write that counts only in the given era. If its response is
// lost, the process either reads the row back at once or gives up.
func (m *model) write(t *rapid.T, row Row, expected, era uint64) bool {
	fault := rapid.SampledFrom([]string{"ok", "ok", "ok", "lost", "delayed"}).Draw(t, "write")
	if fault == "delayed" {
		m.delayed = append(m.delayed, delayedWrite{row, expected})
		return false
	}
	applied := m.apply(row, expected)
	if fault == "lost" && rapid.Bool().Draw(t, "read back fails") {
		return false
	}
	return applied && m.era == era
}

func (m *model) apply(row Row, expected uint64) bool {
	if m.version != expected {
		return false
	}
	m.keepCopy()
	m.counter++
	m.row, m.version = &row, m.counter
	return true
}

// step runs a random next step of one process.
func (m *model) step(t *rapid.T) {
	p := rapid.SampledFrom(m.procs).Draw(t, "process")
	if m.now < p.busyUntil {
		t.Skip("the process is busy")
	}
	steps := []func(*rapid.T, *process){m.act, m.act, m.renew, m.release, m.crash}
	switch {
	case p.held != nil && p.held.Row.Era < m.era:
		steps = append(steps, m.reacquire, m.reacquire)
	case p.held == nil && !p.hasRead:
		steps = []func(*rapid.T, *process){m.readRow}
	case p.held == nil && p.observer.MayAcquire(p.read, p.name(), m.clock(p), m.params):
		steps = []func(*rapid.T, *process){m.acquire, m.acquire, m.crash}
	case p.held == nil:
		steps = []func(*rapid.T, *process){m.readRow, m.waitAndAcquire}
	}
	steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")](t, p)
}

func (m *model) readRow(_ *rapid.T, p *process) {
	p.read, p.readVersion, p.readEra, p.hasRead = m.row, m.version, m.era, true
	p.observer.ObserveEra(m.era, m.clock(p))
	p.observer.Observe(m.version, m.clock(p))
}

// waitAndAcquire lets time pass until the process may acquire the lease by the row that
// it read.
func (m *model) waitAndAcquire(t *rapid.T, p *process) {
	for !p.observer.MayAcquire(p.read, p.name(), m.clock(p), m.params) {
		m.now += 50 * time.Millisecond
	}
	m.acquire(t, p)
}

// acquire writes over a row that may have been read long ago.
func (m *model) acquire(t *rapid.T, p *process) {
	next := NextRow(p.read, p.name(), "", p.readEra, p.readVersion)
	sentAt := m.clock(p)
	p.hasRead = false
	if m.write(t, next, p.readVersion, p.readEra) {
		held := Acquired(p.read, next, m.version, sentAt, m.params)
		p.held = &held
	}
	m.elapse(t)
}

// hear lets a process learn of the store's era, other than by reading the row.
func (m *model) hear(t *rapid.T) {
	p := rapid.SampledFrom(m.procs).Draw(t, "process")
	p.observer.ObserveEra(m.era, m.clock(p))
	p.hasRead = p.hasRead && p.readEra == m.era
}

// reacquire lets the holder acquire its lease anew in a later era.
func (m *model) reacquire(t *rapid.T, p *process) {
	if !p.held.MayReacquire(m.clock(p)) {
		p.held = nil
		return
	}
	p.held = nil
	m.readRow(t, p)
	m.acquire(t, p)
}

func (m *model) renew(t *rapid.T, p *process) {
	sentAt := m.clock(p)
	m.elapse(t)
	row := p.held.RenewalRow("")
	if !m.write(t, row, p.held.Version, p.held.Row.Era) {
		p.held = nil
		return
	}
	held := p.held.Renewed(row, m.version, sentAt, m.params)
	p.held = &held
}

// act sends one order, up to testActionTime after the check. The response arrives when
// the effect has ended, or not at all.
func (m *model) act(t *rapid.T, p *process) {
	if m.clock(p).Before(p.held.ActFrom) && rapid.Bool().Draw(t, "settle") {
		for m.clock(p).Before(p.held.ActFrom) {
			m.now += 50 * time.Millisecond
		}
	}
	if !p.held.MayAct(m.clock(p), testActionTime) {
		m.elapse(t)
		return
	}
	m.checkAction(t, p)
	pause := time.Duration(float64(rapid.SampledFrom([]time.Duration{0, testActionTime}).Draw(t, "pause")) / p.rate)
	sent := m.now + pause
	effectEnds := sent + rapid.SampledFrom([]time.Duration{0, maxOrderDelay, maxOrderDelay + maxOrderEffect}).Draw(t, "ends")
	m.actions = append(m.actions, action{p.name(), p.held.Row.FencingToken, sent, effectEnds})
	p.busyUntil = effectEnds
	if rapid.Bool().Draw(t, "response lost") {
		p.held, p.busyUntil = nil, sent
	}
}

// checkAction compares an action that may start now with all earlier ones.
func (m *model) checkAction(t *rapid.T, p *process) {
	token := p.held.Row.FencingToken
	for _, earlier := range m.actions {
		switch {
		case earlier.token > token:
			t.Fatalf("order %d was sent after order %d", token, earlier.token)
		case earlier.token == token && earlier.holder != p.name():
			t.Fatalf("%s and %s have fencing token %d", p.name(), earlier.holder, token)
		case earlier.sent > m.now:
			t.Fatalf("orders %d and %d were sent at the same time", token, earlier.token)
		case m.params.Settle > 0 && earlier.effectEnds > m.now:
			t.Fatalf("order %d overlaps order %d by %v", token, earlier.token, earlier.effectEnds-m.now)
		}
	}
}

func (m *model) release(t *rapid.T, p *process) {
	if m.clock(p).Before(p.held.ActFrom) {
		p.held = nil
		return
	}
	m.write(t, p.held.ReleaseRow(""), p.held.Version, p.held.Row.Era)
	p.held = nil
}

func (m *model) crash(_ *rapid.T, p *process) {
	p.restarts++
	p.held, p.hasRead, p.observer = nil, false, Observer{}
}

func (m *model) deliverDelayed(t *rapid.T) {
	if len(m.delayed) == 0 {
		t.Skip("no delayed write")
	}
	write := m.delayed[0]
	m.delayed = m.delayed[1:]
	m.apply(write.row, write.expected)
}

func (m *model) elapse(t *rapid.T) {
	m.now += rapid.SampledFrom([]time.Duration{
		0, 50 * time.Millisecond, time.Second, 4 * time.Second, 8 * time.Second, 9 * time.Second,
	}).Draw(t, "elapsed")
}

func (m *model) run(t *rapid.T) {
	for id := range 3 {
		m.procs = append(m.procs, &process{
			id:     id,
			rate:   rapid.SampledFrom([]float64{0.98, 1, 1.02}).Draw(t, "rate"),
			offset: time.Duration(rapid.IntRange(0, 1000).Draw(t, "offset")) * time.Second,
		})
	}
	t.Repeat(map[string]func(*rapid.T){
		"step": m.step, "step 2": m.step, "step 3": m.step, "step 4": m.step, "step 5": m.step,
		"deliver": m.deliverDelayed, "elapse": m.elapse, "restore": m.restore, "hear": m.hear,
	})
}

// Guards against two holders that act at the same time, and against an order of a new
// holder before the previous holder's last effect has ended at a target that does not
// check fencing tokens. The model has pauses, crashes, clock drift, and lost and
// delayed writes. Each slot for weight loads is such a lease, so that a slot has at
// most one load.
func TestActionsUnderALeaseDoNotOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		(&model{params: testParams(maxOrderDelay + maxOrderEffect)}).run(t)
	})
}

// Guards against a holder that acts after its successor has acted at a target that
// checks fencing tokens, where no settle time is needed.
func TestHoldersActInFencingTokenOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		(&model{params: testParams(0)}).run(t)
	})
}

// Guards against two holders that act at the same time, against a fencing token that is
// given out twice, and against one that is lower than an earlier one, because the store was
// restored from an older copy and gives out versions again.
func TestHoldersActInFencingTokenOrderAfterRestorations(t *testing.T) {
	for _, settle := range []time.Duration{0, maxOrderDelay + maxOrderEffect} {
		rapid.Check(t, func(t *rapid.T) {
			(&model{params: testParams(settle), era: 1}).run(t)
		})
	}
}

// Guards against a holder that is not given its lease anew after a restoration, and against
// any other process that acquires it before that lease has expired.
func TestRestorationKeepsTheHolder(t *testing.T) {
	p := testParams(0)
	start := time.Unix(0, 0)
	held := Acquired(nil, NextRow(nil, "holder", "", 1, 0), 7, start, p)
	var o Observer
	o.ObserveEra(2, start.Add(time.Second))
	if !held.MayReacquire(start.Add(time.Second)) || held.MayReacquire(start.Add(p.Duration)) {
		t.Fatal("the holder may reacquire the lease until it has expired, and not longer")
	}
	for _, row := range []*Row{nil, {Holder: "other", Era: 1, Released: true}, {Holder: "self", Era: 1}} {
		o.Observe(3, start.Add(time.Second))
		if o.MayAcquire(row, "self", start.Add(p.Duration+p.Drift), p) {
			t.Fatalf("row %+v was acquired before the lost lease had expired", row)
		}
		if !o.MayAcquire(row, "self", start.Add(time.Second+p.Duration+p.Drift), p) {
			t.Fatalf("row %+v was not acquired after the lost lease had expired", row)
		}
	}
	late := start.Add(time.Minute)
	o.Observe(9, late)
	if o.MayAcquire(&Row{Holder: "other", Era: 1}, "self", late, p) {
		t.Fatal("a late write over the row of a current lease made the lease available")
	}
	if next := NextRow(nil, "self", "", 2, 0); next.FencingToken <= held.Row.FencingToken {
		t.Fatalf("token %d follows %d", next.FencingToken, held.Row.FencingToken)
	}
}

// Guards against a takeover while the holder's slow clock still counts the lease as
// held, and against a renewal of the row that does not restart the wait.
func TestTakeoverWaitsForDurationAndDrift(t *testing.T) {
	p := testParams(0)
	row := &Row{Holder: "other", FencingToken: 4}
	start := time.Unix(0, 0)
	var o Observer
	if o.MayAcquire(row, "self", start, p) {
		t.Fatal("acquired a lease whose row was never observed")
	}
	o.Observe(1, start)
	if o.MayAcquire(row, "self", start.Add(p.Duration+p.Drift-1), p) {
		t.Fatal("acquired the lease within the drift margin")
	}
	o.Observe(2, start.Add(time.Second))
	if o.MayAcquire(row, "self", start.Add(p.Duration+p.Drift), p) {
		t.Fatal("acquired a lease that was renewed")
	}
	if !o.MayAcquire(row, "self", start.Add(time.Second+p.Duration+p.Drift), p) {
		t.Fatal("did not acquire an expired lease")
	}
}
