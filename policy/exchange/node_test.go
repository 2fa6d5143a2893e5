package exchange

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sequoiaroad/sequoiaroad/policy/balance"
)

// watchers returns the hosts that watch the store.
func (m *model) watchers() []string {
	var out []string
	for _, h := range m.hosts {
		if !h.down && !h.frozen && h.WatchesStore(m.now) {
			out = append(out, h.host.ID)
		}
	}
	return out
}

// Guards against calls to the store that grow with the number of hosts, and against a region
// in which no host watches the store for longer than a change may take.
func TestOneHubOfEachRegionWatchesTheStore(t *testing.T) {
	g := NewWithT(t)
	m := newModel(3, 60, 6)
	for _, h := range m.hosts { // three zones a region
		h.Node.self.Region = map[bool]string{true: "north", false: "south"}[h.host.Zone < "z3"]
		h.host.Region = h.Node.self.Region
	}
	m.run(4 * time.Second)
	first := m.watchers()
	g.Expect(first).To(HaveLen(2))
	m.byAddr[first[0]].frozen = true
	m.run(2 * time.Second)
	g.Expect(m.watchers()).To(HaveLen(2))
	g.Expect(m.watchers()).NotTo(ContainElement(first[0]))
	m.byAddr[first[0]].frozen = false
	m.run(4 * time.Second)
	g.Expect(m.watchers()).To(Equal(first))
	small := newModel(3, 9, 3)
	small.run(4 * time.Second)
	g.Expect(small.watchers()).To(HaveLen(9))
}

// Guards against a hub whose store does not respond and that still watches it for its region.
func TestHubWithoutStoreIsPassedOver(t *testing.T) {
	g := NewWithT(t)
	m := newModel(4, 40, 2)
	m.run(4 * time.Second)
	first := m.watchers()
	g.Expect(first).To(HaveLen(1))
	m.byAddr[first[0]].storeLost = true
	m.run(time.Second)
	g.Expect(m.watchers()).NotTo(ContainElement(first[0]))
	g.Expect(m.watchers()).NotTo(BeEmpty())
}

// Guards against a host that takes failures of its own for an outage of the store, since it is
// not told that the store responds to another one, and against one that goes on believing so
// after that host has been lost or has lost the store.
func TestHostsKnowWhetherStoreRespondsElsewhere(t *testing.T) {
	g := NewWithT(t)
	for _, size := range [...]int{7, 40} {
		m := newModel(6, size, 2)
		m.run(4 * time.Second)
		informed := func() int {
			n := 0
			for _, h := range m.hosts {
				if h.StoreReachedElsewhere() {
					n++
				}
			}
			return n
		}
		g.Expect(informed()).To(BeZero())
		watcher := m.byAddr[m.watchers()[0]]
		watcher.reachesStore = true
		m.run(time.Second)
		g.Expect(informed()).To(Equal(size - 1))
		watcher.storeLost = true
		m.run(time.Second)
		g.Expect(informed()).To(BeZero())
		watcher.storeLost = false
		m.run(time.Second)
		g.Expect(informed()).To(Equal(size - 1))
		watcher.down = true
		m.run(3 * time.Second)
		g.Expect(informed()).To(BeNumerically("<=", 1), "the host itself does not run")
	}
}

// Guards against hosts that all report to each other when all start at the same time.
func TestStartOfAllHostsDoesNotConnectEachToAll(t *testing.T) {
	g := NewWithT(t)
	m := newModel(5, 300, 6)
	m.run(4 * time.Second)
	pairs := 0
	for _, h := range m.hosts {
		pairs += len(h.contacts)
	}
	g.Expect(pairs).To(BeNumerically("<", 6*300))
	g.Expect(m.hubIDs()).To(HaveLen(6))
}

// Guards against a host that starts beside others that run and turns a seed into a hub.
func TestHostThatStartsFindsItsHub(t *testing.T) {
	g := NewWithT(t)
	m := newModel(6, 60, 3)
	m.run(4 * time.Second)
	hubs := m.hubIDs()
	h := m.hosts[41]
	h.down = true
	m.run(2 * time.Second)
	m.start(h, []string{"h000", "h001", "h002"})
	m.run(1500 * time.Millisecond)
	g.Expect(m.hubIDs()).To(Equal(hubs))
	g.Expect(h.IsJoining()).To(BeFalse())
	g.Expect(h.Responsive()).To(HaveLen(59))
}

// Guards against a new process that is charged for what others admitted long before its
// start, and against one that is not charged for the use of the last seconds.
func TestNewProcessIsToldOfRecentUse(t *testing.T) {
	for _, hosts := range []int{9, 40} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			g := NewWithT(t)
			m := newModel(7, hosts, 2)
			m.run(2 * time.Second)
			m.runLoaded(3 * time.Second)
			m.run(2 * windowAge)
			h := m.hosts[hosts-1]
			m.start(h, []string{"h000", "h001"})
			m.run(2 * time.Second)
			g.Expect(h.charged["club-0"]).To(BeZero())
			m.runLoaded(2 * time.Second)
			m.run(2 * time.Second)
			usage, _, _ := m.admittedByOthers(h)
			h = m.hosts[hosts-1]
			m.start(h, []string{"h000", "h001"})
			m.run(2 * time.Second)
			g.Expect(h.charged["club-0"]).To(BeNumerically(">", usePerSecond))
			g.Expect(h.charged["club-0"]).To(BeNumerically("<", usage["club-0"]))
		})
	}
}

