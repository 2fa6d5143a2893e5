package balance

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

var now = time.Unix(1_700_000_000, 0)

var zones = map[string]string{"a": "north", "b": "north", "c": "south"}

const model = "m"

func engine(id, zone string, version int64) *topology.Target {
	return &topology.Target{ID: id, Address: id + ":1", Zone: zone, Slots: 16, Weights: map[string]int64{model: version}}
}

func prompt(name string, shared int) *Prompt {
	return &Prompt{
		Model: model, Parts: []Part{{name, shared}, {name + "-own", 500}}, BodyBytes: 2000,
		Engine: &topology.Engine{Slots: 16, TokenBytes: 131072, LinkMbps: 370000},
	}
}

// send chooses a target and records the request as the router does.
func send(b *Balancer, p *Prompt, targets []*topology.Target) Choice {
	c := b.Pick(p, targets, nil, now)
	b.Begin(c.Target)
	b.AddPrefill(c.Target, c.PrefillMs, now)
	b.RecordCacheNotice(CacheNotice{Keys: p.Keys(c.WeightsVersion), TargetID: c.Target.ID, SavedToStore: c.SaveTo != ""}, now)
	return c
}

// Guards against computing a shared part again although a target has it cached, and
// against hosts that send the first requests for a part to different targets.
func TestSharedPartIsPrefilledOnce(t *testing.T) {
	g := NewWithT(t)
	targets := []*topology.Target{engine("e1", "a", 1), engine("e2", "a", 1), engine("e3", "b", 1)}
	one, two := New("a", zones), New("a", zones)
	first := send(one, prompt("manual", 12000), targets)
	g.Expect(first.PrefillsShared).To(BeTrue())
	g.Expect(two.Pick(prompt("manual", 12000), targets, nil, now).Target).To(Equal(first.Target))
	holders := map[string]bool{first.Target.ID: true}
	for range 5 {
		again := send(one, prompt("manual", 12000), targets)
		g.Expect(again.PrefillsShared).To(BeFalse())
		g.Expect(holders[again.Target.ID] || again.FetchFrom != "").To(BeTrue())
		holders[again.Target.ID] = true
	}
	one.RecordCacheNotice(CacheNotice{Keys: prompt("manual", 12000).Keys(1), TargetID: first.Target.ID, Evicted: true}, now)
	g.Expect(one.Cached(prompt("manual", 12000).Keys(1)[0], first.Target.ID, now)).To(BeFalse())
}

// Guards against a message to all hosts for each short prompt, which at 300 hosts is most of
// what they tell each other.
func TestShortSharedPartsAreNotAnnounced(t *testing.T) {
	g := NewWithT(t)
	g.Expect(prompt("legend", 92).IsSharedWidely()).To(BeFalse())
	g.Expect(prompt("manual", 13300).IsSharedWidely()).To(BeTrue())
	g.Expect((&Prompt{Model: model, Parts: []Part{{"own", 9000}}}).IsSharedWidely()).To(BeFalse())
}

// Guards against cached parts that are shared across isolated accounts or weights
// versions.
func TestCacheKeysDifferByAccountIsolationAndWeightsVersion(t *testing.T) {
	g := NewWithT(t)
	plain, isolated := prompt("manual", 1000), prompt("manual", 1000)
	isolated.CacheScope = "account:club"
	g.Expect(plain.Keys(1)).NotTo(Equal(isolated.Keys(1)))
	g.Expect(plain.Keys(1)).NotTo(Equal(plain.Keys(2)))
	g.Expect(Salt(1, "")).NotTo(Equal(Salt(1, "account:club")))
}

// Guards against short prompts that wait behind a long one, as in a load peak while one
// engine prefills a prompt of 50,000 tokens.
func TestShortPromptAvoidsPrefillingEngine(t *testing.T) {
	g := NewWithT(t)
	targets := []*topology.Target{engine("e1", "a", 1), engine("e2", "a", 1)}
	b := New("a", zones)
	long := send(b, prompt("long", 50000), targets)
	for i := range 20 {
		c := b.Pick(prompt(fmt.Sprint("short", i), 90), targets, nil, now)
		g.Expect(c.Target).NotTo(Equal(long.Target))
	}
	later := now.Add(5 * time.Second)
	used := map[string]bool{}
	for i := range 20 {
		used[b.Pick(prompt(fmt.Sprint("short", i), 90), targets, nil, later).Target.ID] = true
	}
	g.Expect(used).To(HaveLen(2))
}

