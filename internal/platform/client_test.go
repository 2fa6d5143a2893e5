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

// startClient starts a stand-in platform and returns it, its HTTP server, and a client
// for it.
func startClient(t *testing.T, o Options) (*standin.Server, *httptest.Server, *Client) {
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

// put writes a row if its version is the given one.
func put(c *Client, key, value string, version uint64) (uint64, error) {
	return c.Commit(context.Background(),
		[]Condition{{Table: "t", Key: key, Version: version}},
		[]Write{{Table: "t", Key: key, Value: []byte(value)}})
}

// Guards against calls of the client that differ from the protocol of the platform.
func TestClientProtocol(t *testing.T) {
	g := NewWithT(t)
	server, _, c := startClient(t, Options{})
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
	g.Expect(rows).To(HaveLen(2), "a response contains all rows of its last version")
	g.Expect(rows[0].Version).To(Equal(second))

	g.Expect(c.PutObject(ctx, "dir/o", []byte("data"))).To(Succeed())
	g.Expect(c.GetObject(ctx, "dir/o")).To(Equal([]byte("data")))
	server.SetHost(standin.Host{ID: "h1", Role: "router", Address: "127.0.0.1:1", Zone: "z"})
	g.Expect(c.Hosts(ctx)).To(Equal([]ListedHost{{ID: "h1", Role: "router", Address: "127.0.0.1:1", Zone: "z", State: HostLive}}))
}

// Guards against a write that may have taken effect but is reported as failed, and
// against one that certainly failed but is reported with an unknown outcome.
func TestWriteOutcomes(t *testing.T) {
	g := NewWithT(t)
	server, listener, c := startClient(t, Options{Timeout: 200 * time.Millisecond})
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

// Guards against reads that fail in a short outage, and against writes that are retried.
func TestOnlyReadsAreRetried(t *testing.T) {
	g := NewWithT(t)
	server, _, c := startClient(t, Options{BackoffBase: time.Millisecond})
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

// Guards against an outage in which every call is sent and fails slowly, and against a
// circuit breaker that stays open after the outage.
func TestOpenBreakerRejectsCallsAndProbes(t *testing.T) {
	g := NewWithT(t)
	server, _, c := startClient(t, Options{BreakerFailures: 3, BreakerCooldown: 100 * time.Millisecond})
	server.SetFaults(standin.Faults{Outage: standin.OutageUnavailable})
	for range 20 {
		_, err := put(c, "a", "1", 0)
		g.Expect(err).To(MatchError(ErrUnavailable))
	}
	g.Expect(server.Stats().Writes).To(BeNumerically("<=", 4))
	server.SetFaults(standin.Faults{})
	g.Eventually(func() error { _, err := put(c, "a", "1", 0); return err }, "2s", "10ms").Should(Succeed())
}

// Guards against an open circuit breaker that allows several calls at once, and against
// cancelled calls that open it.
func TestBreakerAllowsOneProbe(t *testing.T) {
	g := NewWithT(t)
	b := breaker{failureLimit: 1, cooldown: time.Second}
	now := time.Unix(0, 0)
	b.record(neutral, false, now)
	ok, probe := b.allow(now)
	g.Expect([]bool{ok, probe}).To(Equal([]bool{true, false}))
	b.record(unhealthy, false, now)
	now = now.Add(2 * time.Second)
	ok, probe = b.allow(now)
	g.Expect([]bool{ok, probe}).To(Equal([]bool{true, true}))
	b.record(neutral, false, now)
	ok, _ = b.allow(now)
	g.Expect(ok).To(BeFalse())
	b.record(healthy, true, now)
	ok, _ = b.allow(now)
	g.Expect(ok).To(BeTrue())
}

// Guards against a host that exceeds its share of the platform's capacity, because a
// write beyond the budget is sent although its error reports that it was not.
func TestWritesBeyondBudgetAreNotSent(t *testing.T) {
	g := NewWithT(t)
	server, _, c := startClient(t, Options{Timeout: 50 * time.Millisecond, WritesPerSecond: 1, WriteBurst: 2, ReadsPerSecond: 1, ReadBurst: 1})
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

// Guards against a response of unlimited length that exhausts memory.
func TestResponsesAreBounded(t *testing.T) {
	g := NewWithT(t)
	listener := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(make([]byte, 2000))
		_ = http.NewResponseController(w).Flush()
		// The body does not end, so that only a reader with a bound returns.
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
