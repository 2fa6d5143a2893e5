package freshness

import (
	"fmt"
	"slices"
	"time"
)

// This file is a model of several hosts, their network and the store. Each step is
// drawn at random, and any message can be delivered at any later step or be lost, so
// that a pause of a host is a run of steps in which it is not drawn.

// modelDeadline is the freshness deadline in the model; one tick is a second.
const modelDeadline = 4 * time.Second

// variant selects a rule that the model breaks.
type variant int

const (
	correct variant = iota
	commitWithoutPush
	countByHostID
	ageFromArrival
	pendingTimeout
	compareByRevision
)

// modelDocument is a revision in the model.
type modelDocument struct {
	revision    uint64
	attempt     Attempt
	members     []Member
	withdrawals bool
}

// acceptedDocument is a document in the store.
type acceptedDocument struct {
	modelDocument
	at time.Time
}

// process is one incarnation of a host.
type process struct {
	self     Member
	state    *State
	document modelDocument
	enforced map[string]bool
}

// modelProposal is a change that a process tries to commit.
type modelProposal struct {
	owner  *process
	base   modelDocument
	next   modelDocument
	quorum *Quorum
}

// model is the simulated system: hosts, network and store.
type model struct {
	draw      func(n int) int
	variant   variant
	now       time.Time
	hosts     []*process
	store     []acceptedDocument
	storeDown bool
	inFlight  []modelMessage
	// partitioned hosts reach only each other, not the store.
	partitioned map[string]bool
	proposals   []*modelProposal
	serial      int
}

// modelMessage is a message in the network; deliver runs at the receiver.
type modelMessage struct {
	from, to string
	deliver  func()
}

// storeID stands for the store as a sender or receiver.
const storeID = "store"

const (
	maxModelInFlight  = 40
	maxModelProposals = 4
)

func newModel(draw func(n int) int, v variant) *model {
	m := &model{draw: draw, variant: v, now: time.Unix(1000, 0), partitioned: map[string]bool{}}
	first := modelDocument{revision: 1}
	hosts := 3 + draw(3)
	listed := max(3, hosts-draw(2))
	for i := range hosts {
		p := m.newProcess(fmt.Sprintf("h%d", i))
		m.hosts = append(m.hosts, p)
		if i < listed {
			first.members = append(first.members, p.self)
		}
	}
	m.store = []acceptedDocument{{modelDocument: first, at: m.now}}
	for _, p := range m.hosts {
		p.apply(first)
	}
	m.now = m.now.Add(time.Second)
	return m
}

func (m *model) newProcess(hostID string) *process {
	m.serial++
	self := Member{HostID: hostID, Incarnation: fmt.Sprintf("i%04d", m.serial)}
	return &process{self: self, state: New(self), enforced: map[string]bool{}}
}

func (p *process) apply(d modelDocument) {
	if p.state.Apply(d.revision, d.members) {
		p.document = d
	}
}

func (m *model) current() acceptedDocument { return m.store[len(m.store)-1] }

// running reports whether the process has not been restarted.
func (m *model) running(p *process) bool { return slices.Contains(m.hosts, p) }

func (m *model) host(id string) *process {
	i := slices.IndexFunc(m.hosts, func(p *process) bool { return p.self.HostID == id })
	return m.hosts[i]
}

func (m *model) anyHost() *process { return m.hosts[m.draw(len(m.hosts))] }

// send puts a message into the network; the oldest is lost if there are too many.
func (m *model) send(from, to string, deliver func()) {
	if len(m.inFlight) == maxModelInFlight {
		m.inFlight = m.inFlight[1:]
	}
	m.inFlight = append(m.inFlight, modelMessage{from, to, deliver})
}

