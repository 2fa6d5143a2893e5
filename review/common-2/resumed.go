package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// resumedEngines is the number of replicas, of which resumedKills are killed.
	resumedEngines = 8
	resumedKills   = 2
	// halfDelay and headDelay are the times from half an event, and from the head of an answer,
	// to the end of the replica.
	halfDelay = 50 * time.Millisecond
	headDelay = 150 * time.Millisecond
	resumedID = "stream-1"
	// resumedParts are the parts of the prompt.
	resumedParts = "5c1e07a2:1000,91bd3f06:500"
)

// runResumed kills the replica that serves a stream while it writes an event, and then the
// one at which the host goes on with the stream, between the head of its answer and its first
// event.
func runResumed(w *world) (bool, error) {
	var mu sync.Mutex
	var killed []string
	kill := func(e *engine, delay time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		if !w.trouble || len(killed) >= resumedKills || slices.Contains(killed, e.id) {
			return
		}
		killed = append(killed, e.id)
		time.Sleep(delay)
		w.rec.note("%s is killed", e.id)
		e.kill()
	}
	onLine := func(e *engine, fields []string) {
		switch {
		case fields[1] != resumedID:
		case fields[0] == "half":
			kill(e, halfDelay)
		case fields[0] == "head" && fields[2] != "0":
			kill(e, headDelay)
		}
	}
	for i := range resumedEngines {
		if err := w.startEngine(fmt.Sprintf("engine-%d", i+1), zoneNames[i%len(zoneNames)], "", onLine); err != nil {
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
	s := w.stream(w.hosts[0], resumedID, resumedParts)
	mu.Lock()
	defer mu.Unlock()
	if w.trouble && len(killed) < resumedKills {
		return false, errors.New("the stream did not reach two replicas")
	}
	complete := s.status == http.StatusOK && s.err == nil
	missing := streamEvents - len(s.events)
	w.rec.note("check: the client got %d of %d events, ended as complete: %t", len(s.events), streamEvents, complete)
	return complete && missing > 0, nil
}
