package fleet

import (
	"bytes"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

// Guards against hosts that start together and never become members because their
// changes conflict again and again.
func TestStartingHostsJoin(t *testing.T) {
	c := newCluster(t)
	c.startHosts(5)
}

// Guards against a change that is reported as confirmed by a host that has not applied
// it, and against a change that takes longer than 3 s with all hosts reachable.
func TestChangeIsAppliedOnAllHosts(t *testing.T) {
	c := newCluster(t)
	hosts := c.startHosts(3)
	start := time.Now()
	status, err := hosts[1].fleet.Propose(testContext(t), setPreset(config.PresetPeak), ProposeOptions{Operator: "op"})
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(time.Since(start)).To(BeNumerically("<", 3*time.Second))
	c.g.Expect(status.Confirmed).To(ConsistOf("host-0", "host-1", "host-2"))
	for _, h := range hosts {
		c.g.Expect(h.fleet.Index().Document().Preset).To(Equal(config.PresetPeak))
	}
}

// Guards against a restarted host that returns to an older configuration, leaves its
// earlier incarnation listed, or never becomes fresh again.
func TestRestartedHostReplacesItsEntry(t *testing.T) {
	c := newCluster(t)
	hosts := c.startHosts(3)
	_, err := hosts[0].fleet.Propose(testContext(t), setPreset(config.PresetPeak), ProposeOptions{})
	c.g.Expect(err).NotTo(HaveOccurred())
	hosts[2].stop()
	hosts[2] = c.start("host-2", hosts[2].address)
	c.awaitAgreement(hosts)
	c.g.Expect(hosts[2].fleet.Index().Document().Preset).To(Equal(config.PresetPeak))
}

// Guards against a deadlock of hosts that restart together: the incarnations that would
// have to acknowledge a change have all ended.
func TestSimultaneousRestart(t *testing.T) {
	c := newCluster(t)
	hosts := c.startHosts(7)
	for _, h := range hosts {
		h.stop()
	}
	for i, h := range hosts {
		hosts[i] = c.start(h.fleet.Self().HostID, h.address)
	}
	c.awaitAgreement(hosts)
}

// Guards against a host that starts while the store is down and gets no configuration
// from its peers, and against evidence that counts its new incarnation as a member.
func TestHostRestartsWhileStoreIsDown(t *testing.T) {
	c := newCluster(t)
	hosts := c.startHosts(3)
	revision := hosts[0].fleet.Index().Document().Revision
	c.store.setDown(true)
	hosts[2].stop()
	hosts[2] = c.start("host-2", hosts[2].address)
	c.g.Eventually(hosts[2].fleet.Fresh, testDeadline).Should(BeTrue())
	c.g.Expect(hosts[2].fleet.Index().Document().Revision).To(Equal(revision))
	c.g.Expect(hosts[2].fleet.Index().Document().Members).NotTo(ContainElement(hosts[2].fleet.Self()))
	c.store.setDown(false)
	c.awaitAgreement(hosts)
}

// Guards against hosts that become stale when the store is down although a majority of
// the members replies.
func TestHostsStayFreshWhileStoreIsDown(t *testing.T) {
	c := newCluster(t)
	hosts := c.startHosts(3)
	c.store.setDown(true)
	c.g.Consistently(func() bool {
		return hosts[0].fleet.Fresh() && hosts[1].fleet.Fresh() && hosts[2].fleet.Fresh()
	}, DefaultFreshnessDeadline+time.Second, 50*time.Millisecond).Should(BeTrue())
}

// Guards against a withdrawn key that stays valid while the store is down, also on a
// host that starts later, and against a withdrawal that is never accepted.
func TestWithdrawalPropagatesWhileStoreIsDown(t *testing.T) {
	c := newCluster(t)
	hosts := c.startHosts(3)
	c.store.setDown(true)
	start := time.Now()
	_, err := hosts[0].fleet.Propose(testContext(t), withdrawKey("k2"), ProposeOptions{})
	c.g.Expect(errors.Is(err, ErrNotAccepted)).To(BeTrue(), "%v", err)
	withdrawn := func() bool {
		return hosts[0].fleet.Withdrawn("k2") && hosts[1].fleet.Withdrawn("k2") && hosts[2].fleet.Withdrawn("k2")
	}
	c.g.Eventually(withdrawn, testDeadline, 10*time.Millisecond).Should(BeTrue())
	c.g.Expect(time.Since(start)).To(BeNumerically("<", DefaultFreshnessDeadline))
	hosts[2].stop()
	hosts[2] = c.start("host-2", hosts[2].address)
	c.g.Eventually(withdrawn, testDeadline, 10*time.Millisecond).Should(BeTrue())
	c.g.Expect(hosts[1].fleet.Withdrawn("k1")).To(BeFalse())

	c.store.setDown(false)
	c.g.Eventually(func() bool {
		return hosts[1].fleet.Index().ClientKey("two") == nil
	}, testDeadline, 20*time.Millisecond).Should(BeTrue())
	c.g.Expect(hosts[1].fleet.Withdrawn("k2")).To(BeTrue())
}

// Guards against a partitioned minority that stays fresh with an old configuration after
// the freshness deadline, and against one that does not recover.
func TestPartitionedMinorityBecomesStale(t *testing.T) {
	c := newCluster(t)
	hosts := c.startHosts(5)
	minority := hosts[3:]
	c.setPartitioned(true, minority...)
	start := time.Now()
	status, err := hosts[0].fleet.Propose(testContext(t), setPreset(config.PresetPeak), ProposeOptions{})
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(time.Since(start)).To(BeNumerically("<", DefaultFreshnessDeadline+time.Second))
	c.g.Expect(status.Confirmed).To(ConsistOf("host-0", "host-1", "host-2"))
	c.g.Expect(status.Expired).To(ConsistOf("host-3", "host-4"))
	c.g.Expect(status.Pending).To(BeEmpty())
	for _, h := range minority {
		c.g.Expect(h.fleet.Fresh()).To(BeFalse())
	}
	c.setPartitioned(false, minority...)
	c.awaitAgreement(hosts)
	for _, h := range hosts {
		c.g.Expect(h.fleet.Index().Document().Preset).To(Equal(config.PresetPeak))
	}
}

// Guards against a minority that can reach the store and commits a change without the
// majority, which may be fresh without the store.
func TestMinorityCannotCommitUnlessForced(t *testing.T) {
	c := newCluster(t)
	hosts := c.startHosts(3)
	c.setPartitioned(true, hosts[1:]...)
	_, err := hosts[0].fleet.Propose(testContext(t), setPreset(config.PresetPeak), ProposeOptions{})
	c.g.Expect(errors.Is(err, ErrNoMajority)).To(BeTrue(), "%v", err)
	status, err := hosts[0].fleet.Propose(testContext(t), setPreset(config.PresetPeak), ProposeOptions{Force: true})
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(status.Pending).To(ConsistOf("host-1", "host-2"))
	c.g.Expect(hosts[1].fleet.Fresh()).To(BeTrue())
	c.setPartitioned(false, hosts[1:]...)
	c.awaitAgreement(hosts)
}

// Guards against a proposal that loses a race and fails with ErrNoMajority instead of
// ErrRevisionConflict: the members have applied the other attempt for the revision and
// do not acknowledge this one.
func TestPushOfSupersededRevisionIsConflict(t *testing.T) {
	c := newCluster(t)
	hosts := c.startHosts(3)
	proposer := hosts[0].fleet
	p, err := proposer.prepare(testContext(t), setPreset(config.PresetPeak), ProposeOptions{})
	c.g.Expect(err).NotTo(HaveOccurred())
	_, err = hosts[1].fleet.Propose(testContext(t), setPreset(config.PresetMaintenance), ProposeOptions{})
	c.g.Expect(err).NotTo(HaveOccurred())
	acked, superseded := proposer.collectAcks(testContext(t), p)
	c.g.Expect(acked).To(BeFalse())
	c.g.Expect(superseded).To(BeTrue())

	// Propose meets the same case if the other change is accepted between its read of
	// the store and its push.
	mutate := func(d *config.Document) error {
		if d.Preset != config.PresetOrdinary {
			_, err := hosts[1].fleet.Propose(testContext(t), setPreset(config.PresetOrdinary), ProposeOptions{})
			c.g.Expect(err).NotTo(HaveOccurred())
		}
		d.Preset = config.PresetPeak
		return nil
	}
	_, err = proposer.Propose(testContext(t), mutate, ProposeOptions{})
	c.g.Expect(errors.Is(err, ErrRevisionConflict)).To(BeTrue(), "%v", err)
	c.awaitAgreement(hosts)
	c.g.Expect(proposer.Index().Document().Preset).To(Equal(config.PresetOrdinary))
}

// Guards against two concurrent changes with the same expected revision that both
// succeed, so that one is made without regard to the other.
func TestConcurrentProposalsGetOneConflict(t *testing.T) {
	c := newCluster(t)
	hosts := c.startHosts(3)
	expected := hosts[0].fleet.Index().Document().Revision
	results := make(chan error, 2)
	for i, preset := range []config.Preset{config.PresetPeak, config.PresetMaintenance} {
		go func() {
			_, err := hosts[i].fleet.Propose(testContext(t), setPreset(preset), ProposeOptions{ExpectedRevision: expected})
			results <- err
		}()
	}
	errs := []error{<-results, <-results}
	conflicts := 0
	for _, err := range errs {
		if errors.Is(err, ErrRevisionConflict) {
			conflicts++
		}
	}
	c.g.Expect(conflicts).To(Equal(1), "%v", errs)
	c.awaitAgreement(hosts)
	history, err := hosts[2].fleet.History(testContext(t), 2)
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(history).To(HaveLen(2))
	c.g.Expect(history[0].Revision).To(Equal(expected + 1))
	c.g.Expect(history[1].Revision).To(Equal(expected))
}

// Guards against a write whose response is lost and that is reported as failed or is
// applied twice.
func TestLostCommitResponseIsReadBack(t *testing.T) {
	c := newCluster(t)
	hosts := c.startHosts(3)
	before := hosts[0].fleet.Index().Document().Revision
	c.store.loseCommitResponses(1)
	status, err := hosts[0].fleet.Propose(testContext(t), setPreset(config.PresetPeak), ProposeOptions{})
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(status.Revision).To(Equal(before + 1))
	c.g.Expect(status.Confirmed).To(HaveLen(3))
}

// Guards against a proposer that can't determine the outcome of its write while the
// store loses the response to each write, including responses that report a conflict.
func TestProposeSucceedsWhileCommitResponsesAreLost(t *testing.T) {
	c := newCluster(t)
	hosts := c.startHosts(3)
	before := hosts[0].fleet.Index().Document().Revision
	c.store.loseCommitResponses(1 << 20)
	status, err := hosts[0].fleet.Propose(testContext(t), setPreset(config.PresetPeak), ProposeOptions{ExpectedRevision: before})
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(status.Revision).To(Equal(before + 1))
	c.store.loseCommitResponses(0)
	c.awaitAgreement(hosts)
}

// Guards against hosts that stay stale because a proposer failed between its push and
// its write, and against a superseded attempt that is applied later.
func TestProposerKilledBetweenPushAndCommit(t *testing.T) {
	c := newCluster(t)
	hosts := c.startHosts(3)
	reached, killed := make(chan struct{}), make(chan struct{})
	var paused atomic.Bool
	c.store.setBeforeCommit(func() {
		if paused.CompareAndSwap(false, true) {
			close(reached)
			<-killed
		}
	})
	kill := sync.OnceFunc(func() { close(killed) })
	defer kill()
	result := make(chan error, 1)
	go func() {
		_, err := hosts[0].fleet.Propose(testContext(t), setPreset(config.PresetPeak), ProposeOptions{})
		result <- err
	}()
	<-reached
	before := hosts[1].fleet.Index().Document().Revision
	c.setPartitioned(true, hosts[0])
	c.g.Eventually(func() bool {
		return hosts[1].fleet.pendingCount() == 0 && hosts[2].fleet.pendingCount() == 0 &&
			hosts[1].fleet.Index().Document().Revision > before && hosts[1].fleet.Fresh() && hosts[2].fleet.Fresh()
	}, testDeadline, 20*time.Millisecond).Should(BeTrue())
	c.g.Expect(hosts[1].fleet.Index().Document().Preset).NotTo(Equal(config.PresetPeak))
	kill()
	c.g.Expect(<-result).NotTo(Succeed())
	hosts[0].stop()
	c.setPartitioned(false, hosts[0])
	hosts[0] = c.start("host-0", hosts[0].address)
	c.awaitAgreement(hosts)
}

// Guards against a stopped host that stays a member after it was removed from the host
// list, and against the removal of one that the host list still contains.
func TestUnresponsiveMemberNotInHostListIsRemoved(t *testing.T) {
	c := newCluster(t)
	hosts := c.startHosts(5) // three of five remain, which is a majority
	hosts[2].stop()
	hosts[3].stop()
	c.removeFromHostList("host-3")
	c.g.Eventually(func() int { return len(hosts[0].fleet.Index().Document().Members) }, testDeadline, 50*time.Millisecond).Should(Equal(4))
	c.g.Expect(hosts[0].fleet.isMemberHost("host-2")).To(BeTrue())
	c.g.Expect(hosts[0].fleet.isMemberHost("host-3")).To(BeFalse())
}

// Guards against a snapshot that is truncated at the end of a chunk, or that a starting
// host never receives.
func TestStartingHostGetsSnapshot(t *testing.T) {
	c := newCluster(t)
	data := bytes.Repeat([]byte("0123456789abcdef"), 3*snapshotChunkBytes/16+1)
	first := c.startWith("host-0", "", func(f *Fleet) {
		f.RegisterSnapshot("index", func() ([]byte, error) { return data, nil }, nil)
	})
	received := make(chan []byte, 1)
	second := c.startWith("host-1", "", func(f *Fleet) {
		f.RegisterSnapshot("index", nil, func(b []byte) error {
			received <- b
			return nil
		})
	})
	c.g.Eventually(received, testDeadline).Should(Receive(Equal(data)))
	c.awaitAgreement([]*host{first, second})
}

// Guards against a bootstrap that overwrites a configuration, or that fails because the
// response to its write was lost.
func TestBootstrapKeepsExistingConfiguration(t *testing.T) {
	c := newCluster(t)
	err := Bootstrap(testContext(t), c.store, initialDocument())
	c.g.Expect(errors.Is(err, ErrRevisionConflict)).To(BeTrue(), "%v", err)
	lossy := newFakeStore()
	lossy.loseCommitResponses(1)
	c.g.Expect(Bootstrap(testContext(t), lossy, initialDocument())).To(Succeed())
}

// Guards against a subscriber that is not notified of a withdrawal which the store has
// not accepted.
func TestSubscribersAreNotified(t *testing.T) {
	c := newCluster(t)
	calls := make(chan struct{}, 100)
	h := c.startWith("host-0", "", func(f *Fleet) {
		f.Subscribe(func() { calls <- struct{}{} })
	})
	c.awaitAgreement([]*host{h})
	c.store.setDown(true)
	for len(calls) > 0 {
		<-calls
	}
	_, err := h.fleet.Propose(testContext(t), withdrawKey("k1"), ProposeOptions{})
	c.g.Expect(errors.Is(err, ErrNotAccepted)).To(BeTrue(), "%v", err)
	c.g.Eventually(calls, testDeadline).Should(Receive())
}