// Guards against a restart of all hosts after which each host takes what the others have
// admitted since for older use, against which its bucket would have been refilled: the burst
// of an account was granted several times.
func TestUseAfterARestartOfAllHostsCountsInFull(t *testing.T) {
	for _, hosts := range []int{2, 7, 9, 60} {
		g := NewWithT(t)
		m := newModel(9, hosts, 3)
		m.runLoaded(2 * time.Second)
		m.run(2 * time.Second)
		m.expectComplete(g, usePerSecond)
		for _, h := range m.hosts {
			g.Expect(h.discounted).To(BeZero(), h.host.ID)
		}
	}
}

// Guards against hosts of a small fleet that learn of each other's use late after all have
// started, and against a large fleet whose seeds get too many reports then.
func TestSmallFleetReportsMoreOftenAfterItsStart(t *testing.T) {
	g := NewWithT(t)
	small, large := newModel(10, 9, 3), newModel(10, 60, 3)
	small.run(time.Second)
	large.run(time.Second)
	g.Expect(small.hosts[4].Interval(small.now)).To(Equal(startInterval))
	g.Expect(large.hosts[4].Interval(large.now)).To(Equal(RoundInterval))
	small.run(startTime)
	g.Expect(small.hosts[4].Interval(small.now)).To(Equal(RoundInterval))
}

// Guards against a hub that has restarted and takes the totals of its earlier incarnation, which
// others tell it, for its own: its members then missed what it attributed.
func TestHubKeepsItsOwnTotalsAfterARestart(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_700_000_000, 0)
	hub, peer := New(Host{ID: "h2", Incarnation: "new"}, nil, now), Host{ID: "h1", Incarnation: "1"}
	report := &Report{From: &peer, Hub: true, Round: 1, Status: Ready, Changes: Changes{First: true, Usage: []HubUsage{
		{Hub: "h2", Incarnation: "old", Usage: []Usage{{Account: "club", Total: 100}}},
	}}}
	hub.HandleReport("h1", "1", report, now)
	g.Expect(hub.totals["h2"].incarnation).To(Equal("new"))
	g.Expect(hub.totals["h2"].byAccount).To(BeEmpty())
	// Nor do the totals of an earlier incarnation of another hub replace later ones.
	for i, incarnation := range []string{"1", "0"} {
		hub.HandleReport("h1", "1", &Report{Hub: true, Round: uint64(i + 2), Changes: Changes{Usage: []HubUsage{
			{Hub: "h1", Incarnation: incarnation, Usage: []Usage{{Account: "club", Total: 50}}},
		}}}, now)
	}
	g.Expect(hub.totals["h1"].incarnation).To(Equal("1"))
}

// Guards against late, repeated or foreign reports that change anything.
func TestLateAndForeignReportsChangeNothing(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_700_000_000, 0)
	sender, receiver := Host{ID: "h1", Incarnation: "1", Zone: "a"}, New(Host{ID: "h2", Incarnation: "2", Zone: "a"}, nil, now)
	report := func(round uint64, total float64, from *Host) *Report {
		return &Report{From: from, Round: round, Status: Ready, Own: []OwnUsage{{Account: "club", Total: total}},
			Changes: Changes{First: from != nil, Loads: []Load{{TargetID: "e1", Requests: int(round)}}}}
	}
	_, learned := receiver.HandleReport("h1", "1", report(5, 100, &sender), now)
	g.Expect(learned.Usage).To(ConsistOf(UsageDelta{Account: "club", Amount: 100}))
	// An earlier and a repeated report.
	for _, round := range []uint64{4, 5} {
		reply, learned := receiver.HandleReport("h1", "1", report(round, 50, nil), now)
		g.Expect(learned).To(Equal(Learned{}))
		g.Expect(reply.Changes).To(BeNil())
	}
	// A report of an incarnation that is not known, and one in another host's name.
	reply, learned := receiver.HandleReport("h1", "0", report(9, 70, nil), now)
	g.Expect(reply.Unknown).To(BeTrue())
	g.Expect(learned).To(Equal(Learned{}))
	reply, learned = receiver.HandleReport("h3", "1", report(9, 70, &sender), now)
	g.Expect(reply.Unknown).To(BeTrue())
	g.Expect(learned).To(Equal(Learned{}))
	// A report that a host sends to itself.
	self := Host{ID: "h2", Incarnation: "2"}
	_, learned = receiver.HandleReport("h2", "2", report(9, 70, &self), now)
	g.Expect(learned).To(Equal(Learned{}))
}

// Guards against cache notices that come back to their sender or do not reach all others.
func TestNoticesReachAllOthersOnce(t *testing.T) {
	g := NewWithT(t)
	m := newModel(8, 60, 3)
	m.run(4 * time.Second)
	m.hosts[7].AddNotice(balance.CacheNotice{TargetID: "e1"}, m.now)
	m.run(1500 * time.Millisecond)
	for i, h := range m.hosts {
		g.Expect(h.notices).To(Equal(map[bool]int{true: 0, false: 1}[i == 7]), h.host.ID)
	}
}
