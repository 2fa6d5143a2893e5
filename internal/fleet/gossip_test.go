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

// gossipHosts is the size of a fleet in which hosts do not probe all others.
const gossipHosts = maxFullMeshHosts + 8

// startGossipFleet runs gossipHosts hosts and waits until all are live and the member
// list is full.
func (c *cluster) startGossipFleet() []*host {
	c.t.Helper()
	hosts := make([]*host, gossipHosts)
	for i := range hosts {
		hosts[i] = c.start(fmt.Sprintf("host-%02d", i), "")
	}
	c.awaitLive(hosts, gossipHosts)
	c.awaitMembers(hosts, MaxMembers)
	return hosts
}

// nonMemberIndex returns the index of a host that is not a member.
func nonMemberIndex(hosts []*host) int {
	for i, h := range hosts {
		if !h.fleet.isListed(h.fleet.Self()) {
			return i
		}
	}
	return -1
}

// isDraining reports whether h lists the host with the ID as draining.
func isDraining(h *host, id string) bool {
	for _, s := range h.fleet.Hosts() {
		if s.Member.HostID == id {
			return s.Draining
		}
	}
	return false
}

// Guards against hosts that do not probe a draining, dead or restarted host and keep its
// old state for longer than 2 s (3 s for a dead host). The locator would return it to
// clients.
func TestHostStatesPropagateInLargeFleet(t *testing.T) {
	c := newCluster(t)
	hosts := c.startGossipFleet()
	i := nonMemberIndex(hosts)
	self := hosts[i].fleet.Self()

	hosts[i].fleet.SetDraining(true)
	c.g.Eventually(func() bool {
		return all(hosts, func(h *host) bool { return isDraining(h, self.HostID) })
	}, 2*time.Second, 10*time.Millisecond).Should(BeTrue())

	hosts[i].stop()
	rest := append(append([]*host{}, hosts[:i]...), hosts[i+1:]...)
	start := time.Now()
	c.awaitLive(rest, len(rest))
	c.g.Expect(time.Since(start)).To(BeNumerically("<", 3*time.Second))

	hosts[i] = c.start(self.HostID, hosts[i].address)
	c.awaitLive(hosts, len(hosts))
	c.g.Expect(all(hosts, func(h *host) bool { return !isDraining(h, self.HostID) })).To(BeTrue())
}

// Guards against hosts that each side of a partition marked as dead and that stay dead
// after the partition, and against hosts in the minority that stay fresh during it.
func TestLargeFleetRecoversAfterPartition(t *testing.T) {
	c := newCluster(t)
	hosts := c.startGossipFleet()
	var isolated, rest []*host
	for _, h := range hosts {
		if len(isolated) < 4 && !h.fleet.isListed(h.fleet.Self()) {
			isolated = append(isolated, h)
		} else {
			rest = append(rest, h)
		}
	}
	c.setPartitioned(true, isolated...)
	c.awaitLive(rest, len(rest))
	c.g.Eventually(func() bool { return all(isolated, func(h *host) bool { return !h.fleet.Fresh() }) }, testDeadline).Should(BeTrue())
	_, err := rest[0].fleet.Propose(testContext(t), setPreset(config.PresetPeak), ProposeOptions{})
	c.g.Expect(err).NotTo(HaveOccurred())
	c.setPartitioned(false, isolated...)
	c.awaitLive(hosts, len(hosts))
	for _, h := range hosts {
		c.g.Expect(h.fleet.Index().Document().Preset).To(Equal(config.PresetPeak))
	}
}

// Guards against a host that missed the commit notice of a change and is then reported
// as expired, or delays the result by the freshness deadline, although it has applied
// the change.
func TestHostThatMissedCommitNoticeConfirmsChange(t *testing.T) {
	c := newCluster(t)
	hosts := c.startGossipFleet()
	isolated := hosts[nonMemberIndex(hosts)]
	c.setPartitioned(true, isolated)
	time.AfterFunc(500*time.Millisecond, func() { c.setPartitioned(false, isolated) })
	start := time.Now()
	status, err := hosts[nonMemberIndex(hosts)+1].fleet.Propose(testContext(t), setPreset(config.PresetPeak), ProposeOptions{})
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(time.Since(start)).To(BeNumerically("<", DefaultFreshnessDeadline))
	c.g.Expect(status.Confirmed).To(HaveLen(gossipHosts))
}

// Guards against probes with redundant entries or field names. A member takes part in
// about 60 exchanges/s, and its control traffic would exceed 13 KB/s.
func TestLargeFleetProbesAreSmall(t *testing.T) {
	const limit = 130 // bytes of both bodies
	g := NewWithT(t)
	evidence := freshness.Evidence{Valid: true, Age: time.Second}
	member := config.Member{HostID: "host", Incarnation: "i1"}
	reply := &probeReply{Member: member, Fresh: true, HasEvidence: true, EvidenceAge: time.Second,
		Report: freshness.Report{From: toFreshnessMember(member), Applied: 1000, Full: evidence, Conditional: evidence},
		Gossip: &gossip.Reply{Epoch: 1 << 63, UpTo: 1000, Sum: 1 << 63}}
	known := gossip.MemberHash(member)
	reply.omitKnown(known)
	request, err := wire.Encode(&probeRequest{Known: known, Gossip: &gossip.Request{Epoch: 1 << 63, After: 1000, Sum: 1 << 63}})
	g.Expect(err).NotTo(HaveOccurred())
	encodedReply, err := wire.Encode(reply)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(request) + len(encodedReply)).To(BeNumerically("<", limit))
}

// Guards against a member list that loses its majority with one availability zone
// although hosts of other zones are available, and against a list that keeps changing.
func TestMembersAreBalancedAcrossZones(t *testing.T) {
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
	revision := hosts[0].fleet.Index().Document().Revision
	c.g.Consistently(func() uint64 { return hosts[0].fleet.Index().Document().Revision },
		2*memberTakeoverAfter, 100*time.Millisecond).Should(Equal(revision))
}
