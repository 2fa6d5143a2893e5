package site

import (
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	standin "github.com/sequoiaroad/sequoiaroad/standin/site"
)

// allowLongRequests gives all routes and the returned request a timeout that is longer than
// the time in which a leaving target may still get requests.
func (f *fixture) allowLongRequests(q request) request {
	f.updateConfig(func(c object) {
		for _, r := range c["routes"].([]any) {
			r.(object)["timeout_ms"] = 8000
		}
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
	for name, leave := range map[string]func(f *fixture, desk *standin.Replica, address string){
		"draining": func(f *fixture, desk *standin.Replica, address string) {
			f.g.Expect(desk.Register(f.store, address, "draining")).To(Succeed())
		},
		"removed": func(f *fixture, _ *standin.Replica, _ string) { f.store.Delete("servers", "leaving") },
	} {
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
