package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	crashPart     = "dead0001"
	crashEngines  = 6
	crashSessions = 8
	// questions is the number of prompts of a session, and questionInterval the time between
	// them.
	questions        = 3
	questionInterval = time.Second
	// soundInterval is the time between the sound prompts that are sent all the while.
	soundInterval = 250 * time.Millisecond
	soundSubjects = 4
	// sharedInterval is the time between sound prompts that share a part with those of a
	// session, and sessionPause the time from the first of them to the sessions.
	sharedInterval = 40 * time.Second
	sessionPause   = 20 * time.Second
	backAfter      = 2 * time.Second
	// crashesBefore and crashesAllowed are those of the rule BUDGET.
	crashesBefore  = 5
	crashesAllowed = 3
)

// crashLog holds when requests with the part that crashes replicas reached one, and when they
// crashed.
type crashLog struct {
	mu      sync.Mutex
	reached map[string]time.Time
	crashes []time.Time
}

// runCrash lets the prompts of several sessions have a part that crashes replicas. The
// sessions come one after the other; the prompts of a session share a second part.
func runCrash(w *world) (bool, error) {
	log := &crashLog{reached: map[string]time.Time{}}
	onLine := func(e *engine, fields []string) {
		if fields[0] != "crash" {
			return
		}
		log.mu.Lock()
		log.crashes = append(log.crashes, time.Now())
		log.reached[fields[1]] = time.Now()
		log.mu.Unlock()
		e.restartAfter(backAfter)
	}
	for i := range crashEngines {
		if err := w.startEngine(fmt.Sprintf("engine-%d", i+1), zoneNames[i%len(zoneNames)], crashPart, onLine); err != nil {
			return false, err
		}
	}
	if err := w.publishConfig(engineConfig()); err != nil {
		return false, err
	}
	if err := w.startHosts(3); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	stop := make(chan struct{})
	var sound sync.WaitGroup
	sound.Go(func() { w.sendShared(stop, &sound) })
	sound.Go(func() { w.sendSound(stop, &sound) })
	time.Sleep(sessionPause)
	first := crashPart
	if !w.trouble {
		first = "5c1e0001"
	}
	var bad sync.WaitGroup
	for s := range crashSessions {
		for q := range questions {
			bad.Go(func() {
				w.ask(s+q, fmt.Sprintf("session-%d-question-%d", s, q), fmt.Sprintf("%s:600,%s:300,%08x:50", first, sessionPart(s), 0xb000+s*questions+q))
			})
			time.Sleep(questionInterval)
		}
	}
	bad.Wait()
	close(stop)
	sound.Wait()
	return w.checkCrashes(log), nil
}

// sessionPart is the part that the prompts of a session share with each other.
func sessionPart(session int) string { return fmt.Sprintf("5e55%04x", session) }

// ask sends a prompt to one of the hosts in turn.
func (w *world) ask(turn int, id, parts string) bool {
	h := w.hosts[turn%len(w.hosts)]
	s := w.stream(h, fmt.Sprintf("%s-%d", id, turn), parts)
	return s.status == http.StatusOK && s.err == nil && len(s.events) == streamEvents
}

// sendShared sends sound prompts that share the second part of each session until stop is
// closed.
func (w *world) sendShared(stop chan struct{}, sound *sync.WaitGroup) {
	for i := 0; ; i++ {
		for s := range crashSessions {
			sound.Go(func() {
				w.ask(s, fmt.Sprintf("sound-of-session-%d-round-%d", s, i), fmt.Sprintf("5c1e0001:600,%s:300,%08x:50", sessionPart(s), 0xa000+i*crashSessions+s))
			})
		}
		select {
		case <-stop:
			return
		case <-time.After(sharedInterval):
		}
	}
}

// sendSound sends sound prompts of other sessions until stop is closed.
func (w *world) sendSound(stop chan struct{}, sound *sync.WaitGroup) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(soundInterval):
			sound.Go(func() { w.ask(i, "sound", fmt.Sprintf("5c1e0002:600,51de%04x:300,%08x:50", i%soundSubjects, 0xc000+i)) })
		}
	}
}

// checkCrashes counts the requests with the part that reached replicas later than
// contact_ms after the fifth crash.
func (w *world) checkCrashes(log *crashLog) bool {
	log.mu.Lock()
	defer log.mu.Unlock()
	if len(log.crashes) < crashesBefore {
		w.rec.note("check: %d replicas crashed", len(log.crashes))
		return false
	}
	from := log.crashes[crashesBefore-1].Add(contactTime)
	late := 0
	for _, at := range log.reached {
		if at.After(from) {
			late++
		}
	}
	w.rec.note("check: %d crashes; %d requests with the part reached replicas later than %.0f s after the fifth, %d are allowed",
		len(log.crashes), late, contactTime.Seconds(), crashesAllowed)
	return late > crashesAllowed
}
