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

// model holds one row of the table service, its delayed writes, and the attempts of two
// hosts at one request.
type model struct {
	row      *Row
	version  uint64
	counter  uint64
	delayed  []delayedWrite
	now      time.Time
	attempts []*attempt
	// incarnation counts the restarts of each host. Suspected hosts are considered dead
	// although their attempts may continue.
	incarnation [2]int
	suspected   [2]bool
	executions  int
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

// attempt is one attempt at the request, in the steps in which the router takes them.
type attempt struct {
	row            Row
	host           int
	phase          phase
	expected       uint64
	claimUncertain bool
	gate           *Gate
	outcome        State
	executed       bool
	notExecuted    bool
	crashed        bool
}

func (m *model) live(h Holder) bool {
	for host := range m.incarnation {
		if h == m.holderOf(host) {
			return !m.suspected[host]
		}
	}
	return false
}

func (m *model) holderOf(host int) Holder {
	return Holder{HostID: fmt.Sprint("h", host), Incarnation: fmt.Sprint(m.incarnation[host])}
}

func (m *model) apply(row Row, expected uint64) bool {
	if m.version != expected {
		return false
	}
	m.counter++
	m.row, m.version = &row, m.counter
	return true
}

type result int

const (
	succeeded result = iota
	conflicted
	noResponse
	refused
)

// write makes a conditional write with a drawn fault.
func (m *model) write(t *rapid.T, row Row, expected uint64) result {
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "lost", "late", "down"}).Draw(t, "write") {
	case "lost":
		m.apply(row, expected)
		return noResponse
	case "late":
		m.delayed = append(m.delayed, delayedWrite{row, expected})
		return noResponse
	case "down":
		return refused
	}
	if m.apply(row, expected) {
		return succeeded
	}
	return conflicted
}

func (m *model) beginAttempt(t *rapid.T) {
	if len(m.attempts) == maxAttempts {
		t.Skip("enough attempts")
	}
	host := rapid.IntRange(0, 1).Draw(t, "host")
	m.attempts = append(m.attempts, &attempt{
		host: host, gate: NewGate(m.now, testMaxAge),
		row: Row{Fingerprint: "f", Holder: m.holderOf(host), State: Claimed, AttemptID: fmt.Sprint(len(m.attempts))},
	})
}

func (m *model) step(t *rapid.T) {
	active := []*attempt{}
	for _, a := range m.attempts {
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
		m.claim(t, a)
	case readingBack:
		m.readBack(t, a)
	case confirmed:
		fresh := rapid.Bool().Draw(t, "fresh")
		if a.gate.AllowSend(m.now, m.now.Add(time.Second), fresh) == Allowed {
			a.phase = sendAllowed
			return
		}
		a.notExecuted, a.outcome, a.phase = true, NotExecuted, recording
		if a.gate.AllowSend(m.now, m.now.Add(time.Second), true) == Allowed {
			t.Fatal("a refused claim was allowed to send")
		}
	case sendAllowed:
		m.transmit(t, a)
	case recording, releasing:
		m.record(t, a)
	}
}

func (m *model) claim(t *rapid.T, a *attempt) {
	switch m.write(t, a.row, a.expected) {
	case succeeded:
		a.phase = confirmed
	case conflicted:
		a.phase = readingBack
	case noResponse:
		a.claimUncertain, a.phase = true, readingBack
	case refused:
		a.giveUp()
	}
}

// giveUp rejects the request as not executed. A claim that may still take effect is
// released afterwards.
func (a *attempt) giveUp() {
	a.notExecuted, a.phase = true, ended
	if a.claimUncertain {
		a.phase = releasing
	}
}

func (m *model) readBack(t *rapid.T, a *attempt) {
	if rapid.IntRange(0, 3).Draw(t, "read fails") == 0 {
		a.giveUp()
		return
	}
	if Confirms(m.row, a.row.AttemptID) {
		a.phase = confirmed
		return
	}
	if m.version != a.expected {
		a.claimUncertain, a.expected = false, m.version
	}
	a.phase = ended
	if Decide(m.row, a.row.Fingerprint, m.live) == MayClaim {
		a.phase = claiming
	}
}

