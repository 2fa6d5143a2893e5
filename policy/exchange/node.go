// Package exchange decides what the hosts of a fleet tell each other: which hosts live, how
// much they have admitted for each client account, how many requests they have in flight at
// each target, and which parts of prompts targets hold. It does no I/O; the current time is
// an argument.
//
// In a large fleet the hosts of an availability zone form a group. Each host reports what
// has changed to the hub of its group, whose reply carries what has changed in the fleet.
// The hubs report to each other. So a host sends and receives one message a round, whose size
// grows with the number of accounts and targets but not with the number of hosts. In a small
// fleet each host is the hub of a group of its own: all report to all.
//
// No host is appointed as hub. A host reports to the one that it takes for the best, and who
// gets reports is a hub. Two hubs in a group therefore do no harm.
//
// Invariants:
//   - What a host has admitted is attributed to a hub, and the totals of each hub reach all
//     hosts, by whatever way. Only what a hub had not told the others when a host left it is
//     attributed again to the next one, and so may be counted twice.
//   - Loads are what each host last reported; those of a silent host lapse.
//   - What is told of a host never replaces something that is newer.
package exchange

import (
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/backpressure"
)

const (
	// RoundInterval is the interval between rounds, and ReplyTimeout the time after which a
	// report without a reply has failed.
	RoundInterval = 250 * time.Millisecond
	ReplyTimeout  = 450 * time.Millisecond
	// startInterval replaces RoundInterval for startTime after the start of a process in a
	// small fleet: if all hosts start at the same time, each has full buckets until it learns
	// what the others admit.
	startInterval = 80 * time.Millisecond
	startTime     = 3 * time.Second
	// slowFleet is the number of hosts from which a host that is no hub reports only every
	// second round.
	slowFleet = 96
	// loadTimeout is how long reported loads count.
	loadTimeout = 1500 * time.Millisecond
	// failuresToLeave is the number of failed calls in a row after which a host is not
	// chosen as hub, for minRetry. The time doubles with each further failure up to maxRetry.
	failuresToLeave = 2
	minRetry        = 2 * time.Second
	maxRetry        = 8 * time.Second
	// seekInterval is the interval between reports to the hosts that would be better hubs
	// of the own group or that may be hubs of groups without news, whether they respond or
	// not.
	seekInterval = time.Second
	// seedInterval is the interval between reports to seeds that are not known as hosts. It
	// is seekInterval in a process that has just started.
	seedInterval = 5 * time.Second
	// redirectTTL is how long a hub that another host has named gets reports.
	redirectTTL = 3 * time.Second
)

// source is a host that reports to this one.
type source struct {
	incarnation string
	hub         bool
	round       uint64
	heardAt     time.Time
	// admitted is what the host has admitted, and counted what of it this host, as its hub,
	// has attributed to itself.
	admitted, counted map[string]float64
	loads             map[string]int
	suspects          []string
	// resentAt is when this host last asked for all hosts that report to the source.
	resentAt time.Time
}

// contact is what this host knows of a host to which it reports.
type contact struct {
	incarnation string
	// through is the state of this host that the contact has; zero for none. hostsThrough
	// is that of the hosts that report to this one.
	through, hostsThrough uint64
	// busy means that a report awaits its reply.
	busy          bool
	failures      int
	failedUntil   time.Time
	lastAttemptAt time.Time
	// spreadAt is when the last report that arrived was sent; redirects means that the host
	// is no hub.
	spreadAt  time.Time
	redirects bool
	// reported are the loads of this host that the contact has, and counted is what it has
	// attributed to itself, as a hub, of what this host has admitted.
	reported map[string]int
	counted  map[string]float64
}

// upstream is the hub to which this host reports, and what the hub has told of the fleet.
type upstream struct {
	id, incarnation string
	// state is the state of the hub that this host has.
	state     uint64
	repliedAt time.Time
	// loads are those of the other hosts.
	loads map[string]int
}

// limit is a limit of a target as it was reported.
type limit struct {
	report     backpressure.Report
	receivedAt time.Time
	changed    uint64
	// fromGroup means that a host of the own group, or this host, reported it.
	fromGroup bool
}

