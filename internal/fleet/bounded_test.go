package fleet

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sequoiaroad/sequoiaroad/internal/wire"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/freshness"
	"github.com/sequoiaroad/sequoiaroad/policy/gossip"
	"github.com/sequoiaroad/sequoiaroad/policy/membership"
)

// boundedHosts is a fleet in which hosts do not probe all others.
const boundedHosts = fullProbeHosts + 8

func (c *cluster) startBounded() []*host {
	c.t.Helper()
	hosts := make([]*host, boundedHosts)
	for i := range hosts {
		hosts[i] = c.start(fmt.Sprintf("host-%02d", i), "")
	}
	c.awaitLive(hosts, boundedHosts)
	c.awaitMembers(hosts, MaxMembers)
	return hosts
}

// outsider returns the index of a host that is not a member.
func outsider(hosts []*host) int {
	for i, h := range hosts {
		if !h.fleet.lists(h.fleet.Self()) {
			return i
		}
	}
	return -1
}

func drains(h *host, id string) bool {
	for _, s := range h.fleet.Hosts() {
		if s.Member.HostID == id {
			return s.Draining
		}
	}
	return false
}

// Guards against a draining, dead or restarted host that the hosts which do not probe
// it go on holding as it was for longer than 2 s, which the locator would pass on.
func TestHostStatesSpreadInALargeFleet(t *testing.T) {
	c := newCluster(t)
	hosts := c.startBounded()
	i := outsider(hosts)
	self := hosts[i].fleet.Self()

	hosts[i].fleet.SetDraining(true)
	c.g.Eventually(func() bool {
		return all(hosts, func(h *host) bool { return drains(h, self.HostID) })
	}, 2*time.Second, 10*time.Millisecond).Should(BeTrue())

	hosts[i].stop()
	rest := append(append([]*host{}, hosts[:i]...), hosts[i+1:]...)
	start := time.Now()
	c.awaitLive(rest, len(rest))
	c.g.Expect(time.Since(start)).To(BeNumerically("<", 3*time.Second))

	hosts[i] = c.start(self.HostID, hosts[i].address)
	c.awaitLive(hosts, len(hosts))
	c.g.Expect(all(hosts, func(h *host) bool { return !drains(h, self.HostID) })).To(BeTrue())
}

// Guards against hosts that each side of a partition declared dead and that stay dead
// after it, and against hosts without the majority that stay fresh in it.
func TestLargeFleetHealsAfterAPartition(t *testing.T) {
	c := newCluster(t)
	hosts := c.startBounded()
	var cut, rest []*host
	for _, h := range hosts {
		if len(cut) < 4 && !h.fleet.lists(h.fleet.Self()) {
			cut = append(cut, h)
		} else {
			rest = append(rest, h)
		}
	}
	c.setPartitioned(true, cut...)
	c.awaitLive(rest, len(rest))
	c.g.Eventually(func() bool { return all(cut, func(h *host) bool { return !h.fleet.Fresh() }) }, testDeadline).Should(BeTrue())
	_, err := rest[0].fleet.Propose(testContext(t), setPreset(config.PresetPeak), ProposeOptions{})
	c.g.Expect(err).NotTo(HaveOccurred())
	c.setPartitioned(false, cut...)
	c.awaitLive(hosts, len(hosts))
	for _, h := range hosts {
		c.g.Expect(h.fleet.Index().Document().Preset).To(Equal(config.PresetPeak))
	}
}

// Guards against a host that missed the message about a change and is then reported as
// expired, or delays the report by the deadline, although it has applied the change.
func TestHostThatMissedAChangeConfirmsIt(t *testing.T) {
	c := newCluster(t)
	hosts := c.startBounded()
	missing := hosts[outsider(hosts)]
	c.setPartitioned(true, missing)
	time.AfterFunc(500*time.Millisecond, func() { c.setPartitioned(false, missing) })
	start := time.Now()
	report, err := hosts[outsider(hosts)+1].fleet.Propose(testContext(t), setPreset(config.PresetPeak), ProposeOptions{})
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(time.Since(start)).To(BeNumerically("<", DefaultFreshnessDeadline))
	c.g.Expect(report.Confirmed).To(HaveLen(boundedHosts))
}

// Guards against probes that carry entries and field names for nothing, which would take
// the control traffic of a member above 13 KB/s: it takes part in about 60 exchanges/s.
func TestProbesOfALargeFleetAreSmall(t *testing.T) {
	const limit = 130 // bytes of both bodies
	g := NewWithT(t)
	evidence := freshness.Evidence{Valid: true, Age: time.Second}
	member := config.Member{HostID: "host", Incarnation: "i1"}
	reply := &probeReply{Member: member, Fresh: true, HasEvidence: true, EvidenceAge: time.Second,
		Report: freshness.Report{From: memberOf(member), Applied: 1000, Full: evidence, Conditional: evidence},
		Gossip: &gossip.Reply{Epoch: 1 << 63, UpTo: 1000, Sum: 1 << 63}}
	known := gossip.MemberHash(member)
	reply.shorten(known)
	sent, err := wire.Encode(&probe{Known: known, Gossip: &gossip.Request{Epoch: 1 << 63, After: 1000, Sum: 1 << 63}})
	g.Expect(err).NotTo(HaveOccurred())
	received, err := wire.Encode(reply)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(sent) + len(received)).To(BeNumerically("<", limit))
}

// Guards against a member list that one availability zone can take the majority from
// although hosts of other zones wait, and against a list that goes on changing.
func TestMembersSpreadOverZones(t *testing.T) {
	c := newCluster(t)
	var hosts []*host
	for _, zone := range []string{"a", "b", "c"} {
		c.zone = zone
		for i := range MaxMembers {
			hosts = append(hosts, c.start(fmt.Sprint("host-", zone, i), ""))
		}
		c.awaitLive(hosts, len(hosts))
		if zone == "a" {
			c.awaitMembers(hosts, MaxMembers)
		}
	}
	c.g.Eventually(func() bool {
		zones := map[string]int{}
		for _, m := range hosts[0].fleet.Index().Document().Members {
			zones[m.Zone]++
		}
		return max(zones["a"], zones["b"], zones["c"]) <= membership.MaxPerZone(MaxMembers)
	}, testDeadline, 20*time.Millisecond).Should(BeTrue())
	settled := hosts[0].fleet.Index().Document().Revision
	c.g.Consistently(func() uint64 { return hosts[0].fleet.Index().Document().Revision },
		2*placeAfter, 100*time.Millisecond).Should(Equal(settled))
}