// Guards against KV store transfers between regions: one takes ten times as long, and
// since transfers run one after another it blocks all others.
func TestKVStoreIsUsedOnlyWithinItsRegion(t *testing.T) {
	g := NewWithT(t)
	b := New("a", zones)
	far, near := engine("far", "a", 1), engine("near", "c", 1)
	p := prompt("manual", 12000)
	p.StoreAddress, p.StoreZone = "store:1", "c"
	g.Expect(b.Pick(p, []*topology.Target{far}, nil, now).SaveTo).To(BeEmpty())
	g.Expect(b.Pick(p, []*topology.Target{near}, nil, now).SaveTo).To(Equal("store:1"))
	b.RecordCacheNotice(CacheNotice{Keys: p.Keys(1)}, now)
	g.Expect(b.Pick(p, []*topology.Target{far}, nil, now).FetchFrom).To(BeEmpty())
	g.Expect(b.Pick(p, []*topology.Target{near}, nil, now).FetchFrom).To(Equal("store:1"))
}

// Guards against requests that start on weights older than the maximum staleness while
// engines with newer weights are available.
func TestOutdatedTargetIsAvoidedBeforeMaxStaleness(t *testing.T) {
	g := NewWithT(t)
	b := New("a", zones)
	old, fresh := engine("old", "a", 1), engine("new", "c", 2)
	p := prompt("manual", 12000)
	p.MaxStaleness = 8 * time.Second
	p.DesiredWeights = topology.DesiredWeights{Model: model}.WithVersion(2, now).WithVersion(3, now.Add(5*time.Second))
	b.AddPrefill(fresh, 5000, now.Add(6500*time.Millisecond))
	g.Expect(b.Pick(p, []*topology.Target{old, fresh}, nil, now.Add(5900*time.Millisecond)).Target).To(Equal(old))
	g.Expect(b.Pick(p, []*topology.Target{old, fresh}, nil, now.Add(6500*time.Millisecond)).Target).To(Equal(fresh))
}

// Guards against requests that start on weights beyond the maximum staleness because
// all other engines load weights, are full or have been tried, and against rejecting
// all requests in an outage of the store, in which no weights can be rolled out.
func TestTargetBeyondMaxStalenessIsExcluded(t *testing.T) {
	g := NewWithT(t)
	b := New("a", zones)
	old, fresh := engine("old", "a", 1), engine("new", "c", 2)
	targets := []*topology.Target{old, fresh}
	p := prompt("manual", 12000)
	p.MaxStaleness = 8 * time.Second
	p.DesiredWeights = topology.DesiredWeights{Model: model}.WithVersion(2, now)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	tried := map[string]bool{fresh.ID: true}
	g.Expect(b.Pick(p, targets, tried, at(7000)).Target).To(Equal(old))
	c := b.Pick(p, targets, tried, at(7900))
	g.Expect(c.Target).To(BeNil())
	g.Expect(c.TooOutdated).To(Equal(1))
	b.Pause(fresh, at(20000))
	g.Expect(b.Pick(p, targets, nil, at(9000)).Target).To(BeNil())
	p.DesiredWeights.StoreLostAt = at(5000)
	g.Expect(b.Pick(p, targets, nil, at(9000)).Target).To(Equal(old))
}

// Guards against one peer report that keeps all requests from a target which still
// responds, and against an immediate retry on a failing target.
func TestFailingTargetIsEjected(t *testing.T) {
	g := NewWithT(t)
	b := New("a", zones)
	one, two := engine("e1", "a", 1), engine("e2", "b", 1)
	b.RecordActivity(one, now)
	b.RecordPeerSuspicion(one, now)
	g.Expect(b.Ejected(one, now)).To(BeFalse())
	b.RecordUnresponsive(one, now)
	g.Expect(b.Suspects(now)).To(Equal([]string{"e1"}))
	g.Expect(b.PickPlain([]*topology.Target{one, two}, nil, 0, now)).To(Equal(two))
	g.Expect(b.PickPlain([]*topology.Target{one}, nil, 0, now)).To(Equal(one))
	g.Expect(b.PickPlain([]*topology.Target{one, two}, map[string]bool{"e2": true}, 0, now)).To(Equal(one))
	b.RecordSuccess(one)
	g.Expect(b.PickPlain([]*topology.Target{one, two}, nil, 0, now)).To(Equal(one))
	leaving := engine("e3", "a", 1)
	leaving.Leaving = true
	g.Expect(b.PickPlain([]*topology.Target{leaving}, nil, 0, now)).To(BeNil())
}