// Node is one host's part in the exchange. It is not safe for concurrent use.
type Node struct {
	self    Host
	seeds   []string
	isSeed  bool
	state   uint64
	round   uint64
	started time.Time
	// informedAt is when this host, as one that is no hub, was last told of the fleet.
	informedAt time.Time
	local      Local
	// group are the sums of this host and of those that are no hubs and report to it; fleet
	// are those of all.
	group, fleet *sums
	hosts        hostTable
	sources      map[string]*source
	contacts     map[string]*contact
	// redirects are hubs that other hosts have named, with the end of their use.
	redirects map[string]time.Time
	limits    map[string]*limit
	up        *upstream
	own       ownUsage
	// totals holds the totals of each hub, by its ID.
	totals map[string]*hubTotals
	// ownLoads are the loads that group holds of this host.
	ownLoads     map[string]int
	seedsAskedAt time.Time
	// joining means that this process has just started and has not found its hub.
	joining bool
	// peerHubs are the hosts to which this host last reported as a hub.
	peerHubs []string
	groups   [][]candidate
	// groupsVersion is the version of the hosts for which groups was computed.
	groupsVersion uint64
}

// New returns a node that knows no other host. seeds are addresses of hosts to ask first.
func New(self Host, seeds []string, now time.Time) *Node {
	n := &Node{
		self: self, started: now, joining: true, group: newSums(), fleet: newSums(), hosts: hostTable{byID: map[string]*hostState{}, version: 1},
		sources: map[string]*source{}, contacts: map[string]*contact{}, redirects: map[string]time.Time{},
		limits: map[string]*limit{}, ownLoads: map[string]int{},
		own:    ownUsage{admitted: map[string]float64{}, settled: map[string]float64{}},
		totals: map[string]*hubTotals{self.ID: newHubTotals(self.Incarnation)},
	}
	for _, address := range seeds {
		if address == self.InnerAddress {
			n.isSeed = true
			continue
		}
		n.seeds = append(n.seeds, address)
	}
	return n
}

// AddHost adds a host that the store lists and that is not known. It counts as unresponsive
// until it is heard.
func (n *Node) AddHost(h Host, now time.Time) {
	if h.ID == n.self.ID || n.hosts.byID[h.ID] != nil {
		return
	}
	n.state++
	n.hosts.byID[h.ID] = &hostState{HostRecord: HostRecord{Host: h, Status: Unresponsive}, unresponsiveAt: now, changed: n.state}
	n.hosts.version++
}

// Round begins a round: it takes over the state of this host, notes who has become silent,
// and returns the reports to send.
func (n *Node) Round(local Local, now time.Time) ([]Outgoing, Learned) {
	n.round++
	var learned Learned
	n.takeLocal(local, now)
	n.expire(&learned, now)
	for _, t := range n.totals {
		t.keepHistory(now)
	}
	if n.isJoining(now) {
		return n.join(now), learned
	}
	if hub := n.Hub(now); hub != n.self.ID {
		n.becomeMember(&learned, now)
		if n.round%2 == 1 && len(n.hosts.byID) >= slowFleet && n.up != nil && n.up.id == hub {
			return nil, learned
		}
		return n.reportTo([]string{hub}, false, now), learned
	}
	n.leaveHub(&learned)
	n.attributeOwn()
	n.peerHubs = n.otherHubs(now)
	if n.joining {
		n.peerHubs = n.heardHubIDs(now) // the groups are not known yet
	}
	return append(n.reportTo(n.peerHubs, true, now), n.reportToLostSeeds(now)...), learned
}

// Interval returns the time until the next round.
func (n *Node) Interval(now time.Time) time.Duration {
	if len(n.hosts.byID) < DirectHosts && now.Sub(n.started) < startTime {
		return startInterval
	}
	return RoundInterval
}

// takeLocal takes over what this host has admitted and its loads.
func (n *Node) takeLocal(local Local, now time.Time) {
	n.local = local
	n.state++
	for account, admitted := range local.Usage {
		n.own.admitted[account] = max(n.own.admitted[account], admitted)
	}
	setLoads(n.ownLoads, local.Loads, true, func(target string, change int) {
		n.group.addLoad(target, change, n.state, now)
		n.fleet.addLoad(target, change, n.state, now)
	})
	for _, r := range local.Limits {
		n.recordLimit(r, true, now)
	}
}

