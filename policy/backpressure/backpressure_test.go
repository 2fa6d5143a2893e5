package backpressure

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

var (
	start  = time.Unix(1_700_000_000, 0)
	target = topology.Incarnation{ID: "target-1", Started: 7}
)

// fleet is a fleet of hosts in which reports reach the other hosts with a delay.
type fleet struct {
	tables []*Table
	names  []string
}

func newFleet(size int) *fleet {
	f := &fleet{}
	for i := range size {
		f.names = append(f.names, fmt.Sprintf("host-%d", i))
	}
	for _, name := range f.names {
		table := New(name)
		table.SetHosts(f.names)
		f.tables = append(f.tables, table)
	}
	return f
}

// exchangeReports delivers the reports of all hosts to each other.
func (f *fleet) exchangeReports(now time.Time) {
	var reports []Report
	for _, table := range f.tables {
		reports = append(reports, table.Reports(now)...)
	}
	for _, table := range f.tables {
		for _, r := range reports {
			table.Apply(r, now)
		}
	}
}

// Guards against a target that gets more than one and a half times the limit that it named,
// and 5 requests, in 4 s from all hosts together, in small and large fleets; and against
// limits of which the hosts use little.
func TestHostsTogetherStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		limit := rapid.Float64Range(0, 60).Draw(t, "limit")
		f := newFleet(rapid.SampledFrom([]int{1, 2, 7, 9, 40, 120}).Draw(t, "hosts"))
		const step, ticksPerReport, ticks = 20 * time.Millisecond, 13, 750
		window := int(4 * time.Second / step)
		stated := Statement{RateLimit: limit, Limited: true}
		f.tables[0].Record(target, stated, start)
		sent := make([]int, ticks)
		for tick := range ticks {
			now := start.Add(time.Duration(tick) * step)
			if tick%ticksPerReport == 0 {
				f.exchangeReports(now)
			}
			for _, table := range f.tables {
				if table.Take(target, now) {
					sent[tick]++
					table.Record(target, stated, now)
				}
			}
		}
		total := 0
		for first := ticksPerReport; first+window < ticks; first++ {
			sum := 0
			for _, n := range sent[first : first+window] {
				sum += n
			}
			total = max(total, sum)
		}
		g.Expect(float64(total)).To(BeNumerically("<=", 1.5*limit*4+5))
		g.Expect(float64(total)).To(BeNumerically(">=", 0.8*limit*4))
	})
}

// Guards against hosts that keep to a limit which the target no longer names, and against a
// report of the limit that arrives after the report of its end.
func TestEndOfLimitReachesAllHosts(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(3)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	f.tables[0].Record(target, Statement{RateLimit: 1, Limited: true}, at(0))
	f.exchangeReports(at(100))
	late := f.tables[0].Reports(at(200))
	_, ok := f.tables[2].MaySend(target, at(200))
	g.Expect(ok).To(BeFalse())
	f.tables[1].Record(target, Statement{}, at(300))
	f.exchangeReports(at(400))
	for _, table := range f.tables {
		table.Apply(late[0], at(400))
		_, ok := table.MaySend(target, at(500))
		g.Expect(ok).To(BeTrue())
	}
}

// Guards against a limit that holds for the next incarnation of a target.
func TestLimitEndsWithTheIncarnation(t *testing.T) {
	g := NewWithT(t)
	table := New("host-1")
	g.Expect(table.Record(target, Statement{RateLimit: 0.5, Limited: true}, start)).To(BeTrue())
	g.Expect(table.Take(target, start)).To(BeFalse())
	next := topology.Incarnation{ID: target.ID, Started: target.Started + 1}
	g.Expect(table.Take(next, start)).To(BeTrue())
}

// Guards against a limit that never ends because the hosts with a share of it get no
// requests: another host must find out, and not all of them at the same time.
func TestHostsWithoutShareProbeInTurn(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(40)
	f.tables[0].Record(target, Statement{RateLimit: 1, Limited: true}, start)
	f.exchangeReports(start)
	probes := 0
	for tick := range 400 {
		now := start.Add(time.Duration(tick) * 50 * time.Millisecond)
		for _, table := range f.tables {
			if s := table.get(target); s.share.rate == 0 && table.Take(target, now) {
				probes++
			}
		}
	}
	g.Expect(probes).To(BeNumerically("~", 15, 2)) // one a second after maxStatementAge
}

// Guards against a permit that is given after the limit was named because it was computed
// for the hosts before.
func TestShareFollowsTheHosts(t *testing.T) {
	g := NewWithT(t)
	table := New("host-1")
	table.Record(target, Statement{RateLimit: 2, Limited: true}, start)
	wait, ok := table.MaySend(target, start)
	g.Expect(ok).To(BeFalse())
	g.Expect(wait).To(Equal(500 * time.Millisecond))
	table.SetHosts([]string{"host-1", "host-2"})
	wait, _ = table.MaySend(target, start)
	g.Expect(wait).To(Equal(time.Second))
}