// BenchmarkPick measures a choice at the design size: 350 hosts and 600 engines, a
// tenth of which have the prompt's shared part cached.
func BenchmarkPick(b *testing.B) {
	targets := make([]*topology.Target, 600)
	inFlight := map[string]int{}
	balancer := New("a", zones)
	p := prompt("manual", 12000)
	for i := range targets {
		targets[i] = engine(fmt.Sprint("e", i), []string{"a", "b", "c"}[i%3], 1)
		inFlight[targets[i].ID] = 1
		if i%10 == 0 {
			balancer.RecordCacheNotice(CacheNotice{Keys: p.Keys(1), TargetID: targets[i].ID}, now)
		}
	}
	for id, n := range inFlight {
		balancer.AddPeerInFlight(id, 350*n)
	}
	for b.Loop() {
		balancer.Pick(p, targets, nil, now)
	}
}

// Guards against load of other hosts that remains after they have told that it ended, and
// against a negative number while messages overtake each other.
func TestPeerLoadFollowsItsChanges(t *testing.T) {
	g := NewWithT(t)
	b := New("a", zones)
	e := engine("e1", "a", 1)
	b.AddPeerInFlight("e1", 5)
	b.AddPeerInFlight("e1", -2)
	g.Expect(b.InFlight(e)).To(Equal(3))
	b.AddPeerInFlight("e1", -4)
	g.Expect(b.InFlight(e)).To(BeZero())
	b.AddPeerInFlight("e1", 2)
	g.Expect(b.InFlight(e)).To(Equal(1))
}

// Guards against a burst that all hosts send to one target: the streams of crashed
// engines are retried at once on 62 hosts, before these receive reports of each other's
// requests. A target rejects the requests beyond its slots and its queue.
func TestBurstDoesNotGoToOneTarget(t *testing.T) {
	g := NewWithT(t)
	const hosts, engines, each, slots, queue = 62, 52, 2, 16, 48
	targets := make([]*topology.Target, engines)
	inFlight := map[string]int{}
	for i := range targets {
		targets[i] = engine(fmt.Sprint("e", i), "a", 1)
		inFlight[targets[i].ID] = slots - 1
	}
	inFlight["e7"] = slots / 2
	sent := map[string]int{}
	for host := range hosts {
		b := New("a", zones)
		for id, n := range inFlight {
			b.AddPeerInFlight(id, n)
		}
		for i := range each {
			p := &Prompt{Model: model, Parts: []Part{{"own", 200}}, BodyBytes: 500, SampleSeed: uint64(host*each + i + 1)}
			c := b.Pick(p, targets, nil, now)
			b.Begin(c.Target)
			b.AddPrefill(c.Target, c.PrefillMs, now)
			sent[c.Target.ID]++
		}
	}
	for id, n := range sent {
		g.Expect(inFlight[id]+n).To(BeNumerically("<=", slots+queue), id)
	}
}

// Guards against a request without a target because the only usable one is not in the
// random sample.
func TestSamplingFallsBackToAllTargets(t *testing.T) {
	g := NewWithT(t)
	targets := make([]*topology.Target, 40)
	for i := range targets {
		targets[i] = engine(fmt.Sprint("e", i), "a", 1)
		targets[i].Leaving = i != 7
	}
	for seed := range uint64(50) {
		p := prompt("manual", 12000)
		p.SampleSeed = seed + 1
		g.Expect(New("a", zones).Pick(p, targets, nil, now).Target).To(Equal(targets[7]))
	}
}

// Guards against what a host has learned of a target that is forgotten because the target's entry
// lapsed and came back, and against a next incarnation that counts with it.
func TestStateOfTargetOutlivesItsEntry(t *testing.T) {
	g := NewWithT(t)
	b := New("zone-a", nil)
	now := time.Unix(1_700_000_000, 0)
	target := &topology.Target{ID: "engine-1", Started: 1}
	b.RecordUnresponsive(target, now)
	b.RecordWeights(target, "model-a", 3)
	b.RecordCacheNotice(CacheNotice{Keys: []Key{1}, TargetID: target.ID}, now)
	b.Retain(map[string]*topology.Target{}, now)
	b.Retain(map[string]*topology.Target{target.ID: target}, now)
	g.Expect(b.Ejected(target, now)).To(BeTrue())
	g.Expect(b.WeightsVersion(target, "model-a")).To(BeEquivalentTo(3))
	g.Expect(b.Cached(1, target.ID, now)).To(BeTrue())
	next := &topology.Target{ID: "engine-1", Started: 2}
	g.Expect(b.Ejected(next, now)).To(BeFalse())
	g.Expect(b.WeightsVersion(next, "model-a")).To(BeZero())
	g.Expect(b.Cached(1, next.ID, now)).To(BeFalse())
}
