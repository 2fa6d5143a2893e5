package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/sequoiaroad/sequoiaroad/policy/balance"
	"github.com/sequoiaroad/sequoiaroad/policy/retry"
	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

// singleHost is a fleet of one host.
type singleHost struct{}

func (singleHost) CountHosts() (int, float64)           { return 1, 0 }
func (singleHost) HostIDs() []string                    { return nil }
func (singleHost) QueueCacheNotice(balance.CacheNotice) {}

// Guards against a timeout that replaces the failure of a withdrawn attempt and charges a
// retry for it.
func TestTimeoutKeepsTheFailureOfAWithdrawal(t *testing.T) {
	g := NewWithT(t)
	oneRetry := retry.Limits{Slack: 2, Window: time.Minute}
	r := &Router{
		Options:  Options{Fleet: singleHost{}, RetryLimits: oneRetry},
		balancer: balance.New("zone-a", nil), budgets: map[string]*retry.Budget{},
	}
	c := &call{
		route:   &topology.Route{LatencyObjective: time.Millisecond},
		service: &topology.Service{Name: "engines"}, log: hclog.NewNullLogger(),
	}
	p := &plan{target: &topology.Target{ID: "engine-1"}, sentAt: time.Now().Add(-time.Second)}
	r.balancer.RecordActivity(p.target, time.Now())
	cancelled := 0
	cancel := func() { cancelled++ }
	w := &watchdog{retryable: true}
	withdrawal := &failure{status: http.StatusBadGateway, reason: "withdrawn"}
	w.abort(withdrawal, cancel)
	r.handleTimeout(c, p, w, cancel)
	g.Expect(w.aborted.Load()).To(BeIdenticalTo(withdrawal))
	g.Expect(cancelled).To(Equal(1))
	g.Expect(r.takeRetry(c, "test")).To(BeTrue(), "the timeout charged a retry")
	g.Expect(r.takeRetry(c, "test")).To(BeFalse(), "the budget allows one retry")
}
