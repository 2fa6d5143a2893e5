package usage

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against a restarted host that takes the totals which other hosts admitted
// before its start from its own full bucket, and refuses requests within the limit.
func TestFirstReportOfRunningHostIsNotCharged(t *testing.T) {
	g := NewWithT(t)
	b := NewBucket(Limits{Rate: 100, Burst: 1000}, start)
	b.ApplyReport("host-2/a", 50_000, start.Add(100*time.Millisecond), 0)
	_, ok := b.Take(start.Add(200*time.Millisecond), 500, 0)
	g.Expect(ok).To(BeTrue())
	// Later reports are charged in full.
	b.ApplyReport("host-2/a", 50_900, start.Add(300*time.Millisecond), 0)
	wait, ok := b.Take(start.Add(300*time.Millisecond), 500, 0)
	g.Expect(ok).To(BeFalse())
	g.Expect(wait).To(BeNumerically(">", 0))
}

// Guards against an account that exceeds its rate and burst over all hosts when reports
// are exchanged at the pace of heartbeats.
func TestHostsTogetherKeepTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		terms := Limits{Rate: rapid.Float64Range(50, 500).Draw(t, "rate"), Burst: rapid.Float64Range(100, 2000).Draw(t, "burst")}
		hosts := rapid.IntRange(1, 9).Draw(t, "hosts")
		cost := rapid.Float64Range(1, 50).Draw(t, "cost")
		demand := rapid.Float64Range(0.2, 5).Draw(t, "demand")
		const step, beat = 10 * time.Millisecond, 25
		buckets := make([]*Bucket, hosts)
		for i := range buckets {
			buckets[i] = NewBucket(terms, start)
		}
		admitted, owed := 0.0, 0.0
		overshoot := demand * terms.Rate * (beat + 1) * step.Seconds()
		for n := 1; n <= 800; n++ {
			now := start.Add(time.Duration(n) * step)
			for owed += demand * terms.Rate * step.Seconds(); owed >= cost; owed -= cost {
				b := buckets[rapid.IntRange(0, hosts-1).Draw(t, "host")]
				if _, ok := b.Take(now, cost, 0); ok {
					admitted += cost
				}
			}
			if n%beat == 0 {
				for i, from := range buckets {
					for j, to := range buckets {
						if i != j {
							to.ApplyReport(string(rune('a'+i)), from.Admitted(), now, 0)
						}
					}
				}
			}
			allowed := terms.Burst + terms.Rate*now.Sub(start).Seconds()
			g.Expect(admitted).To(BeNumerically("<=", allowed+overshoot+cost*float64(hosts)))
		}
	})
}

// Guards against a partition in which each host grants the whole rate.
func TestSilentHostsShareTheRate(t *testing.T) {
	g := NewWithT(t)
	b := NewBucket(Limits{Rate: 1000, Burst: 100}, start)
	_, ok := b.Take(start, 100, 0.75)
	g.Expect(ok).To(BeTrue())
	wait, ok := b.Take(start, 100, 0.75)
	g.Expect(ok).To(BeFalse())
	g.Expect(wait).To(BeNumerically("~", 400*time.Millisecond, time.Millisecond))
}

// Guards against requests that did not run but count towards the limit.
func TestRefundOfRequestThatDidNotRun(t *testing.T) {
	g := NewWithT(t)
	b := NewBucket(Limits{Rate: 1, Burst: 100}, start)
	_, ok := b.Take(start, 100, 0)
	g.Expect(ok).To(BeTrue())
	b.Refund(100)
	_, ok = b.Take(start, 100, 0)
	g.Expect(ok).To(BeTrue())
}
