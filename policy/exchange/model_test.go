package exchange

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const modelStep = 10 * time.Millisecond

// modelHost is a host of the model: its node, what it has admitted and what it has charged
// for the others.
type modelHost struct {
	*Node
	host     Host
	phase    time.Duration
	admitted map[string]float64
	charged  map[string]float64
	// discounted is the part of charged that has a time before the start of the process.
	discounted float64
	inFlight   map[string]int
	// others is the number of requests of other hosts that the node has told of.
	others map[string]int
	// down hosts are killed, frozen ones do nothing until they are thawed.
	down, frozen bool
	// storeLost means that the store does not respond to the host; reachesStore means that it
	// has just done so.
	storeLost, reachesStore bool
	// notices is the number of cache notices of other hosts.
	notices int
	// retired is what earlier incarnations have admitted; restarted means that there was one.
	retired   map[string]float64
	restarted bool
	// cut hosts exchange no messages with those on the other side of a cut.
	side int
}

// delivery is a message on its way.
type delivery struct {
	at  time.Time
	act func()
}

// model is a fleet whose messages have delays and may be lost.
type model struct {
	random  *rand.Rand
	now     time.Time
	hosts   []*modelHost
	byAddr  map[string]*modelHost
	queue   []delivery
	lossIn  int
	cut     bool
	reports int
}

func newModel(seed uint64, hosts, zones int) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_700_000_000, 0), byAddr: map[string]*modelHost{}}
	var seeds []string
	for i := range min(3, hosts) {
		seeds = append(seeds, fmt.Sprintf("h%03d", i))
	}
	for i := range hosts {
		id := fmt.Sprintf("h%03d", i)
		h := &modelHost{host: Host{ID: id, Zone: fmt.Sprint("z", i%zones), InnerAddress: id, Capacity: 19}, phase: time.Duration(m.random.IntN(25)) * modelStep}
		m.hosts = append(m.hosts, h)
		m.byAddr[id] = h
		m.start(h, seeds)
	}
	return m
}

// start begins a new incarnation of a host.
func (m *model) start(h *modelHost, seeds []string) {
	if h.retired == nil {
		h.retired = map[string]float64{}
	}
	for account, total := range h.admitted {
		h.retired[account] += total
		h.restarted = true
	}
	h.host.Incarnation = fmt.Sprint(m.random.Uint64())
	h.Node = New(h.host, seeds, m.now)
	h.admitted, h.charged, h.inFlight, h.others = map[string]float64{}, map[string]float64{}, map[string]int{}, map[string]int{}
	h.down = false
}

func (m *model) connected(a, b *modelHost) bool {
	return !a.down && !b.down && !(m.cut && a.side != b.side) && (m.lossIn == 0 || m.random.IntN(m.lossIn) > 0)
}

func (m *model) later(f func()) {
	delay := time.Duration(1+m.random.IntN(3)) * modelStep
	m.queue = append(m.queue, delivery{m.now.Add(delay), f})
}

func (h *modelHost) learn(l Learned) {
	for _, u := range l.Usage {
		h.charged[u.Account] += u.Amount
		if u.Over > 0 {
			h.discounted += u.Amount
		}
	}
	h.notices += len(l.Notices)
	for _, d := range l.Loads {
		h.others[d.TargetID] += d.Change
	}
}

func (h *modelHost) local() Local {
	status := Ready
	switch {
	case h.storeLost:
		status |= StoreUnreachable
	case h.reachesStore:
		status |= StoreReached
	}
	return Local{Status: status, Usage: h.admitted, Loads: h.inFlight}
}

// call sends a report and arranges for its reply or its failure.
func (m *model) call(from *modelHost, o Outgoing) {
	m.reports++
	to, node, sentAt := m.byAddr[o.Address], from.Node, m.now
	done := false
	m.queue = append(m.queue, delivery{m.now.Add(ReplyTimeout), func() {
		if !done && from.Node == node {
			done = true
			node.HandleFailure(o.To, m.now)
		}
	}})
	if !m.connected(from, to) {
		return
	}
	m.later(func() {
		if to.down || to.frozen {
			return
		}
		reply, learned := to.HandleReport(from.host.ID, node.self.Incarnation, o.Report, m.now)
		to.learn(learned)
		if !m.connected(to, from) {
			return
		}
		m.later(func() {
			if done || from.frozen || from.Node != node {
				return
			}
			done = true
			from.learn(node.HandleReply(o.To, o.Report, reply, sentAt, m.now))
		})
	})
}

