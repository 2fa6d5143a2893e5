package site

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	standin "github.com/sequoiaroad/sequoiaroad/standin/site"
)

// waysToLeave are the ways in which the entry of the target "leaving" says that it leaves.
var waysToLeave = map[string]func(f *fixture, target *standin.Replica, address string){
	"draining": func(f *fixture, target *standin.Replica, address string) {
		f.g.Expect(target.Register(f.store, address, "draining")).To(Succeed())
	},
	"removed": func(f *fixture, _ *standin.Replica, _ string) { f.store.Delete("servers", "leaving") },
}

// allowLongRequests gives all routes and the returned request a timeout that is longer than
// the time in which a leaving target may still get requests.
func (f *fixture) allowLongRequests(q request) request {
	f.setRouteTimeouts(8 * time.Second)
	f.updateConfig(func(c object) {
		for _, s := range c["services"].([]any) {
			s.(object)["max_conns"] = 6
		}
	})
	header := map[string]string{"X-Deadline-Ms": "8000"}
	for name, value := range q.header {
		header[name] = value
	}
	q.header = header
	return q
}

// Guards against a request that waits for a connection to a target and is sent after the
// target's entry says that it leaves, or is gone; and against a request that goes on waiting
// there although another target can take it.
func TestWaitingRequestIsNotSentToLeavingTarget(t *testing.T) {
	t.Parallel()
	for name, leave := range waysToLeave {
		for kind, q := range map[string]request{"plain": orderRequest, "stream": promptRequest("/brief/1")} {
			t.Run(name+" "+kind, func(t *testing.T) {
				t.Parallel()
				f := newFixture(t)
				q := f.allowLongRequests(q)
				options := standin.ReplicaOptions{ID: "leaving", Service: deskService}
				start := f.startDesk
				if kind == "stream" {
					options = standin.ReplicaOptions{ID: "leaving", Service: engineService, Model: model, StreamEvents: 2}
					start = func(id string) *standin.Replica { return f.startEngine(id, 2) }
				}
				leaving, address := f.startReplica(options)
				h := f.startHost("host-1")
				leaving.SetFaults(standin.ReplicaFaults{Hold: true})
				statuses := make(chan int, 20)
				var sending sync.WaitGroup
				for range cap(statuses) {
					sending.Go(func() { statuses <- f.send(h, q).status })
				}
				f.g.Eventually(leaving.Arrivals, "2s", "10ms").Should(HaveLen(6))
				other := start("other")
				f.g.Eventually(func() string { return h.log.String() }, "2s", "10ms").Should(ContainSubstring(`"target":"other"`))
				leave(f, leaving, address)
				leftAt := time.Now()
				time.Sleep(reactionTime)
				moved := len(other.Executions())
				time.Sleep(time.Until(leftAt.Add(standin.DrainBound)))
				leaving.SetFaults(standin.ReplicaFaults{})
				sending.Wait()
				f.g.Expect(arrivalsBetween(leaving, leftAt.Add(standin.DrainBound), time.Now())).To(BeZero())
				f.g.Expect(moved).To(Equal(cap(statuses) - 6))
				for range cap(statuses) {
					f.g.Expect(<-statuses).To(Equal(http.StatusOK))
				}
			})
		}
	}
}

// Guards against a target that has said in a response that it leaves and gets requests again
// because its entry lapses and comes back, while the same incarnation still runs.
func TestLeavingOutlivesLapsedEntry(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	leaving, address := f.startReplica(standin.ReplicaOptions{ID: "leaving", Service: deskService, ProcessingTime: 50 * time.Millisecond})
	f.startSlowDesk("other")
	h := f.startHost("host-1")
	leaving.SetFaults(standin.ReplicaFaults{Leaving: true})
	f.sendSteadily([]*host{h}, orderRequest, 20*time.Millisecond, time.Second)
	f.g.Expect(leaving.Arrivals()).NotTo(BeEmpty())
	f.store.Delete("servers", "leaving")
	f.sendSteadily([]*host{h}, orderRequest, 20*time.Millisecond, standin.DrainBound)
	f.g.Expect(leaving.Register(f.store, address, "ready")).To(Succeed())
	returnedAt := time.Now()
	statuses := f.sendSteadily([]*host{h}, orderRequest, 20*time.Millisecond, time.Second)
	f.g.Expect(statuses).To(HaveLen(1))
	f.g.Expect(statuses).To(HaveKey(http.StatusOK))
	f.g.Expect(arrivalsBetween(leaving, returnedAt, time.Now())).To(BeZero())
	f.expectRestartedTargetIsUsed(h, leaving, address)
}

// expectRestartedTargetIsUsed expects that the next incarnation of a target that has left
// gets requests.
func (f *fixture) expectRestartedTargetIsUsed(h *host, r *standin.Replica, address string) {
	f.g.Expect(r.Restart(f.store, address)).To(Succeed())
	restartedAt := time.Now()
	f.sendSteadily([]*host{h}, orderRequest, 20*time.Millisecond, time.Second)
	f.g.Expect(arrivalsBetween(r, restartedAt, time.Now())).To(BeNumerically(">", 2))
}

// Guards against a target whose entry says that it leaves and that gets requests again
// because an earlier write of its entry is carried out late, with or without a removal of
// the entry in between.
func TestLeavingOutlivesLateWriteOfEntry(t *testing.T) {
	t.Parallel()
	for _, removed := range []bool{false, true} {
		name := map[bool]string{false: "replaced", true: "removed and written again"}[removed]
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			leaving, address := f.startReplica(standin.ReplicaOptions{ID: "leaving", Service: deskService, ProcessingTime: 50 * time.Millisecond})
			f.startSlowDesk("other")
			hosts := []*host{f.startHost("host-1"), f.startHost("host-2")}
			f.g.Expect(leaving.Register(f.store, address, "draining")).To(Succeed())
			leftAt := time.Now()
			f.sendSteadily(hosts, orderRequest, 20*time.Millisecond, time.Second)
			if removed {
				f.store.Delete("servers", "leaving")
				time.Sleep(reactionTime)
			}
			f.g.Expect(leaving.Register(f.store, address, "ready")).To(Succeed())
			statuses := f.sendSteadily(hosts, orderRequest, 20*time.Millisecond, standin.DrainBound)
			f.g.Expect(statuses).To(HaveLen(1))
			f.g.Expect(statuses).To(HaveKey(http.StatusOK))
			late := slices.DeleteFunc(leaving.Arrivals(), func(a standin.Arrival) bool { return a.At.Sub(leftAt) < reactionTime })
			f.g.Expect(late).To(BeEmpty())
			f.expectRestartedTargetIsUsed(hosts[0], leaving, address)
		})
	}
}
