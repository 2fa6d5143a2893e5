package load

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func testSchedule(t *testing.T, seed uint64, surge bool) *Schedule {
	d, err := FindDeployment("inkono")
	if err != nil {
		t.Fatal(err)
	}
	o := Options{Deployment: d, Seed: seed, Duration: 6 * time.Second, WarmUp: time.Second, RateFactor: 1}
	if surge {
		o.Scenario = ScenarioSurge
	}
	return newSchedule(o.scheduleOptions())
}

// Guards against a schedule that differs between runs of one seed: routing policies would
// be compared on different loads.
func TestScheduleIsDeterministicBySeed(t *testing.T) {
	g := NewWithT(t)
	first, same, other := testSchedule(t, 1, false), testSchedule(t, 1, false), testSchedule(t, 2, false)
	g.Expect(same).To(Equal(first))
	g.Expect(other.Requests).NotTo(Equal(first.Requests))
}

// Guards against a surge that changes the requests of the other accounts, whose latency
// is compared with and without the surge.
func TestSurgeOnlyAddsRequestsOfOneAccount(t *testing.T) {
	g := NewWithT(t)
	others := func(s *Schedule) (list []Request) {
		for _, q := range s.Requests {
			if q.Account != surgeAccountIndex {
				list = append(list, q)
			}
		}
		return list
	}
	steady, surge := testSchedule(t, 1, false), testSchedule(t, 1, true)
	g.Expect(others(surge)).To(Equal(others(steady)))
	g.Expect(len(surge.Requests)).To(BeNumerically(">", len(steady.Requests)+100))
}

// Guards against a run that loses requests, and against fields that are missing in the
// JSON results.
func TestShortRunCompletes(t *testing.T) {
	g := NewWithT(t)
	d, err := FindDeployment("inkono")
	g.Expect(err).NotTo(HaveOccurred())
	results, err := Run(t.Context(), Options{
		Deployment: d, Policies: Policies[:1], Seed: 1, Duration: 3 * time.Second, WarmUp: time.Second, RateFactor: 0.2,
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(results).To(HaveLen(1))
	r := results[0]
	g.Expect(r.Failed).To(BeZero(), "%v", r.Refusals)
	g.Expect(r.RefusedWithinRate).To(BeZero(), "%v", r.Refusals)
	g.Expect(r.Completed).To(Equal(r.Requests))
	g.Expect(r.Requests).To(BeNumerically(">", 40))
	g.Expect(r.PrefixHitRate).To(BeNumerically(">", 0))
	g.Expect(r.OracleHitRate).To(BeNumerically(">", 0))
	g.Expect(r.BookingRepeats).To(BeZero())

	text, err := json.Marshal(r)
	g.Expect(err).NotTo(HaveOccurred())
	var fields map[string]any
	g.Expect(json.Unmarshal(text, &fields)).To(Succeed())
	for _, name := range []string{
		"policy", "prefix_hit_rate", "oracle_hit_rate", "wasted_recompute_tokens", "ttft_p50_ms", "ttft_p99_ms",
		"worst_account", "worst_account_ttft_p99_ms", "refused_within_rate", "requests", "failed",
	} {
		g.Expect(fields).To(HaveKey(name))
	}
}
