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

var club = config.Account{ID: "club", RateTokensPerSecond: 1000, BurstTokens: 3000}

func reserve(h *testHost, tokens int64) (Reservation, error) {
	return h.limiter.Reserve(context.Background(), club.ID, tokens)
}

// refused checks the code of a refusal and that it says that nothing ran.
func refused(err error, code refusal.Code) *refusal.Error {
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
	// Guards against messages on the request path of the owner.
	It("reserves on the owner without messages", func() {
		f := newTestFleet(5, Options{})
		f.settled(club)
		owner := f.ranked(club.ID)[0]
		r, err := reserve(owner, 2000)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Valid()).To(BeTrue())
		Expect(f.calls.Load()).To(BeZero())
		r.Settle(500)
		Expect(statusOf(owner).Level).To(BeNumerically(">=", 2100-1))
	})

	// Guards against hosts without a share that cannot serve the account.
	It("reserves from grants on other hosts", func() {
		f := newTestFleet(5, Options{})
		f.settled(club)
		ranked := f.ranked(club.ID)
		_, err := reserve(ranked[4], 1000)
		Expect(err).NotTo(HaveOccurred())
		s := statusOf(ranked[0])
		Expect(s.Granted).To(BeNumerically(">=", 1000))
		Expect(s.Outstanding).To(Equal(s.Granted))
		Expect(s.Level + s.Outstanding).To(BeNumerically("<=", s.BurstTokens))
	})

	// Guards against a request that waits for tokens that can never be there.
	It("refuses what exceeds the burst", func() {
		f := newTestFleet(3, Options{})
		f.settled(club)
		_, err := reserve(f.ranked(club.ID)[1], 2601)
		refused(err, refusal.RequestExceedsBurst)
	})

	// Guards against an exceeded rate that is counted as a fault of the fleet, and
	// against a refusal without a hint when to retry.
	It("refuses at once when refill takes too long", func() {
		f := newTestFleet(3, Options{MaxWait: 100 * time.Millisecond})
		f.settled(club)
		for _, h := range f.ranked(club.ID) {
			_, err := reserve(h, min(2600, statusOf(h).Level))
			Expect(err).NotTo(HaveOccurred())
		}
		start := time.Now()
		_, err := reserve(f.ranked(club.ID)[0], 2000)
		r := refused(err, refusal.RateLimited)
		Expect(time.Since(start)).To(BeNumerically("<", 90*time.Millisecond))
		Expect(r.RetryAfter).To(BeNumerically(">", time.Second))
		Expect(r.Addresses).To(HaveLen(3))
		Expect(f.ranked(club.ID)[0].limiter.RefusedWithinRate()).To(BeZero())
	})

	// Guards against small requests that overtake a large one for ever.
	It("serves waiting reservations in their order", func() {
		f := newTestFleet(1, Options{MaxWait: 2 * time.Second})
		f.settled(club)
		h := f.ranked(club.ID)[0]
		_, err := reserve(h, 3000)
		Expect(err).NotTo(HaveOccurred())
		var order []int64
		var mu sync.Mutex
		var group sync.WaitGroup
		// Refill takes at least 50 ms for each, so that the callers' order of waking up
		// is that of the limiter.
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

	// Guards against a wait that keeps its place after the caller has gone.
	It("ends a wait with its context", func() {
		f := newTestFleet(1, Options{MaxWait: 5 * time.Second})
		f.settled(club)
		h := f.ranked(club.ID)[0]
		_, err := reserve(h, 3000)
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		_, err = h.limiter.Reserve(ctx, club.ID, 2000)
		refused(err, refusal.RateLimited)
		Expect(statusOf(h).Waiting).To(BeZero())
	})

	// Guards against a lost owner that stops its account, and against refusals of
	// that kind that nobody counts.
	It("spends floors while the owner is out of reach", func() {
		f := newTestFleet(4, Options{MaxWait: 50 * time.Millisecond})
		f.settled(club)
		ranked := f.ranked(club.ID)
		ranked[0].down.Store(true)
		_, err := reserve(ranked[1], 150)
		Expect(err).NotTo(HaveOccurred())
		_, err = reserve(ranked[2], 1500)
		refused(err, refusal.RateLimited)
		Expect(ranked[2].limiter.RefusedWithinRate()).To(Equal(int64(1)))
		// A host without a floor borrows from the homes that are left.
		_, err = reserve(ranked[3], 30)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against an owner that accepts messages without answering and thereby uses
	// up the wait in which the other homes could help.
	It("asks the other homes when the owner does not answer", func() {
		f := newTestFleet(5, Options{MaxWait: 200 * time.Millisecond})
		f.settled(club)
		ranked := f.ranked(club.ID)
		ranked[0].hung.Store(true)
		_, err := reserve(ranked[4], 50)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against messages that cannot be decoded, and against negative amounts that
	// would add tokens to a pool.
	It("rejects malformed messages", func() {
		f := newTestFleet(1, Options{})
		f.settled(club)
		h := f.ranked(club.ID)[0]
		for _, t := range []wire.Type{wire.TypeGrantRequest, wire.TypeGrantReturn, wire.TypeHandoverRequest} {
			_, err := h.handlers[t](context.Background(), wire.Peer{HostID: "x"}, wire.Request{Type: t, Body: []byte{0xc1}})
			Expect(err).To(MatchError(ContainSubstring("host x")))
		}
		answer := h.limiter.answer(2, GrantAsk{Account: club.ID, Need: -5, Want: -1})
		Expect(answer.Tokens).To(BeZero())
		answer = h.limiter.answer(2, GrantAsk{Account: "nobody", Need: 1, Want: 1})
		Expect(answer.Status).To(Equal(GrantNotHome))
	})

	// Guards against a host that spends or grants without fresh evidence.
	It("neither spends nor grants when it is not fresh", func() {
		f := newTestFleet(4, Options{MaxWait: 50 * time.Millisecond})
		f.settled(club)
		ranked := f.ranked(club.ID)
		f.advance(DefaultFreshnessDeadline + time.Second)
		ranked[3].renew()
		_, err := reserve(ranked[0], 1)
		refused(err, refusal.HostNotFresh)
		_, err = reserve(ranked[3], 1)
		refused(err, refusal.RateLimited)
		Expect(statusOf(ranked[0]).Granted).To(BeZero())
	})

	// Guards against grants between hosts that disagree about the owner.
	It("refuses requests of another revision", func() {
		f := newTestFleet(4, Options{})
		d := f.settled(club)
		owner := f.ranked(club.ID)[0]
		answer := owner.limiter.answer(d.Revision+1, GrantAsk{Account: club.ID, Need: 1, Want: 1})
		Expect(answer.Status).To(Equal(GrantOtherRevision))
		notHome := f.ranked(club.ID)[3]
		answer = notHome.limiter.answer(d.Revision, GrantAsk{Account: club.ID, Need: 1, Want: 1})
		Expect(answer.Status).To(Equal(GrantNotHome))
	})

	// Guards against a new owner that spends while the old one still may, and against
	// a change of other settings that empties the pools.
	It("waits after a takeover and keeps its tokens otherwise", func() {
		o := Options{MaxWait: 10 * time.Millisecond}
		f := newTestFleet(3, o)
		d := f.settled(club)
		ranked := f.ranked(club.ID)

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
		f.renew()
		// More than the two floors of 200 tokens can lend.
		_, err = reserve(restarted, 500)
		refused(err, refusal.RateLimited)
		Expect(restarted.limiter.RefusedWithinRate()).To(Equal(int64(1)))
		f.advance(restarted.limiter.timing.TakeoverWait() + 500*time.Millisecond)
		f.renew()
		Expect(statusOf(restarted).Level).To(And(BeNumerically(">", 100), BeNumerically("<", 1000)))
		_, err = reserve(restarted, 100)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against returned tokens that a single lost message loses, or that a
	// repeated one credits twice.
	DescribeTable("returns unspent grants although a message is lost", func(dropped, lost int) {
		f := newTestFleet(4, Options{})
		f.settled(club)
		ranked := f.ranked(club.ID)
		_, err := reserve(ranked[0], 1500) // leaves room for tokens credited twice
		Expect(err).NotTo(HaveOccurred())
		before := statusOf(ranked[0]).Level
		r, err := reserve(ranked[3], 1000)
		Expect(err).NotTo(HaveOccurred())
		r.Settle(0)
		ranked[3].droppedReturns.Store(int64(dropped))
		ranked[3].lostReturns.Store(int64(lost))
		Expect(ranked[3].limiter.Return(context.Background())).To(Succeed())
		Expect(statusOf(ranked[0]).Level).To(BeNumerically("~", before, 200))
	},
		Entry("the return", 1, 0),
		Entry("its answer", 0, 1),
	)

	// Guards against tokens that are lost when a host stops.
	It("returns unspent grants", func() {
		f := newTestFleet(4, Options{})
		f.settled(club)
		ranked := f.ranked(club.ID)
		r, err := reserve(ranked[3], 1000)
		Expect(err).NotTo(HaveOccurred())
		r.Settle(0)
		Expect(statusOf(ranked[3]).Held).To(BeNumerically(">=", 1000))
		Expect(ranked[3].limiter.Return(context.Background())).To(Succeed())
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
		f.settled(club)
		h := f.ranked(club.ID)[3]
		_, err := reserve(h, 1000)
		Expect(err).NotTo(HaveOccurred())
		h.limiter.refresh()
		Eventually(func() int64 { return statusOf(h).Held }).Should(BeNumerically(">", 100))
		calls := f.calls.Load()
		_, err = reserve(h, 100)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.calls.Load()).To(Equal(calls))
	})

	// Guards against a new account that must wait as long as after a member change.
	It("serves a new account once no grant of an earlier one can be left", func() {
		f := newTestFleet(3, Options{})
		d := f.settled()
		next := d.Clone()
		next.Revision++
		next.Accounts = []config.Account{club}
		f.apply(next)
		owner := f.ranked(club.ID)[0]
		f.advance(owner.limiter.timing.GrantHoldTime() + 100*time.Millisecond)
		f.renew()
		_, err := reserve(owner, 50)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against a race between reservations and revisions, and against tokens
	// that are lost with each revision.
	It("serves while revisions change", func() {
		f := newTestFleet(4, Options{})
		d := f.settled(club)
		h := f.ranked(club.ID)[3]
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

	// Guards against state of accounts that the configuration no longer names.
	It("drops removed accounts and ends their waits", func() {
		f := newTestFleet(1, Options{MaxWait: 5 * time.Second})
		d := f.settled(club)
		h := f.ranked(club.ID)[0]
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
		refused(result, refusal.NotFound)
		Expect(h.limiter.Status()).To(BeEmpty())
		_, err = reserve(h, 1)
		refused(err, refusal.NotFound)
	})

	// Guards against grants that stop the refill while they count as outstanding though
	// they are spent: with a burst below the rate, a host could use half of the rate.
	DescribeTable("admits all requests within the rate", func(ranks ...int) {
		f := newTestFleet(5, Options{})
		account := club
		account.BurstTokens = 600
		f.settled(account)
		ctx, cancel := context.WithCancel(context.Background())
		var running, group sync.WaitGroup
		for _, h := range f.hosts {
			running.Go(func() { _ = h.limiter.Run(ctx) })
		}
		ranked := f.ranked(account.ID)
		var refusals atomic.Int64
		// 40 tokens reserved and 20 used every 25 ms are 0.8 of the rate.
		for i := range 100 {
			f.renew()
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
		Entry("at the owner", 0),
		Entry("at another home", 1),
		Entry("at a host that is no home", 4),
		Entry("at the homes in turn", 0, 1, 2),
		Entry("at all hosts in turn", 0, 1, 2, 3, 4),
	)

	// Guards against concurrent use that exceeds the limits or leaves most of the
	// rate unused. It also gives the race detector something to look at.
	It("stays within rate and burst under concurrent load on all hosts", func() {
		f := newTestFleet(5, Options{MaxWait: 50 * time.Millisecond})
		f.settled(club)
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
		allowed := float64(club.BurstTokens) + elapsed*float64(club.RateTokensPerSecond)
		Expect(float64(spent.Load())).To(BeNumerically("<=", allowed))
		Expect(float64(spent.Load())).To(BeNumerically(">", 0.8*allowed))
	})
})
