package orders

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	standin "github.com/sequoiaroad/sequoiaroad/standin/platform"
)

// fakeEngines responds to orders and records the highest number of concurrent ones.
type fakeEngines struct {
	mu            sync.Mutex
	running       int
	maxRunning    int
	fencingTokens []uint64
	// hang withholds the responses to orders; status, if set, is the response status.
	hang     bool
	status   int
	loadTime time.Duration
	arrivals []time.Time
}

func (e *fakeEngines) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var order orderRequest
	_ = json.NewDecoder(r.Body).Decode(&order)
	e.mu.Lock()
	e.running++
	e.maxRunning = max(e.maxRunning, e.running)
	e.fencingTokens = append(e.fencingTokens, order.FencingToken)
	e.arrivals = append(e.arrivals, time.Now())
	hang, status, loadTime := e.hang, e.status, e.loadTime
	e.mu.Unlock()
	time.Sleep(loadTime)
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
	if hang {
		<-r.Context().Done()
		return
	}
	if status != 0 {
		w.WriteHeader(status)
	}
}

type fixture struct {
	server  *standin.Server
	engines *fakeEngines
	hosts   []*Service
	targets map[string]*config.Target
}

const testOrderTimeout = 100 * time.Millisecond

func newFixture(t *testing.T, hosts int) *fixture {
	t.Helper()
	f := &fixture{server: standin.New(standin.Options{}), engines: &fakeEngines{}, targets: map[string]*config.Target{}}
	store, engine := httptest.NewServer(f.server), httptest.NewServer(f.engines)
	t.Cleanup(store.Close)
	t.Cleanup(engine.Close)
	for i := range 6 {
		id := fmt.Sprint("e", i)
		f.targets[id] = &config.Target{ID: id, Kind: config.TargetEngine, URL: engine.URL, ChecksFencing: i%2 == 0}
	}
	client, err := platform.NewClient(platform.Options{BaseURL: store.URL, ReadsPerSecond: 1e6, WritesPerSecond: 1e6, BreakerFailures: 1 << 30})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	for i := range hosts {
		s, err := New(Options{
			Store: client, HostID: fmt.Sprint("h", i), Incarnation: "1",
			Target:       func(id string) *config.Target { return f.targets[id] },
			OrderTimeout: testOrderTimeout, MaxLoadDuration: 50 * time.Millisecond,
			LeaseDuration: 300 * time.Millisecond, DriftMargin: 20 * time.Millisecond, PollInterval: 5 * time.Millisecond,
		})
		if err != nil {
			t.Fatal(err)
		}
		f.hosts = append(f.hosts, s)
	}
	return f
}

func (f *fixture) execute(host int, o Order) (Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return f.hosts[host].Execute(ctx, o)
}

// Guards against more than LoadSlots concurrent weight loads in the fleet, also when
// responses of the store are lost.
func TestConcurrentLoadsAreLimitedToSlots(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, 3)
	f.engines.loadTime = 20 * time.Millisecond
	f.server.SetFaults(standin.Faults{LoseResponses: 5})
	var group sync.WaitGroup
	failures := make(chan error, 18)
	for i := range 18 {
		group.Go(func() {
			if _, err := f.execute(i%3, Order{TargetID: fmt.Sprint("e", i%6), Kind: LoadModel, Model: "m"}); err != nil {
				failures <- err
			}
		})
	}
	group.Wait()
	close(failures)
	for err := range failures {
		g.Expect(err).To(MatchError(ErrLeaseNotHeld))
	}
	g.Expect(f.engines.maxRunning).To(Equal(LoadSlots))
	g.Expect(len(f.engines.fencingTokens)).To(BeNumerically(">", 9))
}

