package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/sequoiaroad/sequoiaroad/standin/relay"
	standin "github.com/sequoiaroad/sequoiaroad/standin/site"
)

// fault is an injected failure. run returns when it is over.
type fault struct {
	name string
	at   time.Duration
	run  func()
	// impairs is the host that the fault puts out of touch, or everyHost if it makes the
	// store unstable; empty for other faults.
	impairs string
}

// everyHost stands for all hosts: none is in touch while the store is unstable.
const everyHost = "every host"

// impairment is the time of a fault during which hosts are out of touch.
type impairment struct {
	host       string // or everyHost
	begin, end time.Time
}

// publication is a weights version and when the store had acknowledged it.
type publication struct {
	version int64
	at      time.Time
}

// departure is the time at which the store had acknowledged that an incarnation of a target
// leaves.
type departure struct {
	target  string
	started int64
	at      time.Time
}

// schedule returns the faults of a seed. They begin at random intervals and may overlap.
func (in *installation) schedule(program string, seed uint64, period time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 0))
	var out []fault
	var locks sync.Map // one mutex per host, since a stopped process can't receive signals
	for at := time.Duration(0); at < period; at += time.Duration(random.Int64N(int64(1200 * time.Millisecond))) {
		f := in.randomFault(program, random, &locks)
		f.at = at
		out = append(out, f)
	}
	out = append(out, in.silences(seed, period)...)
	out = append(out, in.backpressure(seed, period)...)
	out = append(out, in.restorations(seed, period)...)
	slices.SortStableFunc(out, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	return out
}

// silences returns faults that make open connections silent around changes of the
// configuration. They have a random stream of their own, so that the other faults of a seed
// stay the same.
func (in *installation) silences(seed uint64, period time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 2))
	r := in.replicas[random.IntN(len(in.replicas))]
	at := time.Duration(random.Int64N(int64(period / 2)))
	silenceStore := func() {
		for _, h := range in.hosts {
			h.storeLink.Silence()
		}
	}
	after := time.Duration(random.Int64N(int64(time.Second)))
	return []fault{
		{name: "publish the configuration", at: at, run: in.publishConfig},
		{name: "silence all connections to the store", at: at + 200*time.Millisecond, impairs: everyHost, run: silenceStore},
		{name: "silence the connections to " + r.id, at: at + 200*time.Millisecond, run: r.link.Silence},
		{name: "publish the configuration", at: at + 200*time.Millisecond + after, run: in.publishConfig},
	}
}

// maxCopyAge bounds the age of the copy from which the store is restored.
const maxCopyAge = 5 * time.Second

// restorations returns faults that bring the store back from an older copy, with changes of
// the configuration and of the weights around them. They have a random stream of their own,
// like silences.
func (in *installation) restorations(seed uint64, period time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 4))
	at := time.Duration(random.Int64N(int64(period)))
	age := time.Duration(random.Int64N(int64(maxCopyAge)))
	outage := time.Duration(random.Int64N(int64(time.Second)))
	around := func() time.Duration {
		return max(0, at+time.Duration(random.Int64N(int64(4*time.Second)))-2*time.Second)
	}
	return []fault{
		{name: fmt.Sprintf("restore the store from a copy of %v", age), at: at, impairs: everyHost, run: func() { in.restoreStore(age, outage) }},
		{name: "publish the configuration", at: around(), run: in.publishConfig},
		{name: "publish the configuration", at: around(), run: in.publishConfig},
		{name: "set the weights version", at: around(), run: in.publishNextWeights},
	}
}

// restoreStore takes the store away and brings it back from a copy of the given age. The
// operator and the targets write again what they had written.
func (in *installation) restoreStore(age, outage time.Duration) {
	in.storeOutages.Lock()
	defer in.storeOutages.Unlock()
	copiedAt := time.Now().Add(-age)
	in.store.SetDown(true)
	time.Sleep(outage)
	in.store.Restore(copiedAt, "op", "servers")
	in.store.SetDown(false)
}

// backpressure returns faults in which targets ask for fewer requests. They have a random
// stream of their own, like silences.
func (in *installation) backpressure(seed uint64, period time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 3))
	var out []fault
	add := func(name string, f standin.ReplicaFaults, duration time.Duration, end func(r *replica)) {
		r := in.replicas[random.IntN(len(in.replicas))]
		at := time.Duration(random.Int64N(int64(period)))
		out = append(out, fault{name: name + " of " + r.id, at: at, run: func() { r.SetFaults(f); time.Sleep(duration); end(r) }})
	}
	reset := func(r *replica) { r.SetFaults(standin.ReplicaFaults{}) }
	restart := func(r *replica) {
		if err := r.Restart(in.store, r.link.Addr()); err != nil {
			in.addViolation("%v", err)
		}
	}
	rateLimit := strconv.FormatFloat(0.5+2*random.Float64(), 'f', 1, 64)
	add("rate limit "+rateLimit, standin.ReplicaFaults{RateLimit: rateLimit}, standin.ContactTime+limitWindow, reset)
	add("pause", standin.ReplicaFaults{RetryAfter: time.Duration(500+random.IntN(2500)) * time.Millisecond}, 2*time.Second, reset)
	add("leaving", standin.ReplicaFaults{Leaving: true}, standin.DrainBound+time.Second, restart)
	return out
}

