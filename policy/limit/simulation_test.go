package limit

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/placement"
)

// chooser returns a number below n. It makes a history reproducible, from rapid or
// from a seeded generator.
type chooser func(n int) int

// fault disables one mechanism, to show that the property depends on it.
type fault int

const (
	noFault fault = iota
	ownerDoesNotWait
	refundIgnoresHeadroom
	refundKeepsHistory
	restartedHomeStartsFull
	outstandingNotCounted
	grantExpiresFromReply
	skippedMembersIgnored
	shareRaisedAtOnce
	newAccountDoesNotWait
	returnedGrantIsReused
	confirmationMissing
	releaseGivenTwice
	releaseAppliedTwice
	releasedGrantsNotCounted
	otherGainersDoNotWait
	earlierListUnsettled
)

var simulationTiming = NewTiming(3 * time.Second)

// revision is a committed configuration of the simulated account.
type revision struct {
	limits          Limits
	absent          bool       // the account is deleted
	members         []*process // by host
	membersRevision int
	committed       time.Duration // true time
}

// process is one incarnation of a host.
type process struct {
	host       string
	id         HomeID
	timing     Timing
	rate       float64 // of its clock
	dead       bool
	applied    int // index of its revision, or -1
	freshUntil time.Time
	account    *Account // nil if the account is absent
	open       []*openReservation
}

type openReservation struct {
	account     *Account
	reservation *Reservation
	spent       *spendRecord
}

// spendRecord is a reservation as the checker counts it.
type spendRecord struct {
	at     time.Duration // true time
	tokens float64
}

// message is in flight until the simulation ends; it may be delivered late, in any
// order, more than once or never.
type message struct {
	to      *process
	deliver func(to *process)
}

type simulation struct {
	choose    chooser
	fault     fault
	now       time.Duration // true time
	processes []*process    // the latest of each host
	revisions []revision
	messages  []message
	spent     []*spendRecord
	violation string

	incarnations int
	handovers    int // shares raised after confirmations
}

var simulatedHosts = []string{"a", "b", "c", "d", "e"}

// simulate runs one history and returns the first violation, or "".
func simulate(choose chooser, f fault) string {
	s := &simulation{choose: choose, fault: f}
	s.run()
	return s.violation
}

func (s *simulation) run() {
	for _, h := range simulatedHosts {
		s.processes = append(s.processes, s.newProcess(h))
	}
	s.commit()
	// Most histories start with homes whose wait is over.
	for _, p := range s.processes {
		s.apply(p, 0)
	}
	s.now += time.Duration(s.choose(8)) * time.Second
	steps := 40 + s.choose(120)
	for i := 0; i < steps && s.violation == ""; i++ {
		s.step()
	}
}

func (s *simulation) newProcess(host string) *process {
	timing := simulationTiming
	if s.fault == ownerDoesNotWait {
		timing.FreshnessDeadline = -timing.GrantHoldTime()
	}
	drift := float64(s.choose(3)-1) * MaxClockDrift
	s.incarnations++
	id := HomeID{host, strconv.Itoa(s.incarnations)}
	return &process{host: host, id: id, rate: 1 + drift, applied: -1, timing: timing}
}

// clock returns the process's monotonic time.
func (s *simulation) clock(p *process) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(s.now) * p.rate))
}

func (s *simulation) step() {
	p := s.processes[s.choose(len(s.processes))]
	if homes := s.homes(len(s.revisions) - 1); len(homes) > 0 && s.choose(2) == 0 {
		p = homes[s.choose(len(homes))] // homes make most decisions; this one may be dead
	}
	switch s.choose(29) {
	case 0, 1:
		s.advanceClock()
	case 2:
		if s.choose(3) == 0 {
			s.commit()
		}
	case 3:
		if s.choose(4) == 0 {
			s.restart(p)
		}
	case 4, 5:
		s.apply(p, s.randomNewerRevision(p))
	case 6, 7:
		s.renewFreshness()
	case 8, 9, 10:
		s.sendGrantRequest(p)
	case 11, 12, 13:
		s.deliver()
	case 14:
		s.sendReturns(p)
	case 15, 16:
		s.settle(p)
	case 17:
		for len(p.open) > 0 {
			s.settle(p)
		}
	case 18:
		// All hosts spend all their tokens, which makes a violation most likely.
		for _, p := range s.processes {
			s.reserve(p, 0)
		}
	case 19, 20:
		s.sendHandoverRequests(p)
	case 21, 22:
		for _, p := range s.processes {
			s.sendHandoverRequests(p)
		}
		for range 3 + s.choose(8) {
			s.deliver()
		}
	case 23:
		s.changeMember(p)
	case 24:
		for _, p := range s.processes {
			s.apply(p, s.randomNewerRevision(p))
		}
		s.renewFreshness()
	default:
		s.reserve(p, int64(s.choose(2)*(1+s.choose(100))))
	}
}