// step performs one drawn action.
func (m *model) step() {
	switch n := m.draw(32); {
	case n < 3:
		m.now = m.now.Add(time.Duration(1+m.draw(2)) * time.Second)
	case n < 18:
		for range 1 + m.draw(4) {
			m.deliverOne(true)
		}
	case n < 19:
		m.deliverOne(false)
	case n < 22:
		prober := m.anyHost()
		for _, p := range m.hosts {
			m.probe(prober, p.self.HostID)
		}
	case n < 23:
		m.readStore(m.anyHost())
	case n < 25:
		m.propose(m.anyHost())
	case n < 29:
		m.advanceProposal()
	case n < 30:
		m.restart()
	case n < 31:
		m.fetch(m.anyHost(), m.anyHost())
	default:
		m.injectFault()
	}
	if m.variant == pendingTimeout {
		m.dropOldPushes()
	}
}

// injectFault starts or ends an outage of the store or a partition of the hosts.
func (m *model) injectFault() {
	switch m.draw(8) {
	case 0, 1:
		m.storeDown = !m.storeDown
	case 2:
		for _, p := range m.hosts {
			m.partitioned[p.self.HostID] = m.draw(3) == 0
		}
	case 3, 4:
		clear(m.partitioned)
	}
}

// deliverOne delivers or loses one message. Half of the time it is the newest, so
// that exchanges complete often enough.
func (m *model) deliverOne(arrives bool) {
	if len(m.inFlight) == 0 {
		return
	}
	i := len(m.inFlight) - 1
	if m.draw(2) == 0 {
		i = m.draw(len(m.inFlight))
	}
	message := m.inFlight[i]
	m.inFlight = slices.Delete(m.inFlight, i, i+1)
	if arrives && m.partitioned[message.from] == m.partitioned[message.to] {
		message.deliver()
	}
}

func (m *model) probe(p *process, hostID string) {
	if p.self.HostID == hostID {
		return
	}
	sentAt := m.now
	m.send(p.self.HostID, hostID, func() {
		report := m.host(hostID).state.Report(m.now)
		m.send(hostID, p.self.HostID, func() { m.observe(p, report, sentAt) })
	})
}

func (m *model) observe(p *process, report Report, sentAt time.Time) {
	switch m.variant {
	case ageFromArrival:
		sentAt = m.now
	case countByHostID:
		for _, listed := range p.document.members {
			if listed.HostID == report.From.HostID {
				report.From = listed
			}
		}
	case compareByRevision:
		report.Pending = slices.DeleteFunc(slices.Clone(report.Pending),
			func(a Attempt) bool { return a.Revision <= p.state.Enforced() })
	}
	p.state.Observe(report, sentAt, m.now)
}

func (m *model) readStore(p *process) {
	sentAt := m.now
	m.send(p.self.HostID, storeID, func() {
		if m.storeDown {
			return
		}
		read := m.current()
		m.send(storeID, p.self.HostID, func() {
			p.apply(read.modelDocument)
			at := sentAt
			if m.variant == ageFromArrival {
				at = m.now
			}
			p.state.ObserveStoreRead(read.revision, at)
		})
	})
}

func (m *model) fetch(p, from *process) {
	document := from.document
	if document.revision > 0 {
		m.send(from.self.HostID, p.self.HostID, func() { p.apply(document) })
	}
}

// propose starts a change: a join, a removal, a withdrawal or another change.
func (m *model) propose(p *process) {
	if p.document.revision == 0 || len(m.proposals) >= maxModelProposals {
		return
	}
	m.serial++
	next := modelDocument{revision: p.document.revision + 1, members: slices.Clone(p.document.members)}
	next.attempt = Attempt{Revision: next.revision, ID: fmt.Sprintf("a%d", m.serial)}
	switch m.draw(4) {
	case 0:
		next.members = slices.DeleteFunc(next.members, func(l Member) bool { return l.HostID == p.self.HostID })
		next.members = append(next.members, p.self)
	case 1:
		if len(next.members) > 2 {
			i := m.draw(len(next.members))
			next.members = slices.Delete(next.members, i, i+1)
		}
	case 2:
		next.withdrawals = true
	}
	proposal := &modelProposal{owner: p, base: p.document, next: next, quorum: NewQuorum(p.document.members)}
	m.proposals = append(m.proposals, proposal)
	if m.variant == commitWithoutPush {
		return
	}
	for _, listed := range proposal.base.members {
		m.push(proposal, listed)
	}
}

