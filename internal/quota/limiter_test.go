package quota

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaroad/sequoiaroad/internal/refusal"
	"github.com/sequoiaroad/sequoiaroad/internal/wire"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

var testAccount = config.Account{ID: "club", RateTokensPerSecond: 1000, BurstTokens: 3000}

func reserve(h *testHost, tokens int64) (Reservation, error) {
	return h.limiter.Reserve(context.Background(), testAccount.ID, tokens)
}

// expectRefusal checks the code of a refusal and that it reports NotExecuted.
func expectRefusal(err error, code refusal.Code) *refusal.Error {
	GinkgoHelper()
	Expect(err).To(BeAssignableToTypeOf(&refusal.Error{}))
	r := refusal.From(err)
	Expect(r.Code).To(Equal(code))
	Expect(r.Execution).To(Equal(refusal.NotExecuted))
	return r
}

func statusOf(h *testHost) AccountStatus {
	GinkgoHelper()
	all := h.limiter.Status()
	Expect(all).To(HaveLen(1))
	return all[0]
}

var _ = Describe("FleetLimiter", func() {
	// Guards against a message to another host on the request path of the owner.
	It("reserves on the owner without messages", func() {
		f := newTestFleet(5, Options{})
		f.applyReady(testAccount)
		owner := f.hostsByRank(testAccount.ID)[0]
		r, err := reserve(owner, 2000)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Valid()).To(BeTrue())
		Expect(f.calls.Load()).To(BeZero())
		r.Settle(500)
		Expect(statusOf(owner).Level).To(BeNumerically(">=", 2100-1))
	})

	// Guards against a host without a share that cannot serve requests of the account.
	It("reserves from grants on other hosts", func() {
		f := newTestFleet(5, Options{})
		f.applyReady(testAccount)
		ranked := f.hostsByRank(testAccount.ID)
		_, err := reserve(ranked[4], 1000)
		Expect(err).NotTo(HaveOccurred())
		s := statusOf(ranked[0])
		Expect(s.Granted).To(BeNumerically(">=", 1000))
		Expect(s.Outstanding).To(Equal(s.Granted))
		Expect(s.Level + s.Outstanding).To(BeNumerically("<=", s.BurstTokens))
	})

	// Guards against a request that waits for more tokens than the pool can ever hold.
	It("refuses a request that exceeds the burst", func() {
		f := newTestFleet(3, Options{})
		f.applyReady(testAccount)
		_, err := reserve(f.hostsByRank(testAccount.ID)[1], 2601)
		expectRefusal(err, refusal.RequestExceedsBurst)
	})

	// Guards against an exceeded rate that is counted as a refusal within the rate, and
	// against a refusal that does not state when to retry.
	It("refuses at once when refill takes too long", func() {
		f := newTestFleet(3, Options{MaxWait: 100 * time.Millisecond})
		f.applyReady(testAccount)
		for _, h := range f.hostsByRank(testAccount.ID) {
			_, err := reserve(h, min(2600, statusOf(h).Level))
			Expect(err).NotTo(HaveOccurred())
		}
		start := time.Now()
		_, err := reserve(f.hostsByRank(testAccount.ID)[0], 2000)
		r := expectRefusal(err, refusal.RateLimited)
		Expect(time.Since(start)).To(BeNumerically("<", 90*time.Millisecond))
		Expect(r.RetryAfter).To(BeNumerically(">", time.Second))
		Expect(r.Addresses).To(HaveLen(3))
		Expect(f.hostsByRank(testAccount.ID)[0].limiter.RefusalsWithinRate()).To(BeZero())
	})

	// Guards against starvation of a large request by small ones.
	It("serves waiting reservations in order of arrival", func() {
		f := newTestFleet(1, Options{MaxWait: 2 * time.Second})
		f.applyReady(testAccount)
		h := f.hostsByRank(testAccount.ID)[0]
		_, err := reserve(h, 3000)
		Expect(err).NotTo(HaveOccurred())
		var order []int64
		var mu sync.Mutex
		var group sync.WaitGroup
		// Refill takes at least 50 ms for each, so that the callers wake up in the order in
		// which the limiter serves them.
		for i, tokens := range []int64{200, 50, 60} {
			group.Go(func() {
				_, err := reserve(h, tokens)
				mu.Lock()
				defer mu.Unlock()
				Expect(err).NotTo(HaveOccurred())
				order = append(order, tokens)
			})
			Eventually(func() int { return statusOf(h).Waiting }).Should(Equal(i + 1))
		}
		group.Wait()
		Expect(order).To(HaveExactElements(int64(200), int64(50), int64(60)))
	})

	// Guards against a waiter that stays queued after its caller has disconnected.
	It("ends a wait when its context ends", func() {
		f := newTestFleet(1, Options{MaxWait: 5 * time.Second})
		f.applyReady(testAccount)
		h := f.hostsByRank(testAccount.ID)[0]
		_, err := reserve(h, 3000)
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		_, err = h.limiter.Reserve(ctx, testAccount.ID, 2000)
		expectRefusal(err, refusal.RateLimited)
		Expect(statusOf(h).Waiting).To(BeZero())
	})

	// Guards against an account that no host serves while its owner is unreachable, and
	// against refusals for that reason that are not counted.
	It("spends the shares of other homes while the owner is unreachable", func() {
		f := newTestFleet(4, Options{MaxWait: 50 * time.Millisecond})
		f.applyReady(testAccount)
		ranked := f.hostsByRank(testAccount.ID)
		ranked[0].down.Store(true)
		_, err := reserve(ranked[1], 150)
		Expect(err).NotTo(HaveOccurred())
		_, err = reserve(ranked[2], 1500)
		expectRefusal(err, refusal.RateLimited)
		Expect(ranked[2].limiter.RefusalsWithinRate()).To(Equal(int64(1)))
		// A host without a share gets grants from the remaining homes.
		_, err = reserve(ranked[3], 30)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against an owner that accepts messages without responding and so uses up the
	// whole wait, although the other homes could grant tokens.
	It("requests grants from the other homes when the owner does not respond", func() {
		f := newTestFleet(5, Options{MaxWait: 200 * time.Millisecond})
		f.applyReady(testAccount)
		ranked := f.hostsByRank(testAccount.ID)
		ranked[0].unresponsive.Store(true)
		_, err := reserve(ranked[4], 50)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against messages that cannot be decoded, and against negative amounts that
	// would add tokens to a pool.
	It("rejects malformed messages", func() {
		f := newTestFleet(1, Options{})
		f.applyReady(testAccount)
		h := f.hostsByRank(testAccount.ID)[0]
		for _, t := range []wire.Type{wire.TypeGrantRequest, wire.TypeGrantReturn, wire.TypeHandoverRequest} {
			_, err := h.handlers[t](context.Background(), wire.Peer{HostID: "x"}, wire.Request{Type: t, Body: []byte{0xc1}})
			Expect(err).To(MatchError(ContainSubstring("host x")))
		}
		result := h.limiter.issueGrant(2, GrantRequestItem{Account: testAccount.ID, Need: -5, Want: -1})
		Expect(result.Tokens).To(BeZero())
		result = h.limiter.issueGrant(2, GrantRequestItem{Account: "nobody", Need: 1, Want: 1})
		Expect(result.Status).To(Equal(GrantNotHome))
	})

	// Guards against a host that spends or grants tokens after its evidence has expired.
	It("neither spends nor grants when it is not fresh", func() {
		f := newTestFleet(4, Options{MaxWait: 50 * time.Millisecond})
		f.applyReady(testAccount)
		ranked := f.hostsByRank(testAccount.ID)
		f.advance(DefaultFreshnessDeadline + time.Second)
		ranked[3].renewFreshness()
		_, err := reserve(ranked[0], 1)
		expectRefusal(err, refusal.HostNotFresh)
		_, err = reserve(ranked[3], 1)
		expectRefusal(err, refusal.RateLimited)
		Expect(statusOf(ranked[0]).Granted).To(BeZero())
	})

	// Guards against grants between hosts whose revisions name different owners.
	It("refuses requests of another revision", func() {
		f := newTestFleet(4, Options{})
		d := f.applyReady(testAccount)
		owner := f.hostsByRank(testAccount.ID)[0]
		result := owner.limiter.issueGrant(d.Revision+1, GrantRequestItem{Account: testAccount.ID, Need: 1, Want: 1})
		Expect(result.Status).To(Equal(GrantRevisionMismatch))
		notHome := f.hostsByRank(testAccount.ID)[3]
		result = notHome.limiter.issueGrant(d.Revision, GrantRequestItem{Account: testAccount.ID, Need: 1, Want: 1})
		Expect(result.Status).To(Equal(GrantNotHome))
	})

	// Guards against a new owner that spends while the previous one still may, and against
	// pools that are emptied when a revision changes only other settings.
	It("waits after a takeover and keeps its tokens otherwise", func() {
		o := Options{MaxWait: 10 * time.Millisecond}
		f := newTestFleet(3, o)
		d := f.applyReady(testAccount)
		ranked := f.hostsByRank(testAccount.ID)

		next := d.Clone()
		next.Preset = config.PresetPeak
		next.Revision++
		f.apply(next)
		_, err := reserve(ranked[0], 2600)
		Expect(err).NotTo(HaveOccurred())

		restarted := f.add(ranked[0].member.HostID, "2", o)
		last := next.Clone()
		last.Revision++
		last.MembersRevision = last.Revision
		last.Members = f.members()
		f.apply(last)
		f.renewFreshness()
		// More than the other two homes can grant from their shares of 200 tokens each.
		_, err = reserve(restarted, 500)
		expectRefusal(err, refusal.RateLimited)
		Expect(restarted.limiter.RefusalsWithinRate()).To(Equal(int64(1)))
		f.advance(restarted.limiter.timing.TakeoverWait() + 500*time.Millisecond)
		f.renewFreshness()
		Expect(statusOf(restarted).Level).To(And(BeNumerically(">", 100), BeNumerically("<", 1000)))
		_, err = reserve(restarted, 100)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against returned tokens that are lost with a single message, or credited twice
	// when the message is repeated.
	DescribeTable("returns unspent grants when a message is lost", func(dropped, lost int) {
		f := newTestFleet(4, Options{})
		f.applyReady(testAccount)
		ranked := f.hostsByRank(testAccount.ID)
		_, err := reserve(ranked[0], 1500) // leaves room for tokens credited twice
		Expect(err).NotTo(HaveOccurred())
		before := statusOf(ranked[0]).Level
		r, err := reserve(ranked[3], 1000)
		Expect(err).NotTo(HaveOccurred())
		r.Settle(0)
		ranked[3].droppedReturns.Store(int64(dropped))
		ranked[3].lostReturnReplies.Store(int64(lost))
		Expect(ranked[3].limiter.ReturnGrants(context.Background())).To(Succeed())
		Expect(statusOf(ranked[0]).Level).To(BeNumerically("~", before, 200))
	},
		Entry("the return", 1, 0),
		Entry("its reply", 0, 1),
	)

	// Guards against unspent tokens that are lost when a host stops.
	It("returns unspent grants", func() {
		f := newTestFleet(4, Options{})
		f.applyReady(testAccount)
		ranked := f.hostsByRank(testAccount.ID)
		r, err := reserve(ranked[3], 1000)
		Expect(err).NotTo(HaveOccurred())
		r.Settle(0)
		Expect(statusOf(ranked[3]).Held).To(BeNumerically(">=", 1000))
		Expect(ranked[3].limiter.ReturnGrants(context.Background())).To(Succeed())
		Expect(statusOf(ranked[3]).Held).To(BeZero())
		Expect(statusOf(ranked[0]).Outstanding).To(BeZero())
		Expect(statusOf(ranked[0]).Level).To(Equal(int64(2600)))
		ranked[0].down.Store(true)
		r, err = reserve(ranked[1], 100)
		Expect(err).NotTo(HaveOccurred())
		r.Settle(0)
	})

	// Guards against a first request after each grant that waits for a message.
	It("prefetches in proportion to recent use", func() {
		f := newTestFleet(4, Options{})
		f.applyReady(testAccount)
		h := f.hostsByRank(testAccount.ID)[3]
		_, err := reserve(h, 1000)
		Expect(err).NotTo(HaveOccurred())
		h.limiter.refresh()
		Eventually(func() int64 { return statusOf(h).Held }).Should(BeNumerically(">", 100))
		calls := f.calls.Load()
		_, err = reserve(h, 100)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.calls.Load()).To(Equal(calls))
	})

	// Guards against a new account that must wait for TakeoverWait, as after a change of
	// members, instead of the shorter GrantHoldTime.
	It("serves a new account once grants of an earlier one have expired", func() {
		f := newTestFleet(3, Options{})
		d := f.applyReady()
		next := d.Clone()
		next.Revision++
		next.Accounts = []config.Account{testAccount}
		f.apply(next)
		owner := f.hostsByRank(testAccount.ID)[0]
		f.advance(owner.limiter.timing.GrantHoldTime() + 100*time.Millisecond)
		f.renewFreshness()
		_, err := reserve(owner, 50)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against a race between reservations and the apply of revisions, and against
	// tokens that are lost with each revision.
	It("serves requests while revisions change", func() {
		f := newTestFleet(4, Options{})
		d := f.applyReady(testAccount)
		h := f.hostsByRank(testAccount.ID)[3]
		var group sync.WaitGroup
		stop := make(chan struct{})
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
					d = d.Clone()
					d.Revision += 2
					f.apply(d)
				}
			}
		})
		for range 100 {
			r, err := reserve(h, 100)
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(time.Millisecond)
			r.Settle(10)
		}
		close(stop)
		group.Wait()
	})

	// Guards against state that remains for accounts that were removed from the
	// configuration.
	It("drops removed accounts and ends their waits", func() {
		f := newTestFleet(1, Options{MaxWait: 5 * time.Second})
		d := f.applyReady(testAccount)
		h := f.hostsByRank(testAccount.ID)[0]
		_, err := reserve(h, 3000)
		Expect(err).NotTo(HaveOccurred())
		done := make(chan error)
		go func() {
			_, err := reserve(h, 2900)
			done <- err
		}()
		Eventually(func() int { return statusOf(h).Waiting }).Should(Equal(1))
		next := d.Clone()
		next.Revision++
		next.Accounts = nil
		f.apply(next)
		var result error
		Eventually(done).Should(Receive(&result))
		expectRefusal(result, refusal.NotFound)
		Expect(h.limiter.Status()).To(BeEmpty())
		_, err = reserve(h, 1)
		expectRefusal(err, refusal.NotFound)
	})

	// Guards against spent grants that stop the refill because they still count as
	// outstanding: with a burst below the rate, a host could use only half of the rate.
	DescribeTable("admits all requests within the rate", func(ranks ...int) {
		f := newTestFleet(5, Options{})
		account := testAccount
		account.BurstTokens = 600
		f.applyReady(account)
		ctx, cancel := context.WithCancel(context.Background())
		var running, group sync.WaitGroup
		for _, h := range f.hosts {
			running.Go(func() { _ = h.limiter.Run(ctx) })
		}
		ranked := f.hostsByRank(account.ID)
		var refusals atomic.Int64
		// 20 tokens used (of 40 reserved) every 25 ms are 0.8 of the rate.
		for i := range 100 {
			f.renewFreshness()
			group.Go(func() {
				r, err := reserve(ranked[ranks[i%len(ranks)]], 40)
				if err != nil {
					refusals.Add(1)
					return
				}
				time.Sleep(200 * time.Millisecond)
				r.Settle(20)
			})
			time.Sleep(25 * time.Millisecond)
		}
		group.Wait()
		cancel()
		running.Wait()
		Expect(refusals.Load()).To(BeZero())
	},
		Entry("on the owner", 0),
		Entry("on another home", 1),
		Entry("on a host that is not a home", 4),
		Entry("on the homes in turn", 0, 1, 2),
		Entry("on all hosts in turn", 0, 1, 2, 3, 4),
	)

	// Guards against concurrent use that exceeds the limits or leaves most of the
	// rate unused, and against data races.
	It("stays within rate and burst under concurrent load on all hosts", func() {
		f := newTestFleet(5, Options{MaxWait: 50 * time.Millisecond})
		f.applyReady(testAccount)
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		var spent atomic.Int64
		start := time.Now()
		for _, h := range f.hosts {
			group.Go(func() { _ = h.limiter.Run(ctx) })
			for range 4 {
				group.Go(func() {
					for ctx.Err() == nil {
						r, err := reserve(h, 20)
						if err != nil {
							Expect(refusal.From(err).Code).To(Equal(refusal.RateLimited))
							continue
						}
						spent.Add(10)
						r.Settle(10)
					}
				})
			}
		}
		time.Sleep(2 * time.Second)
		cancel()
		group.Wait()
		elapsed := time.Since(start).Seconds()
		allowed := float64(testAccount.BurstTokens) + elapsed*float64(testAccount.RateTokensPerSecond)
		Expect(float64(spent.Load())).To(BeNumerically("<=", allowed))
		Expect(float64(spent.Load())).To(BeNumerically(">", 0.8*allowed))
	})
})
