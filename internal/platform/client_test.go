package platform

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	standin "github.com/sequoiaroad/sequoiaroad/standin/platform"
)

func start(t *testing.T, o Options) (*standin.Server, *httptest.Server, *Client) {
	t.Helper()
	server := standin.New(standin.Options{})
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	o.BaseURL = listener.URL
	if o.WritesPerSecond == 0 {
		o.ReadsPerSecond, o.WritesPerSecond = 1000, 1000
	}
	client, err := NewClient(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return server, listener, client
}

func put(c *Client, key, value string, version uint64) (uint64, error) {
	return c.Commit(context.Background(),
		[]Condition{{Table: "t", Key: key, Version: version}},
		[]Write{{Table: "t", Key: key, Value: []byte(value)}})
}

// Guards against differences between the adapter and the protocol.
func TestClientSpeaksTheProtocol(t *testing.T) {
	g := NewWithT(t)
	server, _, c := start(t, Options{})
	ctx := context.Background()
	_, err := c.Get(ctx, "t", "a/b c")
	g.Expect(err).To(MatchError(ErrNotFound))
	version, err := put(c, "a/b c", "1", 0)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = put(c, "a/b c", "2", 0)
	g.Expect(err).To(MatchError(ErrConflict))
	row, err := c.Get(ctx, "t", "a/b c")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(row).To(Equal(Row{Table: "t", Key: "a/b c", Value: []byte("1"), Version: version}))

	second, err := c.Commit(ctx, nil, []Write{
		{Table: "t", Key: "x1", Value: []byte("x")}, {Table: "t", Key: "x2"}, {Table: "t", Key: "a/b c", Delete: true},
	})
	g.Expect(err).NotTo(HaveOccurred())
	rows, err := c.Scan(ctx, "t", "x", version, 1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rows).To(HaveLen(2), "a page holds all rows of its last version")
	g.Expect(rows[0].Version).To(Equal(second))

	g.Expect(c.PutObject(ctx, "dir/o", []byte("data"))).To(Succeed())
	g.Expect(c.GetObject(ctx, "dir/o")).To(Equal([]byte("data")))
	server.SetHost(standin.Host{ID: "h1", Role: "router", Address: "127.0.0.1:1", Zone: "z"})
	g.Expect(c.Hosts(ctx)).To(Equal([]ListedHost{{ID: "h1", Role: "router", Address: "127.0.0.1:1", Zone: "z", State: HostLive}}))
}

// Guards against a write of unknown outcome being taken for one that failed, and
// against one that surely failed being taken for unknown.
func TestWriteOutcomes(t *testing.T) {
	g := NewWithT(t)
	server, listener, c := start(t, Options{Timeout: 200 * time.Millisecond})
	ctx := context.Background()

	server.SetFaults(standin.Faults{LoseResponses: 1})
	_, err := put(c, "lost", "1", 0)
	g.Expect(err).To(MatchError(ErrUnknownOutcome))
	g.Expect(err.Error()).To(ContainSubstring("commit to table t at 127.0.0.1:"))
	g.Expect(c.Get(ctx, "t", "lost")).To(HaveField("Value", []byte("1")))

	server.SetFaults(standin.Faults{DelayedWrites: 1, WriteDelay: 50 * time.Millisecond})
	_, err = put(c, "late", "1", 0)
	g.Expect(err).To(MatchError(ErrUnknownOutcome))
	_, err = c.Get(ctx, "t", "late")
	g.Expect(err).To(MatchError(ErrNotFound))
	server.WaitForDelayedWrites()
	g.Expect(c.Get(ctx, "t", "late")).To(HaveField("Value", []byte("1")))

	server.SetFaults(standin.Faults{Delay: time.Second})
	_, err = put(c, "slow", "1", 0)
	g.Expect(err).To(MatchError(ErrUnknownOutcome))

	server.SetFaults(standin.Faults{Outage: standin.OutageUnavailable})
	_, err = put(c, "down", "1", 0)
	g.Expect(err).To(MatchError(ErrUnavailable))
	server.SetFaults(standin.Faults{})
	_, err = c.Get(ctx, "t", "down")
	g.Expect(err).To(MatchError(ErrNotFound))

	listener.Close()
	c.Close()
	_, err = put(c, "refused", "1", 0)
	g.Expect(err).To(MatchError(ErrUnavailable))
	g.Expect(err).NotTo(MatchError(ErrUnknownOutcome))
}

// Guards against reads that fail on a short fault, and writes that are repeated.
func TestOnlyReadsAreRetried(t *testing.T) {
	g := NewWithT(t)
	server, _, c := start(t, Options{BackoffBase: time.Millisecond})
	_, err := put(c, "a", "1", 0)
	g.Expect(err).NotTo(HaveOccurred())
	for _, kind := range []standin.Outage{standin.OutageUnavailable, standin.OutageDrop} {
		server.SetFaults(standin.Faults{Outage: kind, OutageRequests: 2})
		g.Expect(c.Get(context.Background(), "t", "a")).To(HaveField("Value", []byte("1")))
		before := server.Stats().Writes
		server.SetFaults(standin.Faults{Outage: kind, OutageRequests: 1})
		_, err = put(c, "b", "1", 0)
		g.Expect(err).To(HaveOccurred())
		g.Expect(server.Stats().Writes).To(Equal(before + 1))
	}
}

// Guards against an outage that costs a timeout per call, and against a breaker
// that stays open after it.
func TestBreakerRefusesLocallyAndProbes(t *testing.T) {
	g := NewWithT(t)
	server, _, c := start(t, Options{BreakerFailures: 3, BreakerCooldown: 100 * time.Millisecond})
	server.SetFaults(standin.Faults{Outage: standin.OutageUnavailable})
	for range 20 {
		_, err := put(c, "a", "1", 0)
		g.Expect(err).To(MatchError(ErrUnavailable))
	}
	g.Expect(server.Stats().Writes).To(BeNumerically("<=", 4))
	server.SetFaults(standin.Faults{})
	g.Eventually(func() error { _, err := put(c, "a", "1", 0); return err }, "2s", "10ms").Should(Succeed())
}

// Guards against several calls that pass an open breaker at once, and against
// calls that their caller ended opening it.
func TestBreakerLetsOneProbeThrough(t *testing.T) {
	g := NewWithT(t)
	b := breaker{limit: 1, cooldown: time.Second}
	now := time.Unix(0, 0)
	b.report(neutral, false, now)
	ok, probe := b.allow(now)
	g.Expect([]bool{ok, probe}).To(Equal([]bool{true, false}))
	b.report(unhealthy, false, now)
	now = now.Add(2 * time.Second)
	ok, probe = b.allow(now)
	g.Expect([]bool{ok, probe}).To(Equal([]bool{true, true}))
	b.report(neutral, false, now)
	ok, _ = b.allow(now)
	g.Expect(ok).To(BeFalse())
	b.report(healthy, true, now)
	ok, _ = b.allow(now)
	g.Expect(ok).To(BeTrue())
}

// Guards against a host that takes more than its share of the platform, and
// against a write beyond the budget that is sent after all.
func TestWritesBeyondTheBudgetAreNotSent(t *testing.T) {
	g := NewWithT(t)
	server, _, c := start(t, Options{Timeout: 50 * time.Millisecond, WritesPerSecond: 1, WriteBurst: 2, ReadsPerSecond: 1, ReadBurst: 1})
	sent := 0
	for range 10 {
		if _, err := c.Commit(context.Background(), nil, nil); err == nil {
			sent++
		} else {
			g.Expect(err).To(MatchError(ErrUnavailable))
		}
	}
	g.Expect(sent).To(Equal(2))
	g.Expect(server.Stats().Writes).To(Equal(uint64(2)))
}

// Guards against a response that exhausts memory.
func TestResponsesAreBounded(t *testing.T) {
	g := NewWithT(t)
	listener := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(make([]byte, 2000))
		_ = http.NewResponseController(w).Flush()
		// The body does not end, so that only a bounded reader returns.
		<-r.Context().Done()
	}))
	defer listener.Close()
	c, err := NewClient(Options{BaseURL: listener.URL, MaxResponseBytes: 1999, BackoffBase: time.Millisecond})
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_, err = c.GetObject(context.Background(), "o")
	g.Expect(err).To(MatchError(ContainSubstring("exceeds 1999 bytes")))
	_, err = c.Commit(context.Background(), nil, nil)
	g.Expect(err).To(MatchError(ErrUnknownOutcome))
}
