package quarantine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sequoiaroad/sequoiaroad/policy/quarantine"
)

// crashLoad is a load of prompts with a part that crashes every target.
type crashLoad struct {
	hosts, targets int
	// interval is the time between two such prompts.
	interval, duration time.Duration
	// sessions names what the nth prompt shares with some of the others besides the part; nil
	// if there is nothing but what sound prompts have, too.
	sessions func(n int) []string
}

const (
	// crashDelay is the time from the arrival of a prompt to the crash of its target.
	crashDelay = 30 * time.Millisecond
	// crashDetectionDelay is the time from a crash to its record at the host that sent the
	// prompt.
	crashDetectionDelay = 150 * time.Millisecond
	// targetDowntime is the time from a crash to the next incarnation of the target.
	targetDowntime = 4 * time.Second
	// contactTime is how long after the fifth crash hosts may go on sending such prompts, and
	// maxLaterSends is how many may reach targets after that.
	contactTime   = 3 * time.Second
	maxLaterSends = 3
)

// crashRun plays a crashLoad against keepers that share a store and send each other notices.
type crashRun struct {
	crashLoad
	keepers []*Keeper

	// mu guards what follows: timers of the bubble that fire at the same time run beside each
	// other.
	mu     sync.Mutex
	random *rand.Rand
	// up are the targets that run, by their incarnation.
	up map[int]int
	// sends are the times at which prompts with the part reached targets.
	sends, crashes []time.Time
	rejections     int
}

// target returns a target that runs, or -1. The caller holds the mutex.
func (r *crashRun) target() int {
	candidates := make([]int, 0, r.targets)
	for t := range r.targets {
		if r.up[t] > 0 {
			candidates = append(candidates, t)
		}
	}
	if len(candidates) == 0 {
		return -1
	}
	return candidates[r.random.IntN(len(candidates))]
}

// send sends a prompt with the deadly part from a host, unless the host rejects it. Sound
// prompts with its other parts complete at all hosts.
func (r *crashRun) send(n int) {
	r.mu.Lock()
	host := r.keepers[r.random.IntN(len(r.keepers))]
	r.mu.Unlock()
	parts := []string{"manual", "deadly"}
	if r.sessions != nil {
		parts = append(parts, r.sessions(n)...)
	}
	parts = append(parts, fmt.Sprint("prompt:", n))
	admitted := admits(host, parts)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !admitted {
		r.rejections++
		return
	}
	t := r.target()
	if t < 0 {
		return
	}
	r.sends = append(r.sends, time.Now())
	incarnation := r.up[t]
	time.AfterFunc(crashDelay, func() {
		r.crash(t, incarnation)
		time.AfterFunc(crashDetectionDelay, func() {
			host.RecordCrashes([]quarantine.Crash{{
				Parts: parts, Prompt: parts[len(parts)-1], Target: fmt.Sprint("engine-", t, "/", incarnation),
			}})
		})
	})
}

// admits reports whether a host lets a prompt pass, as package forward asks it.
func admits(host *Keeper, parts []string) bool {
	e, rejected := host.Match(parts, nil)
	return !rejected || e.IsTrialDue(time.Now()) && host.ClaimTrial(context.Background(), e)
}

// crash ends an incarnation of a target, unless another prompt has ended it.
func (r *crashRun) crash(t, incarnation int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.up[t] != incarnation {
		return
	}
	r.crashes = append(r.crashes, time.Now())
	r.up[t] = 0
	time.AfterFunc(targetDowntime, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.up[t] = incarnation + 1
	})
}

// laterSends returns how many prompts reached targets later than contactTime after the fifth
// crash.
func (r *crashRun) laterSends() int {
	if len(r.crashes) < 5 {
		return 0
	}
	n := 0
	for _, at := range r.sends {
		if at.After(r.crashes[4].Add(contactTime)) {
			n++
		}
	}
	return n
}

// play plays the load.
func (l crashLoad) play(t *testing.T, seed uint64) *crashRun {
	r := &crashRun{crashLoad: l, random: rand.New(rand.NewPCG(seed, 1)), up: map[int]int{}}
	for n := range l.targets {
		r.up[n] = 1
	}
	store, shared := newTable(), &fleet{}
	store.delay = 5 * time.Millisecond
	for range l.hosts {
		r.keepers = append(r.keepers, startKeeper(t, store, shared))
	}
	shared.keepers = r.keepers
	time.Sleep(2 * time.Second)
	end := time.Now().Add(l.duration)
	completed := time.Time{}
	for n := 0; time.Now().Before(end); n++ {
		if time.Since(completed) >= time.Second {
			completed = time.Now()
			for _, k := range r.keepers {
				k.RecordCompletion([]string{"manual"})
			}
		}
		go r.send(n)
		time.Sleep(l.interval)
	}
	time.Sleep(time.Second) // the last prompts and what they cause
	synctest.Wait()
	return r
}