// Guards against a request within the pause that a target asked for, against a shorter
// pause that replaces a longer one, and against a pause that other hosts observe.
func TestPauseHoldsForTheHostThatWasTold(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(2)
	f.tables[0].Record(target, Statement{RetryAfter: 2 * time.Second}, start)
	f.tables[0].Record(target, Statement{RetryAfter: time.Second}, start)
	f.exchangeReports(start)
	wait, ok := f.tables[0].MaySend(target, start.Add(500*time.Millisecond))
	g.Expect(ok).To(BeFalse())
	g.Expect(wait).To(Equal(1500 * time.Millisecond))
	g.Expect(f.tables[0].Take(target, start.Add(2*time.Second))).To(BeTrue())
	g.Expect(f.tables[1].Take(target, start)).To(BeTrue())
}

// Guards against requests to a leaving target from hosts that it has not told, and against
// a report that ends its leaving.
func TestLeavingReachesAllHosts(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(2)
	f.tables[0].Record(target, Statement{Leaving: true}, start)
	f.exchangeReports(start.Add(time.Second))
	f.tables[0].Record(target, Statement{}, start.Add(2*time.Second))
	f.exchangeReports(start.Add(3 * time.Second))
	for _, table := range f.tables {
		g.Expect(table.Take(target, start.Add(4*time.Second))).To(BeFalse())
	}
}

// Guards against the state of a restarted target that is replaced by reports of hosts which
// still hold that of its earlier incarnation, or by a late response of it.
func TestEarlierIncarnationIsIgnored(t *testing.T) {
	g := NewWithT(t)
	table := New("host-1")
	next := topology.Incarnation{ID: target.ID, Started: target.Started + 1}
	table.Record(target, Statement{Leaving: true}, start)
	table.Record(next, Statement{RetryAfter: time.Second}, start)
	g.Expect(table.Apply(Report{Target: target, Leaving: true}, start)).To(BeFalse())
	g.Expect(table.Record(target, Statement{Leaving: true}, start)).To(BeFalse())
	g.Expect(table.Take(next, start)).To(BeFalse())
	g.Expect(table.Take(next, start.Add(time.Second))).To(BeTrue())
}

// Guards against the state of an earlier incarnation that is kept and reported to others.
func TestStateOfEarlierIncarnationIsDropped(t *testing.T) {
	g := NewWithT(t)
	table := New("host-1")
	table.Record(target, Statement{Leaving: true}, start)
	table.Retain(map[string]*topology.Target{target.ID: {ID: target.ID, Started: target.Started + 1}}, start)
	g.Expect(table.Reports(start)).To(BeEmpty())
	table.Record(target, Statement{Leaving: true}, start)
	table.Retain(map[string]*topology.Target{target.ID: {ID: target.ID, Started: target.Started - 1}}, start)
	g.Expect(table.Reports(start)).To(HaveLen(1)) // the entry in the store is not yet that new
}

// Guards against a target that said that it leaves and gets requests again because its entry
// lapsed and came back, against a new host that is not told, and against a statement that is
// kept or reported to others forever.
func TestLeavingOutlivesRemovalOfEntry(t *testing.T) {
	g := NewWithT(t)
	table := New("host-1")
	entries := map[string]*topology.Target{target.ID: {ID: target.ID, Started: target.Started}}
	table.Record(target, Statement{Leaving: true, Limited: true, RateLimit: 5}, start)
	table.Retain(nil, start)
	g.Expect(table.Reports(start)).To(BeEmpty())
	g.Expect(table.AllReports(start)).To(HaveLen(1))
	g.Expect(table.IsLimited()).To(BeFalse())
	table.Retain(entries, start.Add(time.Minute))
	g.Expect(table.Take(target, start.Add(time.Minute))).To(BeFalse())
	g.Expect(table.Reports(start.Add(time.Minute))).To(HaveLen(1))
	table.Retain(nil, start.Add(2*time.Minute))
	table.Retain(nil, start.Add(2*time.Minute+5*time.Minute))
	g.Expect(table.AllReports(start)).To(BeEmpty())
}

// Guards against a pause or a limit that is forgotten because the target's entry lapsed and came
// back, against one that a host reports meanwhile, and against a next incarnation that keeps it.
func TestPauseAndLimitOutliveRemovalOfEntry(t *testing.T) {
	g := NewWithT(t)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	entries := map[string]*topology.Target{target.ID: {ID: target.ID, Started: target.Started}}
	table := New("host-1")
	table.SetHosts([]string{"host-1"})
	table.Record(target, Statement{RetryAfter: 10 * time.Second, Limited: true, RateLimit: 0.5}, at(0))
	table.Retain(nil, at(3))
	g.Expect(table.Reports(at(3))).To(BeEmpty())
	table.Retain(entries, at(8))
	wait, ok := table.MaySend(target, at(8))
	g.Expect(ok).To(BeFalse())
	g.Expect(wait).To(Equal(2 * time.Second))
	g.Expect(table.Reports(at(8))).To(HaveLen(1))
	g.Expect(table.Take(target, at(10))).To(BeTrue())
	g.Expect(table.Take(target, at(10))).To(BeFalse(), "the limit holds")
	next := &topology.Target{ID: target.ID, Started: target.Started + 1}
	table.Record(target, Statement{RetryAfter: 10 * time.Second}, at(11))
	table.Retain(map[string]*topology.Target{target.ID: next}, at(12))
	g.Expect(table.Take(next.Incarnation(), at(12))).To(BeTrue())
}
