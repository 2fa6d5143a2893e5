package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sequoiaroad/sequoiaroad/standin/site"
)

const (
	workTime = 30 * time.Millisecond
	// missedBeats is the number of beats after which the platform removes an entry.
	missedBeats = 3
	// refusalTime is how long a replica in need takes to turn a request away.
	refusalTime = 200 * time.Millisecond
)

// arrival is a request that has reached a replica.
type arrival struct {
	id string
	at time.Time
	// answeredAt and retryAfter are those of a 503; zero for others.
	answeredAt time.Time
	retryAfter time.Duration
	ran        bool
}

// replica is a server of a plain service, with its entry in the store.
type replica struct {
	w        *world
	id, zone string
	address  string
	born     int64
	// entry is what it writes to the store.
	entry object

	mu       sync.Mutex
	arrivals []*arrival
	// needUntil is until when it turns requests away and asks for a pause.
	needUntil time.Time
	// cut means that it doesn't reach the store; lastBeat is when it last did.
	cut      bool
	lastBeat time.Time
	listed   bool
	sequence int
}

// newReplica serves a replica that is not in the store yet.
func (w *world) newReplica(id, service, zone string) (*replica, error) {
	r := &replica{w: w, id: id, zone: zone, born: time.Now().UnixMilli()}
	address, stop, err := site.Serve(r)
	if err != nil {
		return nil, err
	}
	w.cleanups = append(w.cleanups, stop)
	r.address = address
	r.entry = object{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0, "born": r.born,
	}
	return r, nil
}

// startReplica serves a replica that writes its entry now, and beats until the case ends.
func (w *world) startReplica(id, service, zone string) (*replica, error) {
	r, err := w.newReplica(id, service, zone)
	if err != nil {
		return nil, err
	}
	r.beat()
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				r.beat()
			}
		}
	}()
	w.cleanups = append(w.cleanups, func() { close(done) })
	return r, nil
}

// beat is one heartbeat, if the replica reaches the store. The entry is written where the
// store lacks it. The store's side removes the entry of a replica that was silent.
func (r *replica) beat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.cut {
		if r.listed && now.Sub(r.lastBeat) >= missedBeats*heartbeat {
			r.listed = false
			r.w.store.Delete("servers", r.id)
			r.w.rec.note("platform: the entry of %s is removed after %d ms of silence", r.id, now.Sub(r.lastBeat).Milliseconds())
		}
		return
	}
	r.lastBeat = now
	r.sequence++
	if r.listed {
		return // nothing but the count has changed
	}
	r.listed = true
	r.entry["seq"] = r.sequence
	value, err := json.Marshal(r.entry)
	if err != nil {
		panic(err) // can't happen: the entry holds only values that JSON can encode
	}
	r.w.store.Put("servers", r.id, value)
	r.w.rec.note("platform: entry of %s: %s", r.id, value)
}

func (r *replica) setCut(cut bool) {
	r.mu.Lock()
	r.cut = cut
	r.mu.Unlock()
	r.w.rec.note("%s reaches the store: %t", r.id, !cut)
}

func (r *replica) setNeed(until time.Time) {
	r.mu.Lock()
	r.needUntil = until
	r.mu.Unlock()
	r.w.rec.note("%s is in need for %.1f s", r.id, time.Until(until).Seconds())
}

// runs returns how many requests the replica ran.
func (r *replica) runs() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, a := range r.arrivals {
		if a.ran {
			n++
		}
	}
	return n
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(resp http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Request-Id")
	resp.Header().Set("X-Request-Id", id)
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
		resp.Header().Set("X-Instance-Id", r.id)
		resp.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if req.URL.Path == "/health" {
		resp.Header().Set("X-Instance-Id", r.id)
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	a := &arrival{id: id, at: time.Now()}
	r.mu.Lock()
	r.arrivals = append(r.arrivals, a)
	needUntil := r.needUntil
	a.ran = !a.at.Before(needUntil)
	r.mu.Unlock()
	if !a.ran {
		r.turnAway(resp, a, needUntil)
		return
	}
	r.w.rec.note("%s runs %s of tenant %q", r.id, id, req.Header.Get("X-Tenant"))
	time.Sleep(workTime)
	resp.Header().Set("X-Response-Stamp", "stamp-"+r.id+"-"+id)
	_, _ = fmt.Fprintf(resp, "answer of %s to %s", r.id, id)
}

// turnAway answers 503 and asks for a pause until the replica is no longer in need.
func (r *replica) turnAway(resp http.ResponseWriter, a *arrival, until time.Time) {
	time.Sleep(refusalTime)
	r.mu.Lock()
	a.answeredAt = time.Now()
	a.retryAfter = max(0, until.Sub(a.answeredAt))
	r.mu.Unlock()
	resp.Header().Set("X-Not-Executed", "1")
	resp.Header().Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 2, 64))
	resp.WriteHeader(http.StatusServiceUnavailable)
	r.w.rec.note("%s turns %s away: 503, Retry-After %.2f", r.id, a.id, a.retryAfter.Seconds())
}
