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

func (a *admissions) add(err error) {
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

// withMembers returns the next revision with other members.
func withMembers(d *config.Document, members []config.Member) *config.Document {
	next := d.Clone()
	next.Revision++
	next.MembersRevision, next.Members = next.Revision, members
	return next
}

func without(members []config.Member, m config.Member) []config.Member {
	return slices.DeleteFunc(slices.Clone(members), func(x config.Member) bool { return x == m })
}

// applyInTurn puts a document into force on one host after the other.
func applyInTurn(d *config.Document, hosts ...*testHost) {
	index := config.NewIndex(d)
	for _, h := range hosts {
		h.apply(index)
		h.renew()
		time.Sleep(10 * time.Millisecond)
	}
}

var _ = Describe("Handover", func() {
	// Guards against an account within its rate that is refused for seconds after each
	// change of the member list that moves its owner.
	DescribeTable("admits all requests within the rate", func(change func(f *testFleet, d *config.Document, owner *testHost, others []*testHost)) {
		f := newTestFleet(5, Options{})
		account := club
		account.BurstTokens = 600
		d := f.settled(account)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for _, h := range f.hosts {
			go func() { _ = h.limiter.Run(ctx) }()
		}
		ranked := f.ranked(account.ID)
		owner, others := ranked[0], ranked[1:]
		var result admissions
		var group sync.WaitGroup
		group.Go(func() {
			time.Sleep(500 * time.Millisecond)
			change(f, d, owner, others)
		})
		// 40 tokens reserved and 20 used every 25 ms are 0.8 of the rate.
		for i := range 240 {
			for _, h := range others {
				h.renew()
			}
			group.Go(func() {
				r, err := reserve(others[i%len(others)], 40)
				result.add(err)
				if err == nil {
					time.Sleep(200 * time.Millisecond)
					r.Settle(20)
				}
			})
			time.Sleep(25 * time.Millisecond)
		}
		group.Wait()
		figures := fmt.Sprintf("%d of 240 requests refused, longest gap between admissions %v",
			result.refused, result.longestGap().Round(time.Millisecond))
		GinkgoWriter.Println(figures)
		Expect(result.refused).To(BeZero(), figures)
		Expect(result.longestGap()).To(BeNumerically("<", 500*time.Millisecond), figures)
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
					joined.renew()
					time.Sleep(100 * time.Millisecond)
				}
			}),
	)

	// Guards against a share that is raised although a home that loses it has not
	// applied the revision or is gone, and against a later incarnation that confirms
	// in the name of an earlier one.
	DescribeTable("waits without a confirmation", func(lose func(f *testFleet, owner *testHost)) {
		f := newTestFleet(4, Options{MaxWait: 10 * time.Millisecond})
		d := f.settled(club)
		ranked := f.ranked(club.ID)
		owner, next := ranked[0], ranked[1]
		lose(f, owner)
		applyInTurn(withMembers(d, without(d.Members, owner.member)), ranked[1:]...)
		time.Sleep(200 * time.Millisecond)
		_, err := reserve(next, 1000)
		refused(err, refusal.RateLimited)
		Expect(next.limiter.RefusedWithinRate()).To(Equal(int64(1)))
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

	// Guards against a stop that ends before the new homes have the shares, and against
	// a release that any other host can collect.
	It("hands over to the gaining homes only", func() {
		f := newTestFleet(4, Options{})
		d := f.settled(club)
		ranked := f.ranked(club.ID)
		owner := ranked[0]
		Expect(owner.limiter.HandedOver()).To(BeTrue())
		next := withMembers(d, without(d.Members, owner.member))
		applyInTurn(next, owner)
		Expect(owner.limiter.HandedOver()).To(BeFalse())
		stranger := owner.limiter.confirm(club.ID, next.Revision, limit.HomeID{HostID: "x", Incarnation: "1"})
		Expect(stranger).To(Equal(HandoverAnswer{Confirmed: true, Settled: true}))
		applyInTurn(next, ranked[1:]...)
		Eventually(owner.limiter.HandedOver).Should(BeTrue())
		Eventually(func() int64 { return statusOf(ranked[1]).Level }).Should(Equal(int64(2600)))
		Expect(statusOf(ranked[3]).Level).To(BeNumerically("<=", 200))
	})
})
