package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/sequoiaroad/sequoiaroad/standin/relay"
	standin "github.com/sequoiaroad/sequoiaroad/standin/site"
)

// fault is one disturbance. run returns once it has ended.
type fault struct {
	name string
	at   time.Duration
	run  func()
}

// schedule draws the faults of a seed. They come in series and overlap.
func (in *installation) schedule(program string, seed uint64, length time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 0))
	var out []fault
	var nodes sync.Map // one mutex a host, as a host that is down takes no signal
	for at := time.Duration(0); at < length; at += time.Duration(random.Int64N(int64(1200 * time.Millisecond))) {
		f := in.draw(program, random, &nodes)
		f.at = at
		out = append(out, f)
	}
	return out
}

func (in *installation) draw(program string, random *rand.Rand, locks *sync.Map) fault {
	n := in.nodes[random.IntN(len(in.nodes))]
	r := in.replicas[random.IntN(len(in.replicas))]
	lasts := time.Duration(100+random.IntN(2400)) * time.Millisecond
	lock, _ := locks.LoadOrStore(n.ID, &sync.Mutex{})
	alone := func(f func()) func() {
		return func() {
			lock.(*sync.Mutex).Lock()
			defer lock.(*sync.Mutex).Unlock()
			f()
		}
	}
	cut := func(link *relay.Relay, how relay.CutMode) func() {
		return func() { link.Cut(how); time.Sleep(lasts); link.Restore() }
	}
	spoil := func(f standin.ReplicaFaults) func() {
		return func() { r.SetFaults(f); time.Sleep(lasts); r.SetFaults(standin.ReplicaFaults{}) }
	}
	all := []fault{
		{name: "kill " + n.ID, run: alone(func() { in.restart(program, n, syscall.SIGKILL) })},
		{name: "stop " + n.ID, run: alone(func() { in.restart(program, n, syscall.SIGTERM) })},
		{name: "pause " + n.ID, run: alone(func() { n.signal(syscall.SIGSTOP); time.Sleep(lasts); n.signal(syscall.SIGCONT) })},
		{name: "reload " + n.ID, run: alone(func() { n.signal(syscall.SIGHUP) })},
		{name: "silence the store of " + n.ID, run: cut(n.storeLink, relay.Drop)},
		{name: "reset the store of " + n.ID, run: cut(n.storeLink, relay.Reset)},
		{name: "drop the answers of the store to " + n.ID, run: cut(n.storeLink, relay.DropResponses)},
		{name: "store down", run: func() { in.store.SetDown(true); time.Sleep(lasts); in.store.SetDown(false) }},
		{name: "store drops its history", run: in.store.CompactHistory},
		{name: "configuration", run: in.publish},
		{name: "weights", run: func() { in.nameWeights() }},
		{name: "silence " + r.id, run: cut(r.link, relay.Drop)},
		{name: "reset " + r.id, run: cut(r.link, relay.Reset)},
		{name: "drop the answers of " + r.id, run: cut(r.link, relay.DropResponses)},
		{name: "delay " + r.id, run: func() { r.link.SetDelay(lasts / 20); time.Sleep(lasts); r.link.SetDelay(0) }},
		{name: "lost answers of " + r.id, run: spoil(standin.ReplicaFaults{LoseResponse: true})},
		{name: "wrong ids of " + r.id, run: spoil(standin.ReplicaFaults{WrongID: true})},
		{name: "broken streams of " + r.id, run: spoil(standin.ReplicaFaults{DropAfterEvents: 1 + random.IntN(streamEvents)})},
		{name: "full " + r.id, run: spoil(standin.ReplicaFaults{Shed: true})},
		{name: "failures of " + r.id, run: spoil(standin.ReplicaFaults{FailRequests: 5})},
		{name: "leave " + r.id, run: func() { in.leave(r, lasts) }},
	}
	return all[random.IntN(len(all))]
}

// nameWeights names the next version of the model's weights.
func (in *installation) nameWeights() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.weights++
	in.store.Put("op", "weights/"+model, fmt.Appendf(nil, `{"model":%q,"version":%d}`, model, 1+in.weights))
}

// leave takes a target out as planned and brings it back.
func (in *installation) leave(r *replica, lasts time.Duration) {
	for _, state := range []string{"draining", "ready"} {
		if err := r.Register(in.store, r.link.Addr(), state); err != nil {
			in.report("%v", err)
		}
		if state == "draining" {
			time.Sleep(lasts)
		}
	}
}

// inject runs the faults of a schedule and returns once all have ended.
func inject(all []fault, log func(string)) {
	var running sync.WaitGroup
	started := time.Now()
	for _, f := range all {
		time.Sleep(time.Until(started.Add(f.at)))
		log(fmt.Sprintf("%6d ms %s", time.Since(started).Milliseconds(), f.name))
		running.Go(f.run)
	}
	running.Wait()
}
