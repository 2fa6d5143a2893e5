package exchange

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// joinLate adds a host that starts now and asks the first hosts of the model.
func (m *model) joinLate(id, zone string) *modelHost {
	h := &modelHost{host: Host{ID: id, Zone: zone, InnerAddress: id, Capacity: 19}, phase: time.Duration(m.random.IntN(25)) * modelStep}
	var seeds []string
	for _, other := range m.hosts[:min(3, len(m.hosts))] {
		seeds = append(seeds, other.host.ID)
	}
	m.hosts = append(m.hosts, h)
	m.byAddr[id] = h
	m.start(h, seeds)
	return h
}

// expectExactHosts checks that each host directs callers to the hosts that run, and counts no
// other one as responsive.
func (m *model) expectExactHosts(g *WithT) {
	for _, h := range m.hosts {
		if h.down {
			continue
		}
		for _, other := range m.hosts {
			if other != h {
				g.Expect(h.Responds(other.host.ID)).To(Equal(!other.down), "%s at %s", other.host.ID, h.host.ID)
			}
		}
		for _, live := range h.Live() {
			g.Expect(m.byAddr[live.ID].down).To(BeFalse(), "%s directs callers to %s", h.host.ID, live.ID)
		}
	}
}

// settleAfterLoss is the time from a loss, or from a join after it, until all hosts have noticed
// both: the time without news after which a host is unresponsive, at the host itself and at
// those that hear of it from a hub, and two rounds.
const settleAfterLoss = 2*liveTimeout + 4*RoundInterval

// Guards against a host that joins while another one is dying, as a replacement does, and that
// takes the dead one for alive without end, because it heard of it from a host that no longer
// tells of it; and against hosts that take the new one for dead.
func TestHostThatJoinsAfterALossForgetsTheDeadOne(t *testing.T) {
	for _, hosts := range []int{2, 3, 7, 9, 16, 17, 30, 62} {
		for _, dead := range []int{0, 1, hosts - 1} {
			t.Run(fmt.Sprintf("%d hosts, %d dies", hosts, dead), func(t *testing.T) {
				t.Parallel()
				for delay := time.Duration(0); delay <= 4*time.Second; delay += 200 * time.Millisecond {
					g := NewWithT(t)
					m := newModel(uint64(delay), hosts, 3)
					m.run(4 * time.Second)
					m.hosts[dead].down = true
					m.run(delay)
					m.joinLate("joined", "z1")
					m.run(settleAfterLoss)
					m.expectExactHosts(g)
					m.run(liveTimeout)
					m.expectExactHosts(g)
				}
			})
		}
	}
}

// Guards against a host that is taken for dead for a moment, because the hub that told of it is
// the hub of this host no more.
func TestHostThatBecomesAHubLosesNoLiveHost(t *testing.T) {
	for _, hosts := range []int{7, 17, 30, 62} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(10) {
				g := NewWithT(t)
				m := newModel(seed, hosts, 3)
				m.run(4 * time.Second)
				joined := m.joinLate("joined", "z1")
				m.run(2 * time.Second)
				for range 400 {
					m.step()
					g.Expect(joined.Live()).To(HaveLen(hosts), "seed %d, %s after the join", seed, m.now.Sub(joined.started))
				}
			}
		})
	}
}