// Guards against an order without a response that takes effect after the next one, which
// has a higher fencing token, and waits if the target checks no tokens.
func TestOrderAfterOrderWithoutResponse(t *testing.T) {
	for id, wait := range map[string]time.Duration{"e0": 0, "e1": testOrderTimeout} {
		g := NewWithT(t)
		f := newFixture(t, 1)
		f.engines.hang = true
		_, err := f.execute(0, Order{TargetID: id, Kind: ChangeRole, Role: "prefill"})
		g.Expect(err).To(MatchError(ErrNoResponse))
		returnedAt := time.Now()
		f.engines.mu.Lock()
		f.engines.hang = false
		f.engines.mu.Unlock()
		result, err := f.execute(0, Order{TargetID: id, Kind: ChangeRole, Role: "decode"})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.FencingToken).To(Equal(uint64(2)))
		g.Expect(f.engines.arrivals[1].Sub(returnedAt)).To(BeNumerically(">=", wait))
	}
}

// Guards against a second host that sends an order before the first host's lease expires.
func TestSecondHostWaitsForLeaseExpiry(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, 2)
	f.engines.hang = true
	_, err := f.execute(0, Order{TargetID: "e0", Kind: ChangeRole})
	g.Expect(err).To(MatchError(ErrNoResponse))
	f.engines.mu.Lock()
	f.engines.hang = false
	f.engines.mu.Unlock()
	_, err = f.execute(1, Order{TargetID: "e0", Kind: ChangeRole})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(f.engines.arrivals[1].Sub(f.engines.arrivals[0])).To(BeNumerically(">=", 300*time.Millisecond))
}

// Guards against rejections that callers cannot distinguish, and against orders to unknown
// or unreachable targets.
func TestExecuteReportsOutcomes(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, 1)
	for status, kind := range map[int]error{409: ErrStaleFencingToken, 412: ErrStaleFencingToken, 400: ErrRejected} {
		f.engines.status = status
		_, err := f.execute(0, Order{TargetID: "e0", Kind: ChangeRole})
		g.Expect(err).To(MatchError(kind))
	}
	_, err := f.execute(0, Order{TargetID: "none", Kind: ChangeRole})
	g.Expect(err).To(MatchError(ErrUnknownTarget))
	f.targets["e0"].URL = "http://127.0.0.1:1"
	_, err = f.execute(0, Order{TargetID: "e0", Kind: ChangeRole})
	g.Expect(err).To(MatchError(ErrUnreachable))
}

// loadRecorder records the calls of LoadObserver.
type loadRecorder struct{ events []string }

func (l *loadRecorder) ObserveWeightsLoadStart(targetID, model, version string, _ time.Duration) {
	l.events = append(l.events, "start "+targetID+" "+model+" "+version)
}
func (l *loadRecorder) ObserveWeightsLoadEnd(targetID string) {
	l.events = append(l.events, "end "+targetID)
}

// Guards against routing requests to a target while it loads, and against excluding a
// target from routing after it rejected the order.
func TestWeightLoadsAreReported(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, 1)
	observed := &loadRecorder{}
	f.hosts[0].options.Loads = observed
	events := func(o Order, status int, hang bool) []string {
		observed.events = nil
		f.engines.mu.Lock()
		f.engines.status, f.engines.hang = status, hang
		f.engines.mu.Unlock()
		_, _ = f.execute(0, o)
		return observed.events
	}
	version := Order{TargetID: "e0", Kind: LoadVersion, Model: "m", WeightsVersion: "2"}
	g.Expect(events(version, 0, false)).To(Equal([]string{"start e0 m 2"}))
	g.Expect(events(version, 400, false)).To(Equal([]string{"start e0 m 2", "end e0"}))
	g.Expect(events(Order{TargetID: "e0", Kind: LoadModel, Model: "m"}, 0, false)).To(Equal([]string{"start e0 m ", "end e0"}))
	g.Expect(events(Order{TargetID: "e0", Kind: LoadAdapter, Adapter: "a"}, 0, false)).To(BeEmpty())
	g.Expect(events(Order{TargetID: "e0", Kind: ChangeRole, Role: "r"}, 0, false)).To(BeEmpty())
	g.Expect(events(version, 0, true)).To(Equal([]string{"start e0 m 2"}))
}
