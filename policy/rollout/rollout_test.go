package rollout

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var now = time.Unix(1_700_000_000, 0)

// Guards against engines with the oldest weights that wait while nearly current ones
// load, and against more concurrent loads than the limits allow.
func TestOldestWeightsLoadFirst(t *testing.T) {
	g := NewWithT(t)
	engines := []Engine{
		{ID: "a", Version: 2}, {ID: "b", Version: 1, InFlight: 4}, {ID: "c", Version: 1, InFlight: 1},
		{ID: "d", Version: 3}, {ID: "e", Version: 2, Busy: true}, {ID: "f", Version: 2},
	}
	g.Expect(Next(engines, 3, Limits{MaxConcurrent: 3}, now)).To(Equal([]string{"c", "b"}))
	g.Expect(AnyOutdated(engines, 3)).To(BeTrue())
	g.Expect(AnyOutdated(engines[3:4], 3)).To(BeFalse())
}

// Guards against a rollout that takes all engines out of service at the same time.
func TestHalfOfTheEnginesKeepServing(t *testing.T) {
	g := NewWithT(t)
	engines := []Engine{{ID: "a", Version: 1}, {ID: "b", Version: 1}, {ID: "c", Version: 1}, {ID: "d", Version: 1}}
	g.Expect(Next(engines, 2, Limits{MaxConcurrent: 4}, now)).To(HaveLen(2))
	g.Expect(Next(engines[:1], 2, Limits{MaxConcurrent: 4}, now)).To(HaveLen(1))
	g.Expect(Next(append(engines, engines...), 2, Limits{ConcurrentShare: 0.25}, now)).To(HaveLen(2))
	g.Expect(Next(make([]Engine, 20), 2, Limits{ConcurrentShare: 0.25}, now)).To(HaveLen(5))
}

// Guards against unresponsive engines that occupy load slots, so that responsive
// engines wait for new weights.
func TestEjectedEnginesTakeNoLoadSlot(t *testing.T) {
	g := NewWithT(t)
	engines := []Engine{
		{ID: "a", Version: 1, Ejected: true, Busy: true}, {ID: "b", Version: 1, Ejected: true},
		{ID: "c", Version: 1}, {ID: "d", Version: 1}, {ID: "e", Version: 1, NotBefore: now.Add(time.Second)},
	}
	g.Expect(Next(engines, 2, Limits{MaxConcurrent: 2}, now)).To(Equal([]string{"c", "d"}))
}

// Guards against a rollout that continues at its usual pace after lost orders and
// exceeds the maximum staleness.
func TestLateRolloutLoadsMoreEngines(t *testing.T) {
	g := NewWithT(t)
	engines := make([]Engine, 12)
	limits := Limits{ConcurrentShare: 0.25, MaxStaleness: 8 * time.Second}
	g.Expect(Next(engines, 2, limits, now)).To(HaveLen(3))
	engines[5].OutdatedFor = 4 * time.Second
	g.Expect(Next(engines, 2, limits, now)).To(HaveLen(6))
}
