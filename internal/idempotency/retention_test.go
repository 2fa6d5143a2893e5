package idempotency

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/internal/refusal"
	policy "github.com/sequoiaroad/sequoiaroad/policy/idempotency"
	standin "github.com/sequoiaroad/sequoiaroad/standin/platform"
)

// cleanerAt returns a cleaner of host 0 whose wall clock is ahead by age.
func (b *bench) cleanerAt(age time.Duration) *cleaner {
	s := b.hosts[0]
	s.options.Retention, s.options.CleanPause = time.Hour, time.Millisecond
	s.options.MayClean = func() bool { return !b.stale.Load() }
	s.options.WallClock = func() time.Time { return time.Now().Add(age) }
	return &cleaner{service: s}
}

// Guards against a deleted record of a request that runs or may have run, a record
// deleted too early or by a host that is not fresh, and rows or answers that are never
// deleted, also if writes have no answer or take effect late.
func TestCleanUpDeletesOnlyExpiredRecords(t *testing.T) {
	for name, faults := range map[string]standin.Faults{
		"no fault": {},
		"lost":     {LoseResponses: 2},
		"late":     {DelayedWrites: 1, WriteDelay: 50 * time.Millisecond},
		"outage":   {Outage: standin.OutageUnavailable, OutageRequests: 2},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b := newBench(t, 0)
			ctx := context.Background()
			// Written first, so that the clean-up has to pass over them.
			_, _, err := b.begin(0, "claimed")
			g.Expect(err).NotTo(HaveOccurred())
			unknown, _, err := b.begin(0, "unknown")
			g.Expect(err).NotTo(HaveOccurred())
			unknown.Unknown(ctx)
			const done = 2*scanPage + deleteBatch/2
			for i := range done {
				claim, _, err := b.begin(0, fmt.Sprint("done", i))
				g.Expect(err).NotTo(HaveOccurred())
				size := 1
				if i == 0 {
					size = maxInlineAnswerBytes
				}
				claim.Complete(ctx, Response{Status: 200, Body: make([]byte, size)})
			}
			row, _, err := b.hosts[0].load(ctx, policy.RowKey("a", "booking", "done0"))
			g.Expect(err).NotTo(HaveOccurred())

			young := b.cleanerAt(30 * time.Minute)
			g.Expect(young.clean(ctx)).To(BeZero())
			b.stale.Store(true)
			old := b.cleanerAt(2 * time.Hour)
			g.Expect(old.clean(ctx)).To(BeZero())
			b.stale.Store(false)

			b.server.SetFaults(faults)
			g.Eventually(func() error { _, err := old.clean(ctx); return err }).Should(Succeed())
			b.server.WaitForDelayedWrites()
			rows, err := b.reads.Scan(ctx, Table, "", 0, 1000)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(rows).To(HaveLen(2))
			g.Expect(b.state(g, "claimed")).To(Equal(policy.Claimed))
			g.Expect(b.state(g, "unknown")).To(Equal(policy.Unknown))
			g.Expect(b.hosts[0].options.Objects.GetObject(ctx, row.ResponseObject)).To(BeEmpty())

			// A kept record that ends later is found, although the clean-up is past it.
			id := policy.RowKey("a", "booking", "unknown")
			g.Expect(b.hosts[1].Resolve(ctx, id, "op", "checked", nil)).To(Succeed())
			g.Expect(old.clean(ctx)).To(Equal(1))
		})
	}
}

// Guards against a request that runs twice because a clean-up deleted its row between
// the read and the claim.
func TestClaimAndCleanUpOfTheSameRow(t *testing.T) {
	g := NewWithT(t)
	b := newBench(t, 0)
	ctx := context.Background()
	first, _, err := b.begin(0, "k")
	g.Expect(err).NotTo(HaveOccurred())
	first.NotRun(ctx)
	c := b.cleanerAt(2 * time.Hour)
	rows, err := b.reads.Scan(ctx, Table, "", 0, 10)
	g.Expect(err).NotTo(HaveOccurred())
	expired, _, _, err := c.judge(rows)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(expired).To(HaveLen(1))

	second, _, err := b.begin(1, "k")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.delete(ctx, expired)
	g.Expect(err).To(MatchError(platform.ErrConflict))
	_, _, err = b.begin(0, "k")
	g.Expect(err).To(refusedWith(refusal.StillRunning, refusal.ExecutionUnknown))
	g.Expect(second.AllowSend(time.Time{})).To(Succeed())
}

// Guards against a listing that misses or keeps records after the first scan.
func TestUnresolvedIsIncremental(t *testing.T) {
	g := NewWithT(t)
	b := newBench(t, 0)
	ctx := context.Background()
	ids := func() []string {
		records, err := b.hosts[1].Unresolved(ctx)
		g.Expect(err).NotTo(HaveOccurred())
		keys := []string{}
		for _, r := range records {
			keys = append(keys, r.IdempotencyKey)
		}
		return keys
	}
	for i := range scanPage + 1 {
		claim, _, err := b.begin(0, fmt.Sprint("k", i))
		g.Expect(err).NotTo(HaveOccurred())
		if i > 1 {
			claim.Complete(ctx, Response{Status: 200})
		}
	}
	g.Expect(ids()).To(BeEmpty())
	b.dead.Store("h0", true)
	before := b.server.Stats().Reads
	g.Expect(ids()).To(Equal([]string{"k0", "k1"}))
	g.Expect(b.server.Stats().Reads - before).To(Equal(uint64(1)))
	g.Expect(b.hosts[0].Resolve(ctx, policy.RowKey("a", "booking", "k0"), "op", "", nil)).To(MatchError(ErrNotResolvable))
	g.Expect(b.hosts[1].Resolve(ctx, policy.RowKey("a", "booking", "k0"), "op", "", nil)).To(Succeed())
	g.Expect(ids()).To(Equal([]string{"k1"}))
}
