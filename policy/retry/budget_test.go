package retry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against hosts that together retry more requests within a window than the ratio
// and the slack allow, however their requests and failures are distributed.
func TestHostsTogetherStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		limits := Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
		hosts := rapid.IntRange(1, 9).Draw(t, "hosts")
		budgets := make([]*Budget, hosts)
		for i := range budgets {
			budgets[i] = NewBudget(limits)
		}
		const step = 50 * time.Millisecond
		steps := int(3 * limits.Window / step)
		requests, retries := make([]int, steps), make([]int, steps)
		failing := rapid.IntRange(0, 10).Draw(t, "failing in 10")
		for i := range steps {
			now := start.Add(time.Duration(i) * step)
			for range rapid.IntRange(0, 10).Draw(t, "requests") {
				b := budgets[rapid.IntRange(0, hosts-1).Draw(t, "host")]
				b.RecordRequest(now)
				requests[i]++
				if i%10 < failing && b.Allow(now, hosts) {
					retries[i]++
				}
			}
		}
		window := int(limits.Window / step)
		for from := 0; from+window <= steps; from++ {
			windowRequests, windowRetries := 0, 0
			for i := from; i < from+window; i++ {
				windowRequests += requests[i]
				windowRetries += retries[i]
			}
			g.Expect(float64(windowRetries)).To(BeNumerically("<=", limits.Ratio*float64(windowRequests)+limits.Slack))
		}
	})
}

// Guards against a host without earlier requests that may not retry at all.
func TestSlackIsSharedByAllHosts(t *testing.T) {
	g := NewWithT(t)
	b := NewBudget(Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second})
	n := 0
	for b.Allow(start, 5) {
		n++
	}
	g.Expect(n).To(BeNumerically("~", 7, 1))
	g.Expect(b.Allow(start.Add(11*time.Second), 5)).To(BeTrue())
}