func (s *simulation) advanceClock() {
	steps := []time.Duration{
		time.Millisecond, 20 * time.Millisecond, 300 * time.Millisecond, 900 * time.Millisecond,
		1010 * time.Millisecond, 1700 * time.Millisecond, 2900 * time.Millisecond, 4100 * time.Millisecond,
	}
	s.now += steps[s.choose(len(steps))]
}

// commit accepts a revision with random members; some of them may be dead or replaced,
// and possibly none has applied it yet.
func (s *simulation) commit() {
	limits := []Limits{{100, 100}, {100, 400}, {300, 200}}
	r := revision{limits: limits[s.choose(len(limits))], committed: s.now}
	k := len(s.revisions)
	r.absent = k > 0 && s.choose(6) == 0
	if k > 0 {
		last := s.revisions[k-1]
		r.members, r.membersRevision = last.members, last.membersRevision
		if s.choose(2) == 0 {
			r.limits = last.limits
		}
	}
	if k == 0 || s.choose(2) == 0 {
		r.members, r.membersRevision = nil, k
		for _, p := range s.processes {
			if s.choose(4) > 0 {
				r.members = append(r.members, p)
			}
		}
	}
	s.revisions = append(s.revisions, r)
}

// changeMember removes a host from the member list or adds it, as a planned stop or a
// start does, and runs the handovers. Any step may be skipped or late.
func (s *simulation) changeMember(p *process) {
	k := len(s.revisions)
	last := s.revisions[k-1]
	r := revision{limits: last.limits, membersRevision: k, committed: s.now}
	for _, m := range last.members {
		if m.host != p.host {
			r.members = append(r.members, m)
		}
	}
	if !slices.Contains(last.members, p) {
		r.members = append(r.members, p)
	}
	s.revisions = append(s.revisions, r)
	for _, p := range s.processes {
		switch s.choose(10) {
		case 0:
			continue
		case 1:
			s.advanceClock()
		case 2:
			s.reserve(p, int64(s.choose(100)))
		}
		s.apply(p, s.randomNewerRevision(p))
	}
	s.renewFreshness()
	for range 1 + s.choose(3) {
		for _, p := range s.processes {
			s.sendHandoverRequests(p)
		}
		for range 3 + s.choose(10) {
			s.deliver()
		}
		if s.choose(4) == 0 {
			s.advanceClock()
		}
	}
}

// restart replaces a process; the new one has no state.
func (s *simulation) restart(p *process) {
	for i := range s.processes {
		if s.processes[i] == p {
			p.dead = true
			s.processes[i] = s.newProcess(p.host)
		}
	}
}

func (s *simulation) randomNewerRevision(p *process) int {
	first := p.applied + 1
	if first >= len(s.revisions) {
		return -1
	}
	return first + s.choose(len(s.revisions)-first)
}

func (s *simulation) homes(k int) []*process {
	var nodes []placement.Node
	members := map[string]*process{}
	for _, m := range s.revisions[k].members {
		nodes = append(nodes, placement.Node{ID: m.host})
		members[m.host] = m
	}
	var homes []*process
	for _, n := range placement.Homes("account", nodes) {
		homes = append(homes, members[n.ID])
	}
	return homes
}

func (s *simulation) apply(p *process, k int) {
	if k < 0 {
		return
	}
	r := s.revisions[k]
	role := s.role(p, k)
	p.applied = k
	if r.absent {
		p.account = nil
		return
	}
	if p.account == nil {
		p.account = NewAccount(p.timing)
	}
	before := p.account.Pool()
	p.account.Apply(s.clock(p), role)
	pool := p.account.Pool()
	if pool == nil {
		return
	}
	switch {
	case s.fault == restartedHomeStartsFull && before == nil:
		pool.start, pool.bucket.updated = s.clock(p), s.clock(p)
		pool.bucket.level = pool.Burst()
	case s.fault == newAccountDoesNotWait && before == nil && role.NewAccount:
		pool.start, pool.bucket.updated = s.clock(p), s.clock(p)
	case s.fault == shareRaisedAtOnce:
		pool.raiseAt = s.clock(p)
	}
}

func (s *simulation) role(p *process, k int) Role {
	homes := s.homes(k)
	role := Role{Revision: uint64(k), Limits: s.revisions[k].limits, Rank: -1, HomeCount: len(homes), Self: p.id}
	for i, h := range homes {
		role.HomeIDs = append(role.HomeIDs, h.id)
		if h == p {
			role.Rank = i
		}
	}
	if p.applied >= 0 {
		sameMembers := s.revisions[k].membersRevision <= p.applied
		role.MembersContinuous = k == p.applied+1 || sameMembers || s.fault == skippedMembersIgnored
		role.NewAccount = sameMembers && p.account == nil
	}
	return role
}

