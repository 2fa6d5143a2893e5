package site

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	standin "github.com/sequoiaroad/sequoiaroad/standin/site"
)

const (
	// limitWindow is the time over which the requests of a target that has named a limit
	// are counted.
	limitWindow = 4 * time.Second
	// reactionTime is how long a host may take to act on what a target asked for.
	reactionTime = 500 * time.Millisecond
)

// allowedInWindow returns how many requests a target that has named a limit may get in
// limitWindow from all hosts together.
func allowedInWindow(rateLimit float64) int { return int(1.5*rateLimit*limitWindow.Seconds()) + 5 }

// maxInWindow returns the highest number of arrivals in any limitWindow from a time on.
func maxInWindow(arrivals []standin.Arrival, from time.Time) int {
	most := 0
	for i, first := range arrivals {
		if first.At.Before(from) {
			continue
		}
		n := 0
		for _, a := range arrivals[i:] {
			if a.At.Sub(first.At) <= limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// arrivalsBetween returns how many requests arrived in a period.
func arrivalsBetween(r *standin.Replica, from, to time.Time) int {
	return len(slices.DeleteFunc(r.Arrivals(), func(a standin.Arrival) bool { return a.At.Before(from) || a.At.After(to) }))
}

// sendSteadily sends requests to each host at an interval for a period and returns the
// number of responses by status.
func (f *fixture) sendSteadily(hosts []*host, q request, interval, period time.Duration) map[int]int {
	return f.sendEachSteadily(hosts, func() request { return q }, interval, period)
}

// sendEachSteadily is sendSteadily with another request each time.
func (f *fixture) sendEachSteadily(hosts []*host, next func() request, interval, period time.Duration) map[int]int {
	statuses := map[int]int{}
	var mu sync.Mutex
	var sending sync.WaitGroup
	for start := time.Now(); time.Since(start) < period; time.Sleep(interval) {
		for _, h := range hosts {
			q := next()
			sending.Go(func() {
				r := f.send(h, q)
				mu.Lock()
				defer mu.Unlock()
				statuses[r.status]++
			})
		}
	}
	sending.Wait()
	return statuses
}

// startSlowDesk starts a target of the plain service that takes so long that requests go to
// other targets, too.
func (f *fixture) startSlowDesk(id string) *standin.Replica {
	r, _ := f.startReplica(standin.ReplicaOptions{ID: id, Service: deskService, ProcessingTime: 50 * time.Millisecond})
	return r
}

// nextManual returns a function that returns prompts for eight manuals in turn, so that each
// engine is the preferred one for some of them.
func nextManual(uri string) func() request {
	const manuals = 8
	n := 0
	return func() request {
		n++
		q := promptRequest(uri)
		q.header["X-Prefix-Hash"] = fmt.Sprintf("5c1e%04x:1000,91bd3f06:500", n%manuals)
		return q
	}
}

var orderRequest = request{method: "POST", uri: "/order/1", body: "order", key: clubKey}

// Guards against a target that gets more requests than the limit that it named, because
// hosts ignore the limit, keep to it each by itself, or send again without a permit; and
// against a limit that starves the target or fails requests that others can take.
func TestRateLimitOfTargetHoldsOverAllHosts(t *testing.T) {
	t.Parallel()
	for name, next := range map[string]func() request{
		"plain": func() request { return orderRequest }, "engines": nextManual("/query/1"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			start := f.startDesk
			if name == "engines" {
				start = func(id string) *standin.Replica { return f.startEngine(id, 2) }
			}
			limited := start("limited")
			start("other")
			limited.SetFaults(standin.ReplicaFaults{RateLimit: "2"})
			hosts := []*host{f.startHost("host-1"), f.startHost("host-2"), f.startHost("host-3")}
			begin := time.Now()
			statuses := f.sendEachSteadily(hosts, next, 40*time.Millisecond, 8*time.Second)
			f.g.Expect(statuses).To(HaveLen(1))
			f.g.Expect(statuses).To(HaveKey(http.StatusOK))
			f.g.Expect(maxInWindow(limited.Arrivals(), begin.Add(standin.ContactTime))).To(BeNumerically("<=", allowedInWindow(2)))
			f.g.Expect(arrivalsBetween(limited, begin.Add(standin.ContactTime), time.Now())).To(BeNumerically(">=", 2))
		})
	}
}

// Guards against a host that forgets in a restart which targets have named a limit, and
// exceeds it until it is told again.
func TestRateLimitOfTargetHoldsAfterRestartOfHost(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	limited := f.startDesk("limited")
	f.startDesk("other")
	limited.SetFaults(standin.ReplicaFaults{RateLimit: "2"})
	hosts := []*host{f.startHost("host-1"), f.startHost("host-2")}
	f.sendSteadily(hosts, orderRequest, 40*time.Millisecond, standin.ContactTime)
	begin := time.Now()
	for _, id := range []string{"host-3", "host-4", "host-5"} {
		h := f.startHost(id)
		f.sendSteadily([]*host{h, hosts[0]}, orderRequest, 10*time.Millisecond, time.Second)
	}
	f.g.Expect(maxInWindow(limited.Arrivals(), begin)).To(BeNumerically("<=", allowedInWindow(2)))
}

// Guards against a limit that outlives the target's need, at the host that is told and at
// one that learned it from another.
func TestRateLimitOfTargetEndsWhenNoLongerNamed(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	limited := f.startDesk("limited")
	limited.SetFaults(standin.ReplicaFaults{RateLimit: "1"})
	hosts := []*host{f.startHost("host-1"), f.startHost("host-2"), f.startHost("host-3")}
	f.sendSteadily(hosts, orderRequest, 40*time.Millisecond, 2*time.Second)
	limited.SetFaults(standin.ReplicaFaults{})
	f.sendSteadily(hosts, orderRequest, 40*time.Millisecond, 4*time.Second)
	statuses := f.sendSteadily(hosts, orderRequest, 40*time.Millisecond, time.Second)
	f.g.Expect(statuses).To(HaveLen(1))
	f.g.Expect(statuses).To(HaveKey(http.StatusOK))
}

// Guards against requests that are sent to a target within the pause that it asked for,
// also those that waited for a connection, and against a pause that does not end.
func TestRetryAfterOfTargetIsObserved(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	paused := f.startSlowDesk("paused")
	f.startSlowDesk("other")
	h := f.startHost("host-1")
	const pause = 2 * time.Second
	paused.SetFaults(standin.ReplicaFaults{RetryAfter: pause})
	begin := time.Now()
	f.sendSteadily([]*host{h}, orderRequest, 10*time.Millisecond, pause-200*time.Millisecond)
	arrivals := paused.Arrivals()
	f.g.Expect(arrivals).NotTo(BeEmpty())
	f.g.Expect(arrivalsBetween(paused, arrivals[0].At.Add(reactionTime), arrivals[0].At.Add(pause))).To(BeNumerically("<=", 2))
	paused.SetFaults(standin.ReplicaFaults{})
	f.sendSteadily([]*host{h}, orderRequest, 10*time.Millisecond, pause)
	f.g.Expect(arrivalsBetween(paused, begin.Add(pause), time.Now())).To(BeNumerically(">", 10))
}

// Guards against new requests to a target that has said in a response that it leaves, from
// the host that was told and from others, while its entry still says that it is ready.
func TestTargetThatSaysItLeavesGetsNoRequests(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	leaving := f.startSlowDesk("leaving")
	f.startSlowDesk("other")
	hosts := []*host{f.startHost("host-1"), f.startHost("host-2")}
	leaving.SetFaults(standin.ReplicaFaults{Leaving: true})
	begin := time.Now()
	statuses := f.sendSteadily(hosts, orderRequest, 20*time.Millisecond, 2*time.Second)
	f.g.Expect(statuses).To(HaveLen(1))
	f.g.Expect(statuses).To(HaveKey(http.StatusOK))
	f.g.Expect(leaving.Arrivals()).NotTo(BeEmpty())
	f.g.Expect(arrivalsBetween(leaving, begin.Add(reactionTime), time.Now())).To(BeZero())
}

// Guards against requests that waited for a connection to a target and are sent after it
// has asked for none or fewer.
func TestWaitingRequestsObserveBackpressure(t *testing.T) {
	t.Parallel()
	for name, faults := range map[string]standin.ReplicaFaults{
		"leaving": {Leaving: true}, "limited": {RateLimit: "1"}, "paused": {RetryAfter: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			f.updateConfig(func(c object) { c["services"].([]any)[1].(object)["max_conns"] = 6 })
			desk, _ := f.startReplica(standin.ReplicaOptions{ID: "desk-1", Service: deskService, ProcessingTime: 300 * time.Millisecond})
			h := f.startHost("host-1")
			desk.SetFaults(standin.ReplicaFaults{Hold: true})
			var sending sync.WaitGroup
			for range 30 {
				sending.Go(func() { f.send(h, orderRequest) })
			}
			f.g.Eventually(func() int { return len(desk.Arrivals()) }, "2s", "10ms").Should(BeNumerically(">=", 6))
			desk.SetFaults(faults)
			told := time.Now().Add(300 * time.Millisecond)
			sending.Wait()
			f.g.Expect(arrivalsBetween(desk, told.Add(reactionTime), told.Add(limitWindow))).To(BeNumerically("<=", 2))
		})
	}
}

// Guards against a pause or a limit that is forgotten because the target's entry lapses and comes
// back while the target goes on.
func TestBackpressureOutlivesTheEntry(t *testing.T) {
	t.Parallel()
	const pause = 5 * time.Second
	// The target takes so long that many requests are on their way before its next answer.
	const delay = 200 * time.Millisecond
	for name, faults := range map[string]standin.ReplicaFaults{"pause": {RetryAfter: pause, RejectDelay: delay}, "limit": {RateLimit: "2"}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			needy, address := f.startReplica(standin.ReplicaOptions{ID: "needy", Service: deskService, ProcessingTime: delay})
			f.startSlowDesk("other")
			needy.SetFaults(faults)
			hosts := []*host{f.startHost("host-1")}
			begin := time.Now()
			time.AfterFunc(time.Second, func() { f.store.Delete("servers", "needy") })
			time.AfterFunc(2*time.Second, func() { _ = needy.Register(f.store, address, "ready") })
			statuses := f.sendSteadily(hosts, orderRequest, 10*time.Millisecond, pause)
			f.g.Expect(statuses[http.StatusOK]).To(BeNumerically(">", 0))
			arrivals := needy.Arrivals()
			f.g.Expect(arrivals).NotTo(BeEmpty())
			if name == "limit" {
				f.g.Expect(maxInWindow(arrivals, begin.Add(reactionTime))).To(BeNumerically("<=", allowedInWindow(2)))
				return
			}
			asked := arrivals[0].At
			f.g.Expect(arrivalsBetween(needy, asked.Add(reactionTime), asked.Add(pause))).To(BeNumerically("<=", 2))
		})
	}
}

// Guards against a target that restarts during its pause and gets no request until the pause of
// its earlier incarnation ends.
func TestRestartedTargetOwesNoPause(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	desk, address := f.startReplica(standin.ReplicaOptions{ID: "desk-1", Service: deskService})
	desk.SetFaults(standin.ReplicaFaults{RetryAfter: time.Minute})
	h := f.startHost("host-1")
	f.g.Eventually(func() int { return f.send(h, orderRequest).status }, "3s", "20ms").Should(Equal(http.StatusServiceUnavailable))
	desk.SetFaults(standin.ReplicaFaults{})
	f.g.Expect(desk.Restart(f.store, address)).To(Succeed())
	f.g.Eventually(func() int { return f.send(h, orderRequest).status }, "2s", "20ms").Should(Equal(http.StatusOK))
}
