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

// failingReads is a store whose reads can be made to fail.
type failingReads struct {
	platform.Store
	down atomic.Bool
}

func (f *failingReads) Get(ctx context.Context, table, key string) (platform.Row, error) {
	if f.down.Load() {
		return platform.Row{}, platform.ErrUnavailable
	}
	return f.Store.Get(ctx, table, key)
}

// bench is two hosts at one stand-in platform.
type bench struct {
	server *standin.Server
	reads  *failingReads
	hosts  [2]*PlatformRegistry
	now    atomic.Int64
	stale  atomic.Bool
	dead   sync.Map
}

func newBench(t testing.TB, maxOpen int64) *bench {
	t.Helper()
	b := &bench{server: standin.New(standin.Options{})}
	listener := httptest.NewServer(b.server)
	t.Cleanup(listener.Close)
	client, err := platform.NewClient(platform.Options{
		BaseURL: listener.URL, Timeout: 200 * time.Millisecond, ReadAttempts: 1, BreakerFailures: 1 << 30,
		ReadsPerSecond: 1e6, WritesPerSecond: 1e6,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	b.reads = &failingReads{Store: client}
	for i := range b.hosts {
		b.hosts[i], err = New(Options{
			Store: b.reads, Objects: client, HostID: fmt.Sprint("h", i), Incarnation: "1",
			HolderLive:  func(host, _ string) bool { _, dead := b.dead.Load(host); return !dead },
			Fresh:       func() bool { return !b.stale.Load() },
			Clock:       func() time.Time { return time.Unix(1000, b.now.Load()) },
			MaxClaimAge: 5 * time.Second, MaxOpen: maxOpen, RetryBase: time.Millisecond, RetryMax: 5 * time.Millisecond,
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return b
}

// run starts the background writers of both hosts.
func (b *bench) run(t testing.TB) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, h := range b.hosts {
		group.Go(func() { _ = h.Run(ctx) })
	}
	t.Cleanup(func() { cancel(); group.Wait() })
}

func booking(key string) Key {
	return Key{AccountID: "a", Service: "booking", IdempotencyKey: key, Fingerprint: "f"}
}

// drain fails instead of hanging if a record is never written.
func (b *bench) drain(host int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return b.hosts[host].Drain(ctx)
}

func (b *bench) begin(host int, key string) (Claim, *Response, error) {
	return b.hosts[host].Begin(context.Background(), booking(key))
}

func refusedWith(code refusal.Code, run refusal.Execution) OmegaMatcher {
	return WithTransform(func(err error) string {
		r := refusal.From(err)
		return string(r.Code) + " " + string(r.Execution)
	}, Equal(string(code)+" "+string(run)))
}

func (b *bench) state(g Gomega, key string) policy.State {
	row, _, err := b.hosts[0].load(context.Background(), policy.RowKey("a", "booking", key))
	g.Expect(err).NotTo(HaveOccurred())
	if row == nil {
		return ""
	}
	return row.State
}

// Guards against a repeated request that runs again or gets another answer, for
// answers in the row and in the object store.
func TestRepeatedRequestGetsTheRecordedAnswer(t *testing.T) {
	g := NewWithT(t)
	b := newBench(t, 0)
	for _, size := range []int{10, maxInlineAnswerBytes + 1} {
		key := fmt.Sprint("k", size)
		claim, _, err := b.begin(0, key)
		g.Expect(err).NotTo(HaveOccurred())
		_, _, err = b.begin(1, key)
		g.Expect(err).To(refusedWith(refusal.StillRunning, refusal.ExecutionUnknown))
		g.Expect(claim.AllowSend(time.Time{})).To(Succeed())
		answer := Response{Status: 201, Header: map[string][]string{"X": {"1"}}, Body: make([]byte, size)}
		claim.Complete(context.Background(), answer)
		_, got, err := b.begin(1, key)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(*got).To(Equal(answer))
		other := booking(key)
		other.Fingerprint = "other"
		_, _, err = b.hosts[1].Begin(context.Background(), other)
		g.Expect(err).To(refusedWith(refusal.IdempotencyKeyReused, refusal.NotExecuted))
	}
}

// Guards against a claim that is given up, or doubled, because its answer was lost.
func TestLostAnswerOfAClaimIsReadBack(t *testing.T) {
	g := NewWithT(t)
	b := newBench(t, 0)
	b.server.SetFaults(standin.Faults{LoseResponses: 1})
	claim, _, err := b.begin(0, "k")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(claim.AllowSend(time.Time{})).To(Succeed())
	_, _, err = b.begin(1, "k")
	g.Expect(err).To(refusedWith(refusal.StillRunning, refusal.ExecutionUnknown))

	b.server.SetFaults(standin.Faults{LoseResponses: 1})
	claim.Complete(context.Background(), Response{Status: 200})
	b.run(t)
	g.Eventually(func() policy.State { return b.state(g, "k") }).Should(Equal(policy.Done))
}

// Guards against a key that stays claimed by an attempt that was rejected as not
// run, whether its write took effect or is still on its way.
func TestUnconfirmedClaimIsReleased(t *testing.T) {
	for name, faults := range map[string]standin.Faults{
		"lost": {LoseResponses: 1},
		"late": {DelayedWrites: 1, WriteDelay: 150 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b := newBench(t, 0)
			b.run(t)
			b.reads.down.Store(true)
			b.server.SetFaults(faults)
			claim, _, err := b.begin(0, "k")
			g.Expect(err).To(refusedWith(refusal.PlatformUnavailable, refusal.NotExecuted))
			g.Expect(claim).To(BeNil())
			b.reads.down.Store(false)
			g.Eventually(func() policy.State { return b.state(g, "k") }).Should(Equal(policy.NotRun))
			b.server.WaitForDelayedWrites()
			g.Expect(b.state(g, "k")).To(Equal(policy.NotRun))
			claim, _, err = b.begin(1, "k")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(claim.AllowSend(time.Time{})).To(Succeed())
		})
	}
}

// Guards against an answer that is lost because the store was down, and against a
// claim without the store.
func TestOutageOfTheStore(t *testing.T) {
	g := NewWithT(t)
	b := newBench(t, 0)
	claim, _, err := b.begin(0, "k")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(claim.AllowSend(time.Time{})).To(Succeed())
	b.server.SetFaults(standin.Faults{Outage: standin.OutageUnavailable})
	claim.Complete(context.Background(), Response{Status: 200, Body: []byte("booked")})
	_, _, err = b.begin(1, "other")
	g.Expect(err).To(refusedWith(refusal.PlatformUnavailable, refusal.NotExecuted))
	b.run(t)
	time.Sleep(30 * time.Millisecond)
	b.server.SetFaults(standin.Faults{})
	g.Expect(b.drain(0)).To(Succeed())
	_, answer, err := b.begin(1, "k")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(answer.Body)).To(Equal("booked"))
}

// Guards against a send after a pause, after the deadline or with a stale
// configuration, and against such a claim blocking its key.
func TestRefusedSendReleasesTheKey(t *testing.T) {
	g := NewWithT(t)
	b := newBench(t, 0)
	b.run(t)
	for i, spoil := range []func() time.Time{
		func() time.Time { b.now.Add(int64(5 * time.Second)); return time.Time{} },
		func() time.Time { return time.Unix(1000, b.now.Load()) },
		func() time.Time { b.stale.Store(true); return time.Time{} },
	} {
		key := fmt.Sprint("k", i)
		claim, _, err := b.begin(0, key)
		g.Expect(err).NotTo(HaveOccurred())
		deadline := spoil()
		g.Expect(claim.AllowSend(deadline)).To(WithTransform(func(err error) refusal.Execution { return refusal.From(err).Execution }, Equal(refusal.NotExecuted)))
		b.stale.Store(false)
		g.Expect(claim.AllowSend(time.Time{})).NotTo(Succeed())
		g.Eventually(func() policy.State { return b.state(g, key) }).Should(Equal(policy.NotRun))
	}
}

// Guards against a resolved key that runs again, also by a paused holder's record.
func TestResolvedRequestNeverRunsAgain(t *testing.T) {
	g := NewWithT(t)
	b := newBench(t, 0)
	ctx := context.Background()
	paused, _, err := b.begin(0, "k")
	g.Expect(err).NotTo(HaveOccurred())
	id := policy.RowKey("a", "booking", "k")
	g.Expect(b.hosts[1].Resolve(ctx, id, "op", "n", nil)).To(MatchError(ErrNotResolvable))
	b.dead.Store("h0", true)
	_, _, err = b.begin(1, "k")
	g.Expect(err).To(refusedWith(refusal.OutcomeUnknown, refusal.ExecutionUnknown))
	g.Expect(b.hosts[1].Unresolved(ctx)).To(ConsistOf(And(HaveField("ID", id), HaveField("State", "unknown"))))
	b.server.SetFaults(standin.Faults{LoseResponses: 1})
	g.Expect(b.hosts[1].Resolve(ctx, id, "op", "seen in the diary", &Response{Status: 200})).To(Succeed())
	g.Expect(b.hosts[1].Unresolved(ctx)).To(BeEmpty())

	g.Expect(paused.AllowSend(time.Time{})).To(Succeed())
	paused.NotRun(ctx)
	_, answer, err := b.begin(1, "k")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.Status).To(Equal(200))
	g.Expect(b.hosts[1].Resolve(ctx, "none", "op", "", nil)).To(MatchError(ErrNoRecord))
}

// Guards against unbounded memory while records can't be written.
func TestOpenClaimsAreBounded(t *testing.T) {
	g := NewWithT(t)
	b := newBench(t, 1)
	claim, _, err := b.begin(0, "k1")
	g.Expect(err).NotTo(HaveOccurred())
	_, _, err = b.begin(0, "k2")
	g.Expect(err).To(refusedWith(refusal.Overloaded, refusal.NotExecuted))
	claim.NotRun(context.Background())
	claim.NotRun(context.Background())
	_, _, err = b.begin(0, "k2")
	g.Expect(err).NotTo(HaveOccurred())
	_, _, err = b.begin(0, "k3")
	g.Expect(err).To(refusedWith(refusal.Overloaded, refusal.NotExecuted))
}

// Guards against two sends of one request by two hosts at once, under generated
// lost and late writes and failing reads.
func TestConcurrentRequestsSendOnce(t *testing.T) {
	b := newBench(t, 0)
	b.run(t)
	round := 0
	rapid.Check(t, func(t *rapid.T) {
		round++
		b.server.SetFaults(standin.Faults{
			LoseResponses: rapid.IntRange(0, 3).Draw(t, "lost"),
			DelayedWrites: rapid.IntRange(0, 2).Draw(t, "late"), WriteDelay: time.Millisecond,
		})
		b.reads.down.Store(rapid.Bool().Draw(t, "reads fail"))
		var sent atomic.Int32
		var group sync.WaitGroup
		for i := range 4 {
			group.Go(func() {
				claim, _, err := b.begin(i%2, fmt.Sprint("k", round))
				if err == nil && claim != nil && claim.AllowSend(time.Time{}) == nil {
					sent.Add(1)
					claim.Complete(context.Background(), Response{Status: 200})
				}
				b.reads.down.Store(false)
			})
		}
		group.Wait()
		b.server.SetFaults(standin.Faults{})
		for host := range b.hosts {
			if err := b.drain(host); err != nil {
				t.Fatal(err)
			}
		}
		if sent.Load() > 1 {
			t.Fatalf("the request was sent %d times", sent.Load())
		}
		key := policy.RowKey("a", "booking", fmt.Sprint("k", round))
		row, _, err := b.hosts[0].load(context.Background(), key)
		if err != nil || row != nil && row.State == policy.Claimed {
			t.Fatalf("the row stayed claimed after all records were written: %v", err)
		}
	})
}