// randomFault returns a random fault of a random host or target.
func (in *installation) randomFault(program string, random *rand.Rand, locks *sync.Map) fault {
	h := in.hosts[random.IntN(len(in.hosts))]
	r := in.replicas[random.IntN(len(in.replicas))]
	duration := time.Duration(100+random.IntN(2400)) * time.Millisecond
	lock, _ := locks.LoadOrStore(h.ID, &sync.Mutex{})
	exclusive := func(f func()) func() {
		return func() {
			lock.(*sync.Mutex).Lock()
			defer lock.(*sync.Mutex).Unlock()
			f()
		}
	}
	cutLink := func(link *relay.Relay, mode relay.CutMode) func() {
		return func() { link.Cut(mode); time.Sleep(duration); link.Restore() }
	}
	setFaults := func(f standin.ReplicaFaults) func() {
		return func() { r.SetFaults(f); time.Sleep(duration); r.SetFaults(standin.ReplicaFaults{}) }
	}
	faults := []fault{
		{name: "kill " + h.ID, impairs: h.ID, run: exclusive(func() { in.restart(program, h, syscall.SIGKILL) })},
		{name: "stop " + h.ID, impairs: h.ID, run: exclusive(func() { in.restart(program, h, syscall.SIGTERM) })},
		{name: "pause " + h.ID, impairs: h.ID, run: exclusive(func() { h.signal(syscall.SIGSTOP); time.Sleep(duration); h.signal(syscall.SIGCONT) })},
		{name: "reload " + h.ID, run: exclusive(func() { h.signal(syscall.SIGHUP) })},
		{name: "drop store traffic of " + h.ID, impairs: h.ID, run: cutLink(h.storeLink, relay.Drop)},
		{name: "reset store connections of " + h.ID, impairs: h.ID, run: cutLink(h.storeLink, relay.Reset)},
		{name: "drop store responses to " + h.ID, impairs: h.ID, run: cutLink(h.storeLink, relay.DropResponses)},
		{name: "take the store down", impairs: everyHost, run: func() { in.takeStoreDown(duration) }},
		{name: "compact the store's history", run: in.store.CompactHistory},
		{name: "publish the configuration", run: in.publishConfig},
		{name: "set the weights version", run: in.publishNextWeights},
		{name: "drop traffic of " + r.id, run: cutLink(r.link, relay.Drop)},
		{name: "reset connections of " + r.id, run: cutLink(r.link, relay.Reset)},
		{name: "drop responses of " + r.id, run: cutLink(r.link, relay.DropResponses)},
		{name: "delay " + r.id, run: func() { r.link.SetDelay(duration / 20); time.Sleep(duration); r.link.SetDelay(0) }},
		{name: "lose responses of " + r.id, run: setFaults(standin.ReplicaFaults{LoseResponse: true})},
		{name: "wrong request ids of " + r.id, run: setFaults(standin.ReplicaFaults{WrongID: true})},
		{name: "interrupt streams of " + r.id, run: setFaults(standin.ReplicaFaults{DropAfterEvents: 1 + random.IntN(streamEvents)})},
		{name: "shed requests of " + r.id, run: setFaults(standin.ReplicaFaults{Shed: true})},
		{name: "fail requests of " + r.id, run: setFaults(standin.ReplicaFaults{FailRequests: 5})},
		{name: "drain " + r.id, run: func() { in.drain(r, duration) }},
	}
	return faults[random.IntN(len(faults))]
}

func (in *installation) takeStoreDown(duration time.Duration) {
	in.storeOutages.Lock()
	defer in.storeOutages.Unlock()
	in.store.SetDown(true)
	time.Sleep(duration)
	in.store.SetDown(false)
}

// publishNextWeights writes the model's next weights version to the store.
func (in *installation) publishNextWeights() {
	in.mu.Lock()
	defer in.mu.Unlock()
	version := int64(2 + len(in.publications)) // engines start with version 1
	in.store.Put("op", "version/"+model, fmt.Appendf(nil, `{"model":%q,"version":%d}`, model, version))
	in.publications = append(in.publications, publication{version, time.Now()})
}

// drain makes a target say in its entry that it leaves, and starts it again under the same
// ID once it must get no more requests and the duration has passed. The incarnation that
// leaves never becomes ready again.
func (in *installation) drain(r *replica, duration time.Duration) {
	if err := r.Register(in.store, r.link.Addr(), "draining"); err != nil {
		in.addViolation("%v", err)
	}
	in.mu.Lock()
	in.departures = append(in.departures, departure{r.id, r.Started(), time.Now()})
	in.mu.Unlock()
	time.Sleep(standin.DrainBound + duration)
	if err := r.Restart(in.store, r.link.Addr()); err != nil {
		in.addViolation("%v", err)
	}
}

// inject runs each fault at its time, records the impairments and returns when all faults
// are over.
func (in *installation) inject(faults []fault, log func(string)) {
	var wg sync.WaitGroup
	start := time.Now()
	for _, f := range faults {
		time.Sleep(time.Until(start.Add(f.at)))
		log(fmt.Sprintf("%6d ms %s", time.Since(start).Milliseconds(), f.name))
		begin := time.Now()
		wg.Go(func() {
			f.run()
			in.mu.Lock()
			defer in.mu.Unlock()
			if f.impairs != "" {
				in.impairments = append(in.impairments, impairment{f.impairs, begin, time.Now()})
			}
		})
	}
	wg.Wait()
}