// renewFreshness gives new evidence to each process that has applied the newest
// revision, except for random ones that are partitioned.
func (s *simulation) renewFreshness() {
	for _, p := range s.processes {
		if p.applied == len(s.revisions)-1 && s.choose(4) > 0 {
			p.freshUntil = s.clock(p).Add(simulationTiming.FreshnessDeadline)
		}
	}
}

func (s *simulation) fresh(p *process) bool {
	return !p.dead && p.account != nil && s.clock(p).Before(p.freshUntil)
}

// sendGrantRequest sends a grant request to a home of the process's revision.
func (s *simulation) sendGrantRequest(p *process) {
	if p.account == nil {
		return
	}
	homes := s.homes(p.applied)
	if len(homes) == 0 {
		return
	}
	home := homes[min(s.choose(4)/2*s.choose(3), len(homes)-1)]
	if home == p {
		return
	}
	sent, k := s.clock(p), p.applied
	need := int64(s.choose(3) * s.choose(150))
	want := need + int64(s.choose(300))
	s.send(home, func(home *process) { s.handleGrantRequest(home, p, k, need, want, sent) })
}

// sendHandoverRequests sends a request to each home that the process waits for. If the
// home has restarted, its new process receives the request.
func (s *simulation) sendHandoverRequests(p *process) {
	if p.dead || p.account == nil {
		return
	}
	revision, homes, ok := p.account.AwaitedHomes(s.clock(p))
	if !ok {
		revision, homes, ok = p.account.PendingReturnHomes(s.clock(p))
	}
	if !ok {
		return
	}
	for _, id := range slices.Clone(homes) {
		for _, home := range s.processes {
			if home.host == id.HostID {
				s.send(home, func(home *process) { s.handleHandoverRequest(home, p, id, revision) })
			}
		}
	}
}

func (s *simulation) handleHandoverRequest(home, p *process, id HomeID, revision uint64) {
	if home.id != id || home.account == nil {
		return
	}
	to := p.id
	if s.fault == releaseGivenTwice {
		for _, r := range home.account.releases {
			if r.revision == revision {
				to = r.receiver
			}
		}
	}
	c, ok := home.account.Confirm(s.clock(home), revision, to)
	if !ok {
		return
	}
	switch s.fault {
	case releasedGrantsNotCounted:
		c.Grants, c.GrantsExpireIn = nil, 0
	case otherGainersDoNotWait:
		if len(c.Grants) == 0 {
			c.GrantsExpireIn = 0
		}
	case earlierListUnsettled:
		c.Settled = true
	}
	s.send(p, func(p *process) {
		if p.account == nil {
			return
		}
		h := p.account.handover
		switch {
		case h == nil:
		case s.fault == releaseGivenTwice:
			h.isReceiver = true
		case s.fault == confirmationMissing && len(h.awaited) > 1:
			h.awaited = h.awaited[:1]
			if !slices.Contains(h.awaited, id) {
				h.awaited[0] = id
			}
		case s.fault == releaseAppliedTwice && !slices.Contains(h.awaited, id):
			h.awaited = append(h.awaited, id)
		}
		p.account.HandleConfirmation(s.clock(p), revision, id, c)
		if h != nil && p.account.handover == nil {
			s.handovers++
		}
	})
}

func (s *simulation) handleGrantRequest(home, p *process, k int, need, want int64, sent time.Time) {
	if home.applied != k || !s.fresh(home) || home.account.Pool() == nil {
		return
	}
	pool := home.account.Pool()
	id, tokens, ok := pool.Issue(s.clock(home), need, want)
	if !ok {
		return
	}
	if s.fault == outstandingNotCounted {
		pool.outstanding, pool.bucket.held = nil, 0
	}
	g := Grant{ID: id, Issuer: home.host, Revision: uint64(k)}
	accepted := false
	s.send(p, func(p *process) {
		// A reply is matched with its call once.
		if accepted || p.account == nil {
			return
		}
		accepted = true
		if s.fault == grantExpiresFromReply {
			sent = s.clock(p)
		}
		p.account.Holder().Accept(s.clock(p), &g, tokens, sent)
	})
}

func (s *simulation) send(to *process, deliver func(*process)) {
	if s.choose(8) > 0 {
		s.messages = append(s.messages, message{to, deliver})
	}
}

func (s *simulation) deliver() {
	if len(s.messages) == 0 {
		return
	}
	// Most deliveries choose the newest message, so that most calls are quick.
	i := len(s.messages) - 1
	if s.choose(3) == 0 {
		i = s.choose(len(s.messages))
	}
	m := s.messages[i]
	if s.choose(6) > 0 {
		s.messages = append(s.messages[:i:i], s.messages[i+1:]...)
	}
	if !m.to.dead {
		m.deliver(m.to)
	}
}