func (m *model) transmit(t *rapid.T, a *attempt) {
	a.phase = recording
	a.outcome = rapid.SampledFrom([]State{Done, Unknown, NotExecuted}).Draw(t, "target")
	if a.outcome == NotExecuted {
		a.notExecuted = true
		return
	}
	a.executed = true
	m.executions++
}

func (m *model) record(t *rapid.T, a *attempt) {
	decision := DecideFinish(m.row, a.row.AttemptID, a.outcome)
	row := a.row
	row.State = a.outcome
	if a.phase == releasing {
		decision = DecideRelease(m.row, m.version, a.row.AttemptID, a.expected)
		row.State = NotExecuted
	}
	if decision != Write || m.write(t, row, m.version) == succeeded {
		a.phase = ended
	}
}

func (m *model) crash(t *rapid.T) {
	host := rapid.IntRange(0, 1).Draw(t, "host")
	for _, a := range m.attempts {
		if a.host == host {
			a.crashed = a.crashed || a.phase != ended
			a.phase = ended
		}
	}
	m.incarnation[host]++
	m.suspected[host] = false
}

func (m *model) suspect(t *rapid.T) {
	host := rapid.IntRange(0, 1).Draw(t, "host")
	m.suspected[host] = !m.suspected[host]
}

func (m *model) resolve(t *rapid.T) {
	if m.row == nil {
		t.Skip("no row")
	}
	row, err := Resolve(*m.row, "op", "checked", m.live)
	if err != nil {
		t.Skip("not resolvable")
	}
	if m.write(t, row, m.version) == succeeded {
		m.resolved = true
	}
}

func (m *model) deliver(t *rapid.T) {
	if len(m.delayed) == 0 {
		t.Skip("no late write")
	}
	i := rapid.IntRange(0, len(m.delayed)-1).Draw(t, "late")
	m.apply(m.delayed[i].row, m.delayed[i].expected)
	m.delayed = append(m.delayed[:i], m.delayed[i+1:]...)
}

func (m *model) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
}

func (m *model) check(t *rapid.T) {
	if m.executions > 1 {
		t.Fatalf("the request was executed %d times", m.executions)
	}
	if m.executions > 0 && Decide(m.row, "f", m.live) == MayClaim {
		t.Fatal("the request was executed and may be claimed again")
	}
	for _, a := range m.attempts {
		if a.executed && a.notExecuted {
			t.Fatalf("attempt %s was executed and was rejected as not_run", a.row.AttemptID)
		}
		if a.phase == ended && a.notExecuted && !a.crashed && Confirms(m.row, a.row.AttemptID) {
			t.Fatalf("attempt %s ended as not_run and still holds the row", a.row.AttemptID)
		}
	}
	if m.resolved && m.row.State != Resolved {
		t.Fatalf("a resolved row became %s", m.row.State)
	}
}

// Guards against a second execution of a booking or payment, a false not_run, and a
// resolved key that becomes claimable again, under crashes, pauses between claim and send,
// lost and late writes, and an operator who resolves the row meanwhile.
func TestRequestIsExecutedAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: time.Unix(1000, 0)}
		t.Repeat(map[string]func(*rapid.T){
			"begin": m.beginAttempt, "step": m.step, "step 2": m.step, "step 3": m.step,
			"step 4": m.step, "step 5": m.step, "step 6": m.step,
			"crash": m.crash, "suspect": m.suspect, "resolve": m.resolve,
			"deliver": m.deliver, "advance": m.advance, "": m.check,
		})
	})
}

// Guards against different requests that share a row because the parts of their keys
// join to the same text.
func TestRowKeySeparatesParts(t *testing.T) {
	if RowKey("ab", "c", "d") == RowKey("a", "bc", "d") {
		t.Fatal("keys of different requests are equal")
	}
}
