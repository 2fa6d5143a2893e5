package idempotency

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/internal/refusal"
	policy "github.com/sequoiaroad/sequoiaroad/policy/idempotency"
	standin "github.com/sequoiaroad/sequoiaroad/standin/platform"
)

// failingReadStore is a store whose reads can be made to fail.
type failingReadStore struct {
	platform.Store
	failing atomic.Bool
}

func (f *failingReadStore) Get(ctx context.Context, table, key string) (platform.Row, error) {
	if f.failing.Load() {
		return platform.Row{}, platform.ErrUnavailable
	}
	return f.Store.Get(ctx, table, key)
}

// testCluster is two hosts with one stand-in platform. Both read their clocks from
// clockNanos; a host in deadHosts counts as dead for the other.
type testCluster struct {
	server     *standin.Server
	store      *failingReadStore
	hosts      [2]*PlatformRegistry
	clockNanos atomic.Int64
	stale      atomic.Bool
	deadHosts  sync.Map
}

func newTestCluster(t testing.TB, maxOpenClaims int64) *testCluster {
	t.Helper()
	c := &testCluster{server: standin.New(standin.Options{})}
	listener := httptest.NewServer(c.server)
	t.Cleanup(listener.Close)
	client, err := platform.NewClient(platform.Options{
		BaseURL: listener.URL, Timeout: 200 * time.Millisecond, ReadAttempts: 1, BreakerFailures: 1 << 30,
		ReadsPerSecond: 1e6, WritesPerSecond: 1e6,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	c.store = &failingReadStore{Store: client}
	for i := range c.hosts {
		c.hosts[i], err = New(Options{
			Store: c.store, Objects: client, HostID: fmt.Sprint("h", i), Incarnation: "1",
			HolderLive:  func(host, _ string) bool { _, dead := c.deadHosts.Load(host); return !dead },
			Fresh:       func() bool { return !c.stale.Load() },
			Clock:       func() time.Time { return time.Unix(1000, c.clockNanos.Load()) },
			MaxClaimAge: 5 * time.Second, MaxOpenClaims: maxOpenClaims, RetryBaseDelay: time.Millisecond, RetryMaxDelay: 5 * time.Millisecond,
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return c
}

// run starts the background writers of both hosts.
func (c *testCluster) run(t testing.TB) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, h := range c.hosts {
		group.Go(func() { _ = h.Run(ctx) })
	}
	t.Cleanup(func() { cancel(); group.Wait() })
}

func bookingKey(key string) Key {
	return Key{AccountID: "a", Service: "booking", IdempotencyKey: key, Fingerprint: "f"}
}

// drain drains a host. It fails after 5 s if a record is never written.
func (c *testCluster) drain(host int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return c.hosts[host].Drain(ctx)
}

func (c *testCluster) begin(host int, key string) (Claim, *Response, error) {
	return c.hosts[host].Begin(context.Background(), bookingKey(key))
}

func refusedWith(code refusal.Code, execution refusal.Execution) OmegaMatcher {
	return WithTransform(func(err error) string {
		r := refusal.From(err)
		return string(r.Code) + " " + string(r.Execution)
	}, Equal(string(code)+" "+string(execution)))
}

func (c *testCluster) rowState(g Gomega, key string) policy.State {
	row, _, err := c.hosts[0].loadRow(context.Background(), policy.RowKey("a", "booking", key))
	g.Expect(err).NotTo(HaveOccurred())
	if row == nil {
		return ""
	}
	return row.State
}

// Guards against a repeated request that runs again or gets another response, for
// responses in the row and in the object store.
func TestRepeatedRequestReturnsRecordedResponse(t *testing.T) {
	g := NewWithT(t)
	c := newTestCluster(t, 0)
	for _, size := range []int{10, maxInlineResponseBytes + 1} {
		key := fmt.Sprint("k", size)
		claim, _, err := c.begin(0, key)
		g.Expect(err).NotTo(HaveOccurred())
		_, _, err = c.begin(1, key)
		g.Expect(err).To(refusedWith(refusal.StillRunning, refusal.ExecutionUnknown))
		g.Expect(claim.AllowSend(time.Time{})).To(Succeed())
		response := Response{Status: 201, Header: map[string][]string{"X": {"1"}}, Body: make([]byte, size)}
		claim.Complete(context.Background(), response)
		_, got, err := c.begin(1, key)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(*got).To(Equal(response))
		other := bookingKey(key)
		other.Fingerprint = "other"
		_, _, err = c.hosts[1].Begin(context.Background(), other)
		g.Expect(err).To(refusedWith(refusal.IdempotencyKeyReused, refusal.NotExecuted))
	}
}

// Guards against a claim that is abandoned or made twice because the store's response was
// lost, and against a record that is lost in the same way.
func TestClaimIsReadBackAfterLostResponse(t *testing.T) {
	g := NewWithT(t)
	c := newTestCluster(t, 0)
	c.server.SetFaults(standin.Faults{LoseResponses: 1})
	claim, _, err := c.begin(0, "k")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(claim.AllowSend(time.Time{})).To(Succeed())
	_, _, err = c.begin(1, "k")
	g.Expect(err).To(refusedWith(refusal.StillRunning, refusal.ExecutionUnknown))

	c.server.SetFaults(standin.Faults{LoseResponses: 1})
	claim.Complete(context.Background(), Response{Status: 200})
	c.run(t)
	g.Eventually(func() policy.State { return c.rowState(g, "k") }).Should(Equal(policy.Done))
}

// Guards against a key that stays claimed by an attempt that was refused as not executed:
// the response to the claim's write was lost, or the write takes effect after the refusal.
func TestUnconfirmedClaimIsReleased(t *testing.T) {
	for name, faults := range map[string]standin.Faults{
		"lost": {LoseResponses: 1},
		"late": {DelayedWrites: 1, WriteDelay: 150 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := newTestCluster(t, 0)
			c.run(t)
			c.store.failing.Store(true)
			c.server.SetFaults(faults)
			claim, _, err := c.begin(0, "k")
			g.Expect(err).To(refusedWith(refusal.PlatformUnavailable, refusal.NotExecuted))
			g.Expect(claim).To(BeNil())
			c.store.failing.Store(false)
			g.Eventually(func() policy.State { return c.rowState(g, "k") }).Should(Equal(policy.NotExecuted))
			c.server.WaitForDelayedWrites()
			g.Expect(c.rowState(g, "k")).To(Equal(policy.NotExecuted))
			claim, _, err = c.begin(1, "k")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(claim.AllowSend(time.Time{})).To(Succeed())
		})
	}
}

// Guards against a response that is lost because the store was unavailable at the end of
// the request, and against a claim that succeeds without the store.
func TestResponseIsRecordedAfterStoreOutage(t *testing.T) {
	g := NewWithT(t)
	c := newTestCluster(t, 0)
	claim, _, err := c.begin(0, "k")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(claim.AllowSend(time.Time{})).To(Succeed())
	c.server.SetFaults(standin.Faults{Outage: standin.OutageUnavailable})
	claim.Complete(context.Background(), Response{Status: 200, Body: []byte("booked")})
	_, _, err = c.begin(1, "other")
	g.Expect(err).To(refusedWith(refusal.PlatformUnavailable, refusal.NotExecuted))
	c.run(t)
	time.Sleep(30 * time.Millisecond)
	c.server.SetFaults(standin.Faults{})
	g.Expect(c.drain(0)).To(Succeed())
	_, response, err := c.begin(1, "k")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(response.Body)).To(Equal("booked"))
}

// Guards against a send after a pause of the process, after the deadline or with a stale
// configuration, and against a key that stays claimed after such a refusal.
func TestRefusedSendReleasesKey(t *testing.T) {
	g := NewWithT(t)
	c := newTestCluster(t, 0)
	c.run(t)
	for i, preventSend := range []func() time.Time{
		func() time.Time { c.clockNanos.Add(int64(5 * time.Second)); return time.Time{} },
		func() time.Time { return time.Unix(1000, c.clockNanos.Load()) },
		func() time.Time { c.stale.Store(true); return time.Time{} },
	} {
		key := fmt.Sprint("k", i)
		claim, _, err := c.begin(0, key)
		g.Expect(err).NotTo(HaveOccurred())
		deadline := preventSend()
		g.Expect(claim.AllowSend(deadline)).To(WithTransform(func(err error) refusal.Execution { return refusal.From(err).Execution }, Equal(refusal.NotExecuted)))
		c.stale.Store(false)
		g.Expect(claim.AllowSend(time.Time{})).NotTo(Succeed())
		g.Eventually(func() policy.State { return c.rowState(g, key) }).Should(Equal(policy.NotExecuted))
	}
}

// Guards against a resolved request that runs again, also when a paused holder that was
// considered dead writes its record afterwards.
func TestResolvedRequestNeverRunsAgain(t *testing.T) {
	g := NewWithT(t)
	c := newTestCluster(t, 0)
	ctx := context.Background()
	paused, _, err := c.begin(0, "k")
	g.Expect(err).NotTo(HaveOccurred())
	id := policy.RowKey("a", "booking", "k")
	g.Expect(c.hosts[1].Resolve(ctx, id, "op", "n", nil)).To(MatchError(ErrNotResolvable))
	c.deadHosts.Store("h0", true)
	_, _, err = c.begin(1, "k")
	g.Expect(err).To(refusedWith(refusal.OutcomeUnknown, refusal.ExecutionUnknown))
	g.Expect(c.hosts[1].Unresolved(ctx)).To(ConsistOf(And(HaveField("ID", id), HaveField("State", "unknown"))))
	c.server.SetFaults(standin.Faults{LoseResponses: 1})
	g.Expect(c.hosts[1].Resolve(ctx, id, "op", "checked in the calendar", &Response{Status: 200})).To(Succeed())
	g.Expect(c.hosts[1].Unresolved(ctx)).To(BeEmpty())

	g.Expect(paused.AllowSend(time.Time{})).To(Succeed())
	paused.MarkNotExecuted(ctx)
	_, response, err := c.begin(1, "k")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Status).To(Equal(200))
	g.Expect(c.hosts[1].Resolve(ctx, "none", "op", "", nil)).To(MatchError(ErrRecordNotFound))
}

// Guards against memory that grows without bound while records can't be written.
func TestOpenClaimsAreBounded(t *testing.T) {
	g := NewWithT(t)
	c := newTestCluster(t, 1)
	claim, _, err := c.begin(0, "k1")
	g.Expect(err).NotTo(HaveOccurred())
	_, _, err = c.begin(0, "k2")
	g.Expect(err).To(refusedWith(refusal.Overloaded, refusal.NotExecuted))
	claim.MarkNotExecuted(context.Background())
	claim.MarkNotExecuted(context.Background())
	_, _, err = c.begin(0, "k2")
	g.Expect(err).NotTo(HaveOccurred())
	_, _, err = c.begin(0, "k3")
	g.Expect(err).To(refusedWith(refusal.Overloaded, refusal.NotExecuted))
}

// Guards against a request that two hosts claim at the same time and send twice, with
// generated lost responses, late writes and failing reads.
func TestConcurrentRequestsSendOnce(t *testing.T) {
	c := newTestCluster(t, 0)
	c.run(t)
	round := 0
	rapid.Check(t, func(t *rapid.T) {
		round++
		c.server.SetFaults(standin.Faults{
			LoseResponses: rapid.IntRange(0, 3).Draw(t, "lost"),
			DelayedWrites: rapid.IntRange(0, 2).Draw(t, "late"), WriteDelay: time.Millisecond,
		})
		c.store.failing.Store(rapid.Bool().Draw(t, "reads fail"))
		var sent atomic.Int32
		var group sync.WaitGroup
		for i := range 4 {
			group.Go(func() {
				claim, _, err := c.begin(i%2, fmt.Sprint("k", round))
				if err == nil && claim != nil && claim.AllowSend(time.Time{}) == nil {
					sent.Add(1)
					claim.Complete(context.Background(), Response{Status: 200})
				}
				c.store.failing.Store(false)
			})
		}
		group.Wait()
		c.server.SetFaults(standin.Faults{})
		for host := range c.hosts {
			if err := c.drain(host); err != nil {
				t.Fatal(err)
			}
		}
		if sent.Load() > 1 {
			t.Fatalf("the request was sent %d times", sent.Load())
		}
		key := policy.RowKey("a", "booking", fmt.Sprint("k", round))
		row, _, err := c.hosts[0].loadRow(context.Background(), key)
		if err != nil || row != nil && row.State == policy.Claimed {
			t.Fatalf("the row stayed claimed after all records were written: %v", err)
		}
	})
}
