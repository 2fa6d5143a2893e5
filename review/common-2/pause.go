package main

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	pauseNeed     = 10 * time.Second
	pauseCutTime  = 5 * time.Second
	pauseInterval = 7 * time.Millisecond
	// pauseGrace and pauseAllowed are those of the rule BUDGET.
	pauseGrace   = 500 * time.Millisecond
	pauseAllowed = 2
)

// runPause lets a replica ask for a pause and then lose the path to the store for some
// seconds, so that its entry is removed and comes back while the pause lasts.
func runPause(w *world) (bool, error) {
	var desks []*replica
	for i, zone := range zoneNames {
		r, err := w.startReplica([]string{"desk-1", "desk-2", "desk-3"}[i], "desk", zone)
		if err != nil {
			return false, err
		}
		desks = append(desks, r)
	}
	if err := w.publishConfig(defaultConfig([]any{tenant("club", "key-of-club")})); err != nil {
		return false, err
	}
	if err := w.startHosts(2); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, h := range w.hosts {
		clients.Go(func() { w.sendSteadily(h, stop, &clients) })
	}
	time.Sleep(contactTime)
	needy := desks[0]
	needy.setNeed(time.Now().Add(pauseNeed))
	if w.trouble {
		needy.setCut(true)
		time.AfterFunc(pauseCutTime, func() { needy.setCut(false) })
	}
	time.Sleep(pauseNeed + time.Second)
	close(stop)
	clients.Wait()
	return w.checkPause(needy), nil
}

// sendSteadily sends bookings to a host until stop is closed.
func (w *world) sendSteadily(h *host, stop chan struct{}, clients *sync.WaitGroup) {
	ticker := time.NewTicker(pauseInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			clients.Go(func() { w.send(h, http.MethodPost, "/book/visit", "key-of-club") })
		}
	}
}

// checkPause counts, for each host, the requests that reached a replica between half a
// second after it had answered that host 503 with Retry-After and the end of that time.
func (w *world) checkPause(r *replica) (broken bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range w.hosts {
		ofHost := func(a *arrival) bool { return strings.HasPrefix(a.id, h.name+"-") }
		first := slices.IndexFunc(r.arrivals, func(a *arrival) bool { return ofHost(a) && a.retryAfter > 0 })
		if first < 0 {
			continue
		}
		from, to := r.arrivals[first].answeredAt.Add(pauseGrace), r.arrivals[first].answeredAt.Add(r.arrivals[first].retryAfter)
		reached := 0
		for _, a := range r.arrivals {
			if ofHost(a) && a.at.After(from) && a.at.Before(to) {
				reached++
			}
		}
		w.rec.note("check: %s had asked %s for a pause of %.2f s; from half a second later to its end, %d requests from there reached it, %d are allowed",
			r.id, h.name, r.arrivals[first].retryAfter.Seconds(), reached, pauseAllowed)
		broken = broken || reached > pauseAllowed
	}
	return broken
}
