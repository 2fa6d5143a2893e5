package quota

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaroad/sequoiaroad/internal/refusal"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/limit"
)

// admissions records when requests of one account were admitted or refused.
type admissions struct {
	mu       sync.Mutex
	admitted []time.Time
	refused  int
}

func (a *admissions) record(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.refused++
		return
	}
	a.admitted = append(a.admitted, time.Now())
}

func (a *admissions) longestGap() time.Duration {
	slices.SortFunc(a.admitted, time.Time.Compare)
	var longest time.Duration
	for i := 1; i < len(a.admitted); i++ {
		longest = max(longest, a.admitted[i].Sub(a.admitted[i-1]))
	}
	return longest
}

// withMembers returns the next revision of a document, with the given members.
func withMembers(d *config.Document, members []config.Member) *config.Document {
	next := d.Clone()
	next.Revision++
	next.MembersRevision, next.Members = next.Revision, members
	return next
}

func without(members []config.Member, m config.Member) []config.Member {
	return slices.DeleteFunc(slices.Clone(members), func(x config.Member) bool { return x == m })
}

// applyInTurn applies a document on one host after the other.
func applyInTurn(d *config.Document, hosts ...*testHost) {
	index := config.NewIndex(d)
	for _, h := range hosts {
		h.apply(index)
		h.renewFreshness()
		time.Sleep(10 * time.Millisecond)
	}
}

var _ = Describe("Handover", func() {
	// Guards against requests within the rate that are refused for seconds after a change
	// of the member list has moved the owner of the account.
	DescribeTable("admits all requests within the rate", func(change func(f *testFleet, d *config.Document, owner *testHost, others []*testHost)) {
		f := newTestFleet(5, Options{})
		account := testAccount
		account.BurstTokens = 600
		d := f.applyReady(account)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for _, h := range f.hosts {
			go func() { _ = h.limiter.Run(ctx) }()
		}
		ranked := f.hostsByRank(account.ID)
		owner, others := ranked[0], ranked[1:]
		var result admissions
		var group sync.WaitGroup
		group.Go(func() {
			time.Sleep(500 * time.Millisecond)
			change(f, d, owner, others)
		})
		// 20 tokens used (of 40 reserved) every 25 ms are 0.8 of the rate.
		for i := range 240 {
			for _, h := range others {
				h.renewFreshness()
			}
			group.Go(func() {
				r, err := reserve(others[i%len(others)], 40)
				result.record(err)
				if err == nil {
					time.Sleep(200 * time.Millisecond)
					r.Settle(20)
				}
			})
			time.Sleep(25 * time.Millisecond)
		}
		group.Wait()
		summary := fmt.Sprintf("%d of 240 requests refused, longest gap between admissions %v",
			result.refused, result.longestGap().Round(time.Millisecond))
		GinkgoWriter.Println(summary)
		Expect(result.refused).To(BeZero(), summary)
		Expect(result.longestGap()).To(BeNumerically("<", 500*time.Millisecond), summary)
	},
		Entry("while the owner leaves by a planned stop",
			func(_ *testFleet, d *config.Document, owner *testHost, others []*testHost) {
				next := withMembers(d, without(d.Members, owner.member))
				applyInTurn(next, append([]*testHost{owner}, others...)...)
			}),
		Entry("while a host joins that becomes the owner",
			func(f *testFleet, d *config.Document, owner *testHost, others []*testHost) {
				// The owner leaves and joins again in a later incarnation.
				next := withMembers(d, without(d.Members, owner.member))
				applyInTurn(next, append([]*testHost{owner}, others...)...)
				time.Sleep(1500 * time.Millisecond)
				joined := f.add(owner.member.HostID, "2", Options{})
				joined.apply(config.NewIndex(next))
				next = withMembers(next, append(slices.Clone(next.Members), joined.member))
				applyInTurn(next, append(slices.Clone(others), joined)...)
				for range 30 {
					joined.renewFreshness()
					time.Sleep(100 * time.Millisecond)
				}
			}),
	)

	// Guards against a share that is raised before the home that loses it has confirmed,
	// because that home has not applied the revision or is dead, and against a later
	// incarnation that confirms on behalf of an earlier one.
	DescribeTable("waits for TakeoverWait without a confirmation", func(loseOwner func(f *testFleet, owner *testHost)) {
		f := newTestFleet(4, Options{MaxWait: 10 * time.Millisecond})
		d := f.applyReady(testAccount)
		ranked := f.hostsByRank(testAccount.ID)
		owner, next := ranked[0], ranked[1]
		loseOwner(f, owner)
		applyInTurn(withMembers(d, without(d.Members, owner.member)), ranked[1:]...)
		time.Sleep(200 * time.Millisecond)
		_, err := reserve(next, 1000)
		expectRefusal(err, refusal.RateLimited)
		Expect(next.limiter.RefusalsWithinRate()).To(Equal(int64(1)))
		Expect(statusOf(next).BurstTokens).To(BeNumerically("<=", 200))
		f.advance(next.limiter.TakeoverWait())
		Expect(statusOf(next).BurstTokens).To(Equal(int64(2600)))
	},
		Entry("of a home that still applies the earlier revision", func(*testFleet, *testHost) {}),
		Entry("of a dead home", func(_ *testFleet, owner *testHost) { owner.down.Store(true) }),
		Entry("of a home that restarted", func(f *testFleet, owner *testHost) {
			f.add(owner.member.HostID, "2", Options{})
		}),
	)

	// Guards against a stop that ends before the new homes have received the shares, and
	// against a host that gains no share but receives the released tokens.
	It("hands over to the gaining homes only", func() {
		f := newTestFleet(4, Options{})
		d := f.applyReady(testAccount)
		ranked := f.hostsByRank(testAccount.ID)
		owner := ranked[0]
		Expect(owner.limiter.HandedOver()).To(BeTrue())
		next := withMembers(d, without(d.Members, owner.member))
		applyInTurn(next, owner)
		Expect(owner.limiter.HandedOver()).To(BeFalse())
		unrelated := owner.limiter.confirmRelease(testAccount.ID, next.Revision, limit.HomeID{HostID: "x", Incarnation: "1"})
		Expect(unrelated).To(Equal(HandoverResult{Confirmed: true, Settled: true}))
		applyInTurn(next, ranked[1:]...)
		Eventually(owner.limiter.HandedOver).Should(BeTrue())
		Eventually(func() int64 { return statusOf(ranked[1]).Level }).Should(Equal(int64(2600)))
		Expect(statusOf(ranked[3]).Level).To(BeNumerically("<=", 200))
	})
})
