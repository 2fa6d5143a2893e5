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

// cleanerAt returns a cleaner of host 0 whose wall clock is age ahead.
func (c *testCluster) cleanerAt(age time.Duration) *cleaner {
	p := c.hosts[0]
	p.options.Retention, p.options.CleanupPause = time.Hour, time.Millisecond
	p.options.MayClean = func() bool { return !c.stale.Load() }
	p.options.WallClock = func() time.Time { return time.Now().Add(age) }
	return &cleaner{registry: p}
}

// Guards against the deletion of a record whose request is still running or may have been
// executed, a deletion too early or by a host that is not fresh, and rows or responses
// that are never deleted, also if the responses to writes are lost or writes take effect
// late.
func TestCleanupDeletesOnlyExpiredRecords(t *testing.T) {
	for name, faults := range map[string]standin.Faults{
		"no fault": {},
		"lost":     {LoseResponses: 2},
		"late":     {DelayedWrites: 1, WriteDelay: 50 * time.Millisecond},
		"outage":   {Outage: standin.OutageUnavailable, OutageRequests: 2},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := newTestCluster(t, 0)
			ctx := context.Background()
			// These rows are written first, so that the cleanup scans them first and
			// keeps them.
			_, _, err := c.begin(0, "claimed")
			g.Expect(err).NotTo(HaveOccurred())
			unknown, _, err := c.begin(0, "unknown")
			g.Expect(err).NotTo(HaveOccurred())
			unknown.MarkUnknown(ctx)
			const done = 2*scanPageRows + deleteBatchRows/2
			for i := range done {
				claim, _, err := c.begin(0, fmt.Sprint("done", i))
				g.Expect(err).NotTo(HaveOccurred())
				size := 1
				if i == 0 {
					size = maxInlineResponseBytes
				}
				claim.Complete(ctx, Response{Status: 200, Body: make([]byte, size)})
			}
			row, _, err := c.hosts[0].loadRow(ctx, policy.RowKey("a", "booking", "done0"))
			g.Expect(err).NotTo(HaveOccurred())

			young := c.cleanerAt(30 * time.Minute)
			g.Expect(young.clean(ctx)).To(BeZero())
			c.stale.Store(true)
			old := c.cleanerAt(2 * time.Hour)
			g.Expect(old.clean(ctx)).To(BeZero())
			c.stale.Store(false)

			c.server.SetFaults(faults)
			g.Eventually(func() error { _, err := old.clean(ctx); return err }).Should(Succeed())
			c.server.WaitForDelayedWrites()
			rows, err := c.store.Scan(ctx, Table, "", 0, 1000)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(rows).To(HaveLen(2))
			g.Expect(c.rowState(g, "claimed")).To(Equal(policy.Claimed))
			g.Expect(c.rowState(g, "unknown")).To(Equal(policy.Unknown))
			g.Expect(c.hosts[0].options.Objects.GetObject(ctx, row.ResponseObject)).To(BeEmpty())

			// A kept record that ends later is deleted, although it was scanned before.
			id := policy.RowKey("a", "booking", "unknown")
			g.Expect(c.hosts[1].Resolve(ctx, id, "op", "checked", nil)).To(Succeed())
			g.Expect(old.clean(ctx)).To(Equal(1))
		})
	}
}

// Guards against a request that runs twice because the cleanup deletes a row that was
// claimed again after the cleanup had read it as expired.
func TestCleanupKeepsReclaimedRow(t *testing.T) {
	g := NewWithT(t)
	c := newTestCluster(t, 0)
	ctx := context.Background()
	first, _, err := c.begin(0, "k")
	g.Expect(err).NotTo(HaveOccurred())
	first.MarkNotExecuted(ctx)
	cleaner := c.cleanerAt(2 * time.Hour)
	rows, err := c.store.Scan(ctx, Table, "", 0, 10)
	g.Expect(err).NotTo(HaveOccurred())
	expired, _, _, err := cleaner.classify(rows)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(expired).To(HaveLen(1))

	second, _, err := c.begin(1, "k")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = cleaner.delete(ctx, expired)
	g.Expect(err).To(MatchError(platform.ErrConflict))
	_, _, err = c.begin(0, "k")
	g.Expect(err).To(refusedWith(refusal.StillRunning, refusal.ExecutionUnknown))
	g.Expect(second.AllowSend(time.Time{})).To(Succeed())
}

// Guards against a listing that misses records or keeps resolved ones because later
// listings scan only new rows.
func TestUnresolvedListingIsIncremental(t *testing.T) {
	g := NewWithT(t)
	c := newTestCluster(t, 0)
	ctx := context.Background()
	unresolvedKeys := func() []string {
		records, err := c.hosts[1].Unresolved(ctx)
		g.Expect(err).NotTo(HaveOccurred())
		keys := []string{}
		for _, r := range records {
			keys = append(keys, r.IdempotencyKey)
		}
		return keys
	}
	for i := range scanPageRows + 1 {
		claim, _, err := c.begin(0, fmt.Sprint("k", i))
		g.Expect(err).NotTo(HaveOccurred())
		if i > 1 {
			claim.Complete(ctx, Response{Status: 200})
		}
	}
	g.Expect(unresolvedKeys()).To(BeEmpty())
	c.deadHosts.Store("h0", true)
	before := c.server.Stats().Reads
	g.Expect(unresolvedKeys()).To(Equal([]string{"k0", "k1"}))
	g.Expect(c.server.Stats().Reads - before).To(Equal(uint64(1)))
	g.Expect(c.hosts[0].Resolve(ctx, policy.RowKey("a", "booking", "k0"), "op", "", nil)).To(MatchError(ErrNotResolvable))
	g.Expect(c.hosts[1].Resolve(ctx, policy.RowKey("a", "booking", "k0"), "op", "", nil)).To(Succeed())
	g.Expect(unresolvedKeys()).To(Equal([]string{"k1"}))
}