// attributeOwn attributes to this host, as a hub, what it has admitted.
func (n *Node) attributeOwn() {
	totals := n.totals[n.self.ID]
	for account, admitted := range n.own.admitted {
		if amount := admitted - n.own.settled[account]; amount > 0 {
			totals.raise(account, totals.byAccount[account].value+amount, n.state)
			n.own.settled[account] = admitted
		}
	}
}

// setLoads updates loads to reported ones and calls changed for each difference. If the
// report is complete, targets that it lacks have no load.
func setLoads(loads, reported map[string]int, complete bool, changed func(target string, change int)) {
	if complete {
		for target, count := range loads {
			if _, ok := reported[target]; !ok {
				delete(loads, target)
				changed(target, -count)
			}
		}
	}
	for target, count := range reported {
		if change := count - loads[target]; change != 0 {
			loads[target] = count
			changed(target, change)
		}
		if count == 0 {
			delete(loads, target)
		}
	}
}

// expire notes which hosts have become silent, and drops their loads.
func (n *Node) expire(learned *Learned, now time.Time) {
	n.state++
	for id, s := range n.sources {
		silent := now.Sub(s.heardAt)
		if silent > loadTimeout {
			n.dropLoads(s, learned, now)
			s.suspects = nil
		}
		if silent > liveTimeout+forgetTimeout {
			delete(n.sources, id)
		}
	}
	if n.up != nil && now.Sub(n.up.repliedAt) > loadTimeout {
		n.dropUpstreamLoads(learned)
		n.up.state = 0 // the hub must tell all loads again
	}
	n.hosts.setLost(func(h *hostState) bool { return n.isSilent(h, now) }, n.state, now)
	n.hosts.removeForgotten(now)
	for id, until := range n.redirects {
		if now.After(until) {
			delete(n.redirects, id)
		}
	}
	for id, c := range n.contacts {
		if n.hosts.byID[id] == nil && !c.busy {
			delete(n.contacts, id)
		}
	}
	for target, l := range n.limits {
		if now.Sub(l.receivedAt) > limitTTL {
			delete(n.limits, target)
		}
	}
	for hub, t := range n.totals {
		if n.hosts.byID[hub] == nil && hub != n.self.ID && now.Sub(t.raisedAt) > totalsTTL {
			delete(n.totals, hub)
		}
	}
	n.group.pruneLoads(now)
	n.fleet.pruneLoads(now)
}

// limitTTL is how long the limit of a target is kept for receivers. Hosts that know it
// report it in each round.
const limitTTL = 10 * time.Second

// isSilent reports whether nobody tells of a host any more.
func (n *Node) isSilent(h *hostState, now time.Time) bool {
	if h.via == "" {
		return now.Sub(h.heardAt) > liveTimeout
	}
	if n.up != nil && n.up.id == h.via {
		return now.Sub(n.up.repliedAt) > liveTimeout
	}
	if s := n.sources[h.via]; s != nil && !h.adopted {
		return now.Sub(s.heardAt) > liveTimeout
	}
	return now.Sub(n.informedAt) > liveTimeout // told by the hub of this host until recently
}

func (n *Node) dropLoads(s *source, learned *Learned, now time.Time) {
	setLoads(s.loads, nil, true, func(target string, change int) { n.addSourceLoad(s, target, change, learned, now) })
}

func (n *Node) addSourceLoad(s *source, target string, change int, learned *Learned, now time.Time) {
	if !s.hub {
		n.group.addLoad(target, change, n.state, now)
	}
	n.fleet.addLoad(target, change, n.state, now)
	learned.Loads = append(learned.Loads, LoadDelta{target, change})
}

func (n *Node) dropUpstreamLoads(learned *Learned) {
	setLoads(n.up.loads, nil, true, func(target string, change int) {
		learned.Loads = append(learned.Loads, LoadDelta{target, change})
	})
}

func (n *Node) contact(id string) *contact {
	c := n.contacts[id]
	if c == nil {
		c = &contact{reported: map[string]int{}, counted: map[string]float64{}}
		n.contacts[id] = c
	}
	return c
}

// begin forgets what an earlier incarnation of the contact had.
func (c *contact) begin(incarnation string) {
	if c.incarnation == incarnation {
		return
	}
	c.incarnation, c.through, c.hostsThrough = incarnation, 0, 0
	clear(c.reported)
	clear(c.counted)
}