// step advances the model by modelStep.
func (m *model) step() {
	m.now = m.now.Add(modelStep)
	slices.SortStableFunc(m.queue, func(a, b delivery) int { return a.at.Compare(b.at) })
	for len(m.queue) > 0 && !m.queue[0].at.After(m.now) {
		act := m.queue[0].act
		m.queue = m.queue[1:]
		act()
	}
	elapsed := m.now.Sub(time.Unix(1_700_000_000, 0))
	for _, h := range m.hosts {
		if h.down || h.frozen || (elapsed+h.phase)%RoundInterval != 0 {
			continue
		}
		outgoing, learned := h.Round(h.local(), m.now)
		h.learn(learned)
		for _, o := range outgoing {
			m.call(h, o)
		}
	}
}

func (m *model) run(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.step()
	}
}

// admit makes some hosts admit work and begin or end requests.
func (m *model) admit(work int) {
	for range work {
		h := m.hosts[m.random.IntN(len(m.hosts))]
		if h.down || h.frozen {
			continue
		}
		h.admitted[fmt.Sprint("club-", m.random.IntN(5))] += float64(1 + m.random.IntN(100))
		h.inFlight[fmt.Sprint("engine-", m.random.IntN(8))] = m.random.IntN(4)
	}
}

// runLoaded runs with work arriving all the time.
func (m *model) runLoaded(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.admit(3)
		m.step()
	}
}

// admittedByOthers returns what the hosts other than one that run have admitted, what those
// and earlier processes have, and the requests in flight.
func (m *model) admittedByOthers(self *modelHost) (usage, most map[string]float64, loads map[string]int) {
	usage, most, loads = map[string]float64{}, map[string]float64{}, map[string]int{}
	for _, h := range m.hosts {
		if h == self {
			continue
		}
		for account, total := range h.retired {
			most[account] += total
		}
		for account, total := range h.admitted {
			most[account] += total
			if !h.down {
				usage[account] += total
			}
		}
		if h.down {
			continue
		}
		for target, count := range h.inFlight {
			loads[target] += count
		}
	}
	return usage, most, loads
}

// expectComplete checks that each host knows the others, has charged all that they have
// admitted, and no more than excess beyond, and knows their loads.
func (m *model) expectComplete(g *WithT, excess float64) {
	for _, h := range m.hosts {
		if h.down {
			continue
		}
		usage, most, loads := m.admittedByOthers(h)
		alive := 0
		for _, other := range m.hosts {
			if other != h && !other.down {
				alive++
				g.Expect(h.Responds(other.host.ID)).To(BeTrue(), "%s at %s", other.host.ID, h.host.ID)
			}
		}
		g.Expect(h.Responsive()).To(HaveLen(alive), h.host.ID)
		for account, total := range usage {
			if !h.restarted {
				g.Expect(h.charged[account]).To(BeNumerically(">=", total-0.001), "%s at %s", account, h.host.ID)
			}
			g.Expect(h.charged[account]).To(BeNumerically("<=", most[account]+excess+0.001), "%s at %s", account, h.host.ID)
		}
		for target := range h.others {
			g.Expect(h.others[target]).To(Equal(loads[target]), "%s at %s", target, h.host.ID)
		}
		for target, count := range loads {
			g.Expect(h.others[target]).To(Equal(count), "%s at %s", target, h.host.ID)
		}
	}
}

func (m *model) hubIDs() []string {
	var out []string
	for _, h := range m.hosts {
		if !h.down && h.IsHub(m.now) {
			out = append(out, h.host.ID)
		}
	}
	return out
}

