package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// resumedRounds is the number of streams that are tried; each loses one replica.
	resumedRounds = 1
	// killDelay is the time from the head to the end of the replica.
	killDelay = 150 * time.Millisecond
	// eventsBeforeBreak is the number of events after which the client's channel breaks.
	eventsBeforeBreak = 3
)

// resumedParts are the parts of the prompt.
const resumedParts = "5c1e07a2:1000,91bd3f06:500"

// runResumed lets a client go on with a stream after its channel broke. The replica that
// gets the new request is killed between the head of its answer and its first event.
func runResumed(w *world) (bool, error) {
	var target atomic.Value // the ID of the request whose replica is killed
	target.Store("")
	onLine := func(e *engine, fields []string) {
		if w.trouble && fields[0] == "head" && fields[1] == target.Load().(string) {
			target.Store("")
			w.rec.note("%s is killed", e.id)
			time.Sleep(killDelay) // well before the first event
			e.kill()
		}
	}
	for i, zone := range zoneNames {
		if err := w.startEngine(fmt.Sprintf("engine-%d", i+1), zone, "", onLine); err != nil {
			return false, err
		}
	}
	if err := w.publishConfig(engineConfig()); err != nil {
		return false, err
	}
	if err := w.startHosts(2); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	broken := false
	for i := range resumedRounds {
		h := w.hosts[i%len(w.hosts)]
		first := w.stream(h, fmt.Sprintf("stream-%d-a", i), resumedParts, 0, eventsBeforeBreak)
		if len(first.events) != eventsBeforeBreak {
			return false, errors.New("the stream did not begin")
		}
		id := fmt.Sprintf("stream-%d-b", i)
		target.Store(id)
		second := w.stream(h, id, resumedParts, eventsBeforeBreak, streamEvents)
		complete := second.status == http.StatusOK && second.err == nil
		missing := streamEvents - eventsBeforeBreak - len(second.events)
		w.rec.note("check: the stream that goes on after event %d got %d events, complete: %t, missing: %d", eventsBeforeBreak, len(second.events), complete, missing)
		broken = broken || complete && missing > 0
	}
	return broken, nil
}
