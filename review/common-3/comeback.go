package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Dimensions of the case "comeback", from the beginning of the cut.
const (
	comebackReplicas = 10 // two are 0.2 of them

	crashAt = 300 * time.Millisecond
	// downFor is how long a replica is down.
	downFor = 400 * time.Millisecond
	// lapseAt is when the platform removes their entries, and healAt when the replicas reach the
	// store again.
	lapseAt = 3 * heartbeat
	healAt  = 5 * time.Second
	endAt   = 8 * time.Second
	// pauseFor is the pause that the replica asks for, and rejectTime how long it takes to turn a
	// request away.
	pauseFor   = 5 * time.Second
	rejectTime = 300 * time.Millisecond
	// comebackClients and comebackPause make the load of the host in the zone of all clients.
	comebackClients = 24
	comebackPause   = 60 * time.Millisecond
	// calmTimeout bounds the wait for a moment at which the replica works on no request.
	calmTimeout = 2 * time.Second
	// The rule: more than maxPaused requests of a host from pauseGrace after the replica has asked
	// it for a pause, until its end.
	pauseGrace = 500 * time.Millisecond
	maxPaused  = 2
)

// comebackCase cuts some plain replicas off from the store. They crash behind the cut and start again
// under their ids. While they are not warm, they turn requests away and ask for a pause. No host may
// send one of them more than maxPaused requests within that pause. Without the trouble there is
// neither a cut nor a crash.
func comebackCase(s *site) (bool, error) {
	replicas, err := s.startPlain(comebackReplicas, false)
	if err != nil {
		return false, err
	}
	clients := startLoad(s.hosts[:1], comebackClients, comebackPause) // all of zone-a
	time.Sleep(contactTime)
	begin := time.Now()
	back := []*replica{replicas[0], replicas[2]} // of zone-a
	if s.trouble {
		for i := range back {
			if back[i], err = back[i].crashBehindCut(begin); err != nil {
				return false, err
			}
		}
		time.Sleep(lapseAt - time.Since(begin))
		for _, r := range back {
			r.remove()
		}
		time.Sleep(healAt - time.Since(begin))
		for _, r := range back {
			if err := r.register("ready"); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(endAt - time.Since(begin))
	answers := clients.stop()
	s.listAnswers(answers)
	hostOf := map[string]string{}
	for _, a := range answers {
		hostOf[a.id] = a.host
	}
	broken := false
	for _, r := range back {
		broken = s.pauseWasBroken(r, hostOf) || broken
	}
	counts := map[int]int{}
	for _, a := range answers {
		counts[a.status]++
	}
	s.note("%d answers by status: %v", len(answers), counts)
	if !s.trouble && counts[http.StatusOK] != len(answers) {
		return false, fmt.Errorf("without the trouble: %v", counts)
	}
	return broken, nil
}

// crashBehindCut crashes a replica that is cut off from the store, and starts it again under its id.
func (r *replica) crashBehindCut(cutAt time.Time) (*replica, error) {
	s := r.site
	time.Sleep(crashAt - time.Since(cutAt))
	for deadline := time.Now().Add(calmTimeout); r.running() > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	r.kill()
	s.note("%s, cut off from the store, crashed", r.id)
	time.Sleep(downFor)
	o := r.replicaOptions
	o.rejectFor, o.pause = endAt, pauseFor
	next, err := s.startReplica(o)
	if err == nil {
		s.note("%s has started again under its id, and turns requests away with Retry-After %g", next.id, o.pause.Seconds())
	}
	return next, err
}

// pauseWasBroken reports whether a host sent a replica more requests than allowed within the pause
// that it had asked for. hostOf has the host of each request.
func (s *site) pauseWasBroken(r *replica, hostOf map[string]string) bool {
	told := r.told()
	asked := map[string]time.Time{} // when the replica first asked a host for a pause
	for _, t := range told {
		if host := hostOf[t.ID]; t.What == "rejected" && (asked[host].IsZero() || t.At.Before(asked[host])) {
			asked[host] = t.At
		}
	}
	broken := false
	for host, at := range asked {
		late := 0
		for _, t := range told {
			if t.What == "reached" && hostOf[t.ID] == host && t.At.After(at.Add(pauseGrace)) && t.At.Before(at.Add(pauseFor)) {
				late++
				s.list("request %s of %s reached %s %d ms after it had asked for a pause", t.ID, host, r.id, t.At.Sub(at).Milliseconds())
			}
		}
		s.note("%s: %d requests reached %s within the pause that it had asked for; %d are allowed", host, late, r.id, maxPaused)
		broken = broken || late > maxPaused
	}
	return broken
}

// startLoad starts some clients at each of the hosts, which look up and book visits by turns.
func startLoad(hosts []*host, perHost int, pause time.Duration) *clients {
	c := &clients{stopped: make(chan struct{})}
	for i := range perHost * len(hosts) {
		c.running.Go(func() { c.ask(hosts[i%len(hosts)], pause) })
	}
	return c
}

// clients send requests until they are stopped.
type clients struct {
	stopped chan struct{}
	running sync.WaitGroup

	mu      sync.Mutex
	answers []answer
}

// ask sends one request after the other to a host.
func (c *clients) ask(h *host, pause time.Duration) {
	for n := 0; ; n++ {
		select {
		case <-c.stopped:
			return
		case <-time.After(pause/2 + rand.N(pause)): // so that clients don't ask in step
		}
		method, path := http.MethodGet, "/status/1"
		if n%2 == 1 {
			method, path = http.MethodPost, "/book/1"
		}
		a := h.send(method, path, nil)
		c.mu.Lock()
		c.answers = append(c.answers, a)
		c.mu.Unlock()
	}
}

// stop stops the clients and returns what they got.
func (c *clients) stop() []answer {
	close(c.stopped)
	c.running.Wait()
	return c.answers
}