func (s *simulation) sendReturns(p *process) {
	if p.account == nil {
		return
	}
	holder := p.account.Holder()
	if s.fault == returnedGrantIsReused {
		for _, g := range holder.returns {
			if s.clock(p).Before(g.expires) {
				g.closed = false
				holder.grants = append(holder.grants, g)
			}
		}
	}
	for _, r := range holder.TakeReturns(s.clock(p), s.choose(4) == 0) {
		for _, issuer := range s.processes {
			if issuer.host == r.Issuer {
				s.send(issuer, func(to *process) {
					if to.account != nil {
						to.account.Return(s.clock(to), r.ID, r.Total)
					}
				})
			}
		}
	}
}

// reserve takes tokens at a host; 0 means all that it has.
func (s *simulation) reserve(p *process, tokens int64) {
	if !s.fresh(p) {
		return
	}
	now := s.clock(p)
	if tokens == 0 {
		tokens = p.account.Available(now)
	}
	if tokens <= 0 {
		return
	}
	r, ok := p.account.Reserve(now, tokens)
	if !ok {
		return
	}
	e := &spendRecord{at: s.now, tokens: float64(tokens)}
	s.spent = append(s.spent, e)
	p.open = append(p.open, &openReservation{account: p.account, reservation: r, spent: e})
	s.check()
}

func (s *simulation) settle(p *process) {
	if len(p.open) == 0 {
		return
	}
	i := s.choose(len(p.open))
	o := p.open[i]
	p.open = append(p.open[:i:i], p.open[i+1:]...)
	used := int64(s.choose(int(o.reservation.Tokens) + 1))
	if s.choose(2) == 0 {
		used = 0
	}
	o.spent.tokens = float64(used)
	switch s.fault {
	case refundIgnoresHeadroom:
		for _, part := range o.reservation.parts {
			if part.grant == nil && part.pool == o.account.pool {
				part.pool.bucket.history = headroomHistory{}
			}
		}
		o.account.Settle(s.clock(p), o.reservation, used)
	case refundKeepsHistory:
		s.settleKeepingHistory(p, o, used)
	default:
		o.account.Settle(s.clock(p), o.reservation, used)
	}
}

func (s *simulation) settleKeepingHistory(p *process, o *openReservation, used int64) {
	var before headroomHistory
	if o.account.pool != nil {
		h := o.account.pool.bucket.history
		before = headroomHistory{records: append([]headroomRecord(nil), h.records...), last: h.last}
	}
	o.account.Settle(s.clock(p), o.reservation, used)
	if o.account.pool != nil {
		o.account.pool.bucket.history = before
	}
}

// limitsInForce returns the largest rate and burst of the revisions that some host may
// act on, or may hold grants of, at true time t.
func (s *simulation) limitsInForce(t time.Duration) Limits {
	// No clock may stretch the wait by more than the drift bound.
	wait := time.Duration(float64(simulationTiming.TakeoverWait()) / (1 - MaxClockDrift))
	var most Limits
	for k, r := range s.revisions {
		replaced := k+1 < len(s.revisions) && s.revisions[k+1].committed+wait < t
		if r.committed <= t && !replaced && !r.absent {
			most.Rate, most.Burst = max(most.Rate, r.limits.Rate), max(most.Burst, r.limits.Burst)
		}
	}
	return most
}

// refillBetween returns the integral of the largest rate in force over [from, to].
func (s *simulation) refillBetween(from, to time.Duration) float64 {
	wait := time.Duration(float64(simulationTiming.TakeoverWait()) / (1 - MaxClockDrift))
	boundaries := []time.Duration{to}
	for _, r := range s.revisions {
		boundaries = append(boundaries, r.committed, r.committed+wait)
	}
	var sum float64
	for at := from; at < to; {
		next := to
		for _, c := range boundaries {
			if c > at && c < next {
				next = c
			}
		}
		sum += (next - at).Seconds() * s.limitsInForce((at+next)/2).Rate
		at = next
	}
	return sum
}

// check compares each window that ends now with the account's limits. Windows that
// ended earlier were checked then, and settling only lowers what was spent.
func (s *simulation) check() {
	const rounding = 1e-6
	var sum, refill float64
	last := s.now
	for i := len(s.spent) - 1; i >= 0; i-- {
		e := s.spent[i]
		sum += e.tokens
		refill += s.refillBetween(e.at, last)
		last = e.at
		if bound := refill + s.limitsInForce(e.at).Burst; sum > bound+rounding {
			s.violation = fmt.Sprintf("%.3f tokens spent in [%v, %v], at most %.3f allowed", sum, e.at, s.now, bound)
			return
		}
	}
}