// Guards against a part that goes on crashing targets each time its quarantine ends: all
// hosts try it again at the same moment, and each sends what comes until the next crash is
// known everywhere.
func TestPartThatCrashesTargetsForAnHourReachesFew(t *testing.T) {
	for name, load := range map[string]crashLoad{
		"3 hosts, 10 a second":  {hosts: 3, targets: 9, interval: 100 * time.Millisecond, duration: time.Hour},
		"8 hosts, 40 a second":  {hosts: 8, targets: 9, interval: 25 * time.Millisecond, duration: time.Hour},
		"40 hosts, 80 a second": {hosts: 40, targets: 60, interval: 12500 * time.Microsecond, duration: 7 * time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := load.play(t, 1)
				t.Logf("%d sends, %d crashes, %d rejections", len(r.sends), len(r.crashes), r.rejections)
				NewWithT(t).Expect(r.laterSends()).To(BeNumerically("<=", maxLaterSends))
			})
		})
	}
}

// Guards against a part that goes on crashing targets in each further session, because only the
// pairs of it and what the session's prompts share were put in quarantine; at hosts that see the
// crashes of others only in their reports.
func TestPartInManySessionsReachesFew(t *testing.T) {
	inSeries := func(questions int) func(n int) []string {
		return func(n int) []string { return []string{fmt.Sprint("session-", n/questions)} }
	}
	atATime := func(n int) []string { return []string{fmt.Sprint("session-", n/12*4+n%4)} }
	shared := func(n int) []string { return []string{fmt.Sprint("subject-", n/6), fmt.Sprint("session-", n/3)} }
	for name, sessions := range map[string]func(n int) []string{
		"two questions of each": inSeries(2), "three of each": inSeries(3), "ten of each": inSeries(10),
		"four sessions at a time": atATime, "a subject of two sessions": shared,
	} {
		for _, hosts := range []int{3, 20} {
			for _, interval := range []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second} {
				t.Run(fmt.Sprintf("%s, %d hosts, every %s", name, hosts, interval), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						load := crashLoad{hosts: hosts, targets: 9, interval: interval, duration: 5 * time.Minute, sessions: sessions}
						r := load.play(t, 1)
						t.Logf("%d sends, %d crashes, %d rejections", len(r.sends), len(r.crashes), r.rejections)
						NewWithT(t).Expect(r.laterSends()).To(BeNumerically("<=", maxLaterSends))
					})
				})
			}
		}
	}
}

// startQuarantine starts keepers that share a store and have one entry, and waits until the
// trial of it is due everywhere.
func startQuarantine(t *testing.T, hosts int, store *table) []*Keeper {
	shared := &fleet{}
	for range hosts {
		shared.keepers = append(shared.keepers, startKeeper(t, store, shared))
	}
	time.Sleep(time.Second)
	for n := range 3 {
		crash(shared.keepers[0], n, "rare")
	}
	time.Sleep(quarantine.FirstDuration + maxClaimDelay)
	return shared.keepers
}

// admitAtAll asks all keepers at the same time whether a prompt may pass, and returns how
// many let it.
func admitAtAll(keepers []*Keeper) int {
	var admitted atomic.Int64
	var asked sync.WaitGroup
	for _, k := range keepers {
		asked.Go(func() {
			if admits(k, []string{"rare"}) {
				admitted.Add(1)
			}
		})
	}
	asked.Wait()
	return int(admitted.Load())
}

// Guards against several hosts that try the same part at once, and against one that does so
// without the store.
func TestOneHostTriesAPartForTheWholeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := newTable()
		store.delay = 5 * time.Millisecond
		keepers := startQuarantine(t, 9, store)
		store.setDown(true)
		g.Expect(admitAtAll(keepers)).To(BeZero(), "the store is down")
		store.setDown(false)
		time.Sleep(claimInterval)
		g.Expect(admitAtAll(keepers)).To(Equal(1))
		time.Sleep(time.Minute)
		g.Expect(admitAtAll(keepers)).To(BeZero(), "the next trial is not due yet")
	})
}

// Guards against a sound part that stays in quarantine at other hosts after its trial, or in
// the store.
func TestCompletedTrialEndsTheQuarantineEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := newTable()
		keepers := startQuarantine(t, 9, store)
		g.Expect(admits(keepers[4], []string{"rare"})).To(BeTrue())
		keepers[4].RecordCompletion([]string{"rare"})
		time.Sleep(time.Second)
		g.Expect(admitAtAll(keepers)).To(Equal(len(keepers)))
		g.Expect(store.size()).To(BeZero())
	})
}