func (m *model) push(proposal *modelProposal, listed Member) {
	deliver := func() {
		p := m.host(listed.HostID)
		if p.self.Incarnation < listed.Incarnation || !p.state.RecordPush(proposal.next.attempt, proposal.next.withdrawals, m.now) {
			return
		}
		if proposal.next.withdrawals {
			p.enforced[proposal.next.attempt.ID] = true
		}
		m.send(listed.HostID, proposal.owner.self.HostID, func() { proposal.quorum.Ack(listed) })
	}
	if listed == proposal.owner.self {
		deliver()
		return
	}
	m.send(proposal.owner.self.HostID, listed.HostID, deliver)
}

// advanceProposal makes one proposer send its write to the store, or abort before that.
func (m *model) advanceProposal() {
	if len(m.proposals) == 0 {
		return
	}
	i := m.draw(len(m.proposals))
	p := m.proposals[i]
	if !m.running(p.owner) || p.owner.document.revision > p.base.revision {
		m.proposals = slices.Delete(m.proposals, i, i+1)
		return
	}
	if m.draw(6) == 0 {
		m.proposals = slices.Delete(m.proposals, i, i+1)
		m.abort(p)
		return
	}
	if m.variant != commitWithoutPush && !p.quorum.Reached() {
		return
	}
	m.proposals = slices.Delete(m.proposals, i, i+1)
	m.send(p.owner.self.HostID, storeID, func() { m.write(p) })
}

func (m *model) abort(p *modelProposal) {
	for _, listed := range p.base.members {
		m.send(p.owner.self.HostID, listed.HostID, func() { m.host(listed.HostID).state.Abort(p.next.attempt.ID) })
	}
}

// write applies a conditional write that reaches the store.
func (m *model) write(p *modelProposal) {
	if m.storeDown || m.current().revision != p.base.revision {
		return
	}
	m.store = append(m.store, acceptedDocument{modelDocument: p.next, at: m.now})
	if m.draw(3) == 0 {
		return // the response is lost
	}
	m.send(storeID, p.owner.self.HostID, func() {
		if !m.running(p.owner) {
			return
		}
		p.owner.apply(p.next)
		for _, other := range m.hosts {
			id := other.self.HostID
			m.send(p.owner.self.HostID, id, func() { m.host(id).apply(p.next) })
		}
	})
}

// restart replaces a process by one without state on the same address.
func (m *model) restart() {
	if m.draw(3) == 0 {
		i := m.draw(len(m.hosts))
		m.hosts[i] = m.newProcess(m.hosts[i].self.HostID)
	}
}

func (m *model) dropOldPushes() {
	for _, p := range m.hosts {
		for _, pending := range slices.Clone(p.state.pending) {
			if m.now.Sub(pending.since) > modelDeadline {
				p.state.Abort(pending.attempt.ID)
			}
		}
	}
}

// violation describes a host that considers itself fresh without a revision that was
// accepted before the deadline.
func (m *model) violation() string {
	limit := m.now.Add(-modelDeadline)
	for _, p := range m.hosts {
		if !m.now.Before(p.state.FreshUntil(modelDeadline)) {
			continue
		}
		for _, d := range m.store {
			if d.at.Before(limit) && p.state.Applied() < d.revision && !p.enforced[d.attempt.ID] {
				return fmt.Sprintf("%s is fresh at %v with revision %d, but revision %d was accepted at %v",
					p.self.HostID, m.now.Unix(), p.state.Applied(), d.revision, d.at.Unix())
			}
		}
	}
	return ""
}

// runHistory returns the first violation in a history of the given length.
func runHistory(draw func(n int) int, v variant, steps int) (string, *model) {
	m := newModel(draw, v)
	for range steps {
		m.step()
		if violation := m.violation(); violation != "" {
			return violation, m
		}
	}
	return "", m
}