// Guards against usage or loads that do not reach all hosts, or are counted twice, in fleets
// of any size without failures.
func TestSumsReachAllHosts(t *testing.T) {
	for _, size := range []struct{ hosts, zones, hubs int }{{1, 1, 1}, {2, 1, 2}, {9, 3, 9}, {16, 3, 16}, {17, 3, 3}, {60, 3, 3}, {300, 6, 6}, {130, 1, 3}} {
		t.Run(fmt.Sprint(size.hosts, " hosts"), func(t *testing.T) {
			g := NewWithT(t)
			m := newModel(1, size.hosts, size.zones)
			m.run(4 * time.Second)
			g.Expect(m.hubIDs()).To(HaveLen(size.hubs))
			m.reports = 0
			m.runLoaded(3 * time.Second)
			if size.hosts >= slowFleet {
				// Two reports a second of each host, and those among the hubs.
				g.Expect(m.reports).To(BeNumerically("<=", 3*(2*size.hosts+4*size.hubs*size.hubs)))
			}
			m.run(1500 * time.Millisecond)
			m.expectComplete(g, 0)
		})
	}
}

// usePerSecond is the mean use of one client account in runLoaded.
const usePerSecond = 3 * 100 * 50.5 / 5

// hub returns the hub of the group of a host.
func (m *model) hub(h *modelHost) *modelHost { return m.byAddr[h.Hub(m.now)] }

// Guards against sums that lack what hosts have admitted, or that count more twice than the
// use of a few seconds, after hubs have died, frozen, been cut off, or acted at the same time;
// and against hosts that are not found again.
func TestSumsHoldThroughFailuresOfHubs(t *testing.T) {
	failures := map[string]func(m *model){
		"a hub dies": func(m *model) {
			m.hub(m.hosts[0]).down = true
			m.runLoaded(3 * time.Second)
		},
		"a hub freezes and comes back while another one acts": func(m *model) {
			hub := m.hub(m.hosts[0])
			hub.frozen = true
			m.runLoaded(3 * time.Second)
			hub.frozen = false
			m.runLoaded(3 * time.Second)
		},
		"a hub freezes for less than the timeout": func(m *model) {
			hub := m.hub(m.hosts[0])
			hub.frozen = true
			m.runLoaded(700 * time.Millisecond)
			hub.frozen = false
			m.runLoaded(3 * time.Second)
		},
		"two hubs in turn die": func(m *model) {
			for range 2 {
				m.hub(m.hosts[1]).down = true
				m.runLoaded(2 * time.Second)
			}
		},
		"a hub restarts": func(m *model) {
			hub := m.hub(m.hosts[2])
			hub.down = true
			m.runLoaded(time.Second)
			m.start(hub, []string{"h000", "h001", "h002"})
			m.runLoaded(3 * time.Second)
		},
		"a zone is cut off": func(m *model) {
			for _, h := range m.hosts {
				if h.host.Zone == "z1" {
					h.side = 1
				}
			}
			m.cut = true
			m.runLoaded(3 * time.Second)
			m.cut = false
			m.runLoaded(3 * time.Second)
		},
		"a group is cut apart": func(m *model) {
			for i, h := range m.hosts {
				h.side = i / 6 % 2
			}
			m.cut = true
			m.runLoaded(3 * time.Second)
			m.cut = false
			m.runLoaded(3 * time.Second)
		},
		"messages are lost": func(m *model) {
			m.lossIn = 10
			m.runLoaded(4 * time.Second)
			m.lossIn = 0
			m.run(maxRetry) // until hosts try again the hubs that they have left
		},
	}
	for name, fail := range failures {
		for _, hosts := range []int{12, 60, 300} {
			t.Run(fmt.Sprintf("%s, %d hosts", name, hosts), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				m := newModel(2, hosts, 6)
				m.run(4 * time.Second)
				m.runLoaded(time.Second)
				fail(m)
				m.run(4 * time.Second)
				m.expectComplete(g, 2*usePerSecond)
				if hosts > DirectHosts {
					g.Expect(m.hubIDs()).To(HaveLen(6))
				}
			})
		}
	}
}
