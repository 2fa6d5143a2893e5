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

// engines answers orders and measures how many are carried out at once.
type engines struct {
	mu      sync.Mutex
	running int
	most    int
	numbers []uint64
	// hang leaves orders unanswered; status is answered if set.
	hang     bool
	status   int
	loadTime time.Duration
	arrivals []time.Time
}

func (e *engines) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var order orderJSON
	_ = json.NewDecoder(r.Body).Decode(&order)
	e.mu.Lock()
	e.running++
	e.most = max(e.most, e.running)
	e.numbers = append(e.numbers, order.FencingNumber)
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

type bench struct {
	server  *standin.Server
	engines *engines
	hosts   []*Service
	targets map[string]*config.Target
}

const testOrderTimeout = 100 * time.Millisecond

func newBench(t *testing.T, hosts int) *bench {
	t.Helper()
	b := &bench{server: standin.New(standin.Options{}), engines: &engines{}, targets: map[string]*config.Target{}}
	store, engine := httptest.NewServer(b.server), httptest.NewServer(b.engines)
	t.Cleanup(store.Close)
	t.Cleanup(engine.Close)
	for i := range 6 {
		id := fmt.Sprint("e", i)
		b.targets[id] = &config.Target{ID: id, Kind: config.TargetEngine, URL: engine.URL, ChecksFencing: i%2 == 0}
	}
	client, err := platform.NewClient(platform.Options{BaseURL: store.URL, ReadsPerSecond: 1e6, WritesPerSecond: 1e6, BreakerFailures: 1 << 30})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	for i := range hosts {
		s, err := New(Options{
			Store: client, HostID: fmt.Sprint("h", i), Incarnation: "1",
			Target:       func(id string) *config.Target { return b.targets[id] },
			OrderTimeout: testOrderTimeout, LoadTime: 50 * time.Millisecond,
			LeaseDuration: 300 * time.Millisecond, DriftMargin: 20 * time.Millisecond, PollInterval: 5 * time.Millisecond,
		})
		if err != nil {
			t.Fatal(err)
		}
		b.hosts = append(b.hosts, s)
	}
	return b
}

func (b *bench) execute(host int, o Order) (Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return b.hosts[host].Execute(ctx, o)
}

// Guards against more than two weight loads at once in the fleet, also when
// answers of the store are lost.
func TestAtMostTwoLoadsAtOnce(t *testing.T) {
	g := NewWithT(t)
	b := newBench(t, 3)
	b.engines.loadTime = 20 * time.Millisecond
	b.server.SetFaults(standin.Faults{LoseAnswers: 5})
	var group sync.WaitGroup
	failures := make(chan error, 18)
	for i := range 18 {
		group.Go(func() {
			if _, err := b.execute(i%3, Order{TargetID: fmt.Sprint("e", i%6), Kind: LoadModel, Model: "m"}); err != nil {
				failures <- err
			}
		})
	}
	group.Wait()
	close(failures)
	for err := range failures {
		g.Expect(err).To(MatchError(ErrNotHeld))
	}
	g.Expect(b.engines.most).To(Equal(LoadSlots))
	g.Expect(len(b.engines.numbers)).To(BeNumerically(">", 9))
}

// Guards against an order that may overtake an unanswered one: the next has a
// higher number, and at a target that does not check numbers it waits.
func TestOrderAfterAnUnansweredOne(t *testing.T) {
	for id, wait := range map[string]time.Duration{"e0": 0, "e1": testOrderTimeout} {
		g := NewWithT(t)
		b := newBench(t, 1)
		b.engines.hang = true
		_, err := b.execute(0, Order{TargetID: id, Kind: ChangeRole, Role: "prefill"})
		g.Expect(err).To(MatchError(ErrUnanswered))
		answered := time.Now()
		b.engines.mu.Lock()
		b.engines.hang = false
		b.engines.mu.Unlock()
		result, err := b.execute(0, Order{TargetID: id, Kind: ChangeRole, Role: "decode"})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.FencingToken).To(Equal(uint64(2)))
		g.Expect(b.engines.arrivals[1].Sub(answered)).To(BeNumerically(">=", wait))
	}
}

// Guards against a second host that sends before the lease of the first expired.
func TestOtherHostWaitsForTheLease(t *testing.T) {
	g := NewWithT(t)
	b := newBench(t, 2)
	b.engines.hang = true
	_, err := b.execute(0, Order{TargetID: "e0", Kind: ChangeRole})
	g.Expect(err).To(MatchError(ErrUnanswered))
	b.engines.mu.Lock()
	b.engines.hang = false
	b.engines.mu.Unlock()
	_, err = b.execute(1, Order{TargetID: "e0", Kind: ChangeRole})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.engines.arrivals[1].Sub(b.engines.arrivals[0])).To(BeNumerically(">=", 300*time.Millisecond))
}

// Guards against orders whose refusal is not told apart, and against orders to
// targets that are no engines.
func TestOutcomesOfOrders(t *testing.T) {
	g := NewWithT(t)
	b := newBench(t, 1)
	for status, kind := range map[int]error{409: ErrStale, 412: ErrStale, 400: ErrRejected} {
		b.engines.status = status
		_, err := b.execute(0, Order{TargetID: "e0", Kind: ChangeRole})
		g.Expect(err).To(MatchError(kind))
	}
	_, err := b.execute(0, Order{TargetID: "none", Kind: ChangeRole})
	g.Expect(err).To(MatchError(ErrUnknownTarget))
	b.targets["e0"].URL = "http://127.0.0.1:1"
	_, err = b.execute(0, Order{TargetID: "e0", Kind: ChangeRole})
	g.Expect(err).To(MatchError(ErrUnreachable))
}

// loads notes what the service reports.
type loads struct{ events []string }

func (l *loads) ObserveWeightsLoadStart(targetID, model, version string, _ time.Duration) {
	l.events = append(l.events, "start "+targetID+" "+model+" "+version)
}
func (l *loads) ObserveWeightsLoadEnd(targetID string) { l.events = append(l.events, "end "+targetID) }

// Guards against a target that gets requests while it loads, or that stays out of
// routing although it refused the order.
func TestLoadsAreReported(t *testing.T) {
	g := NewWithT(t)
	b := newBench(t, 1)
	observed := &loads{}
	b.hosts[0].options.Loads = observed
	events := func(o Order, status int, hang bool) []string {
		observed.events = nil
		b.engines.mu.Lock()
		b.engines.status, b.engines.hang = status, hang
		b.engines.mu.Unlock()
		_, _ = b.execute(0, o)
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
