package retry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against hosts that together repeat more requests within a window than the
// ratio and the slack allow, however their requests and failures are spread.
func TestHostsTogetherKeepTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		terms := Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
		hosts := rapid.IntRange(1, 9).Draw(t, "hosts")
		budgets := make([]*Budget, hosts)
		for i := range budgets {
			budgets[i] = NewBudget(terms)
		}
		const step = 50 * time.Millisecond
		steps := int(3 * terms.Window / step)
		requests, repeats := make([]int, steps), make([]int, steps)
		failing := rapid.IntRange(0, 10).Draw(t, "failing in 10")
		for n := range steps {
			now := start.Add(time.Duration(n) * step)
			for range rapid.IntRange(0, 10).Draw(t, "requests") {
				b := budgets[rapid.IntRange(0, hosts-1).Draw(t, "host")]
				b.RecordRequest(now)
				requests[n]++
				if n%10 < failing && b.Allow(now, hosts) {
					repeats[n]++
				}
			}
		}
		window := int(terms.Window / step)
		for from := 0; from+window <= steps; from++ {
			asked, again := 0, 0
			for n := from; n < from+window; n++ {
				asked += requests[n]
				again += repeats[n]
			}
			g.Expect(float64(again)).To(BeNumerically("<=", terms.Ratio*float64(asked)+terms.Slack))
		}
	})
}

// Guards against a host without requests that may repeat nothing at all.
func TestSlackIsShared(t *testing.T) {
	g := NewWithT(t)
	b := NewBudget(Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second})
	n := 0
	for b.Allow(start, 5) {
		n++
	}
	g.Expect(n).To(BeNumerically("~", 7, 1))
	g.Expect(b.Allow(start.Add(11*time.Second), 5)).To(BeTrue())
}
