package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Dimensions of the case "leaving".
const (
	leavingEngines = 8 // one is 0.125 of them
	leavingStreams = 48
	streamEvents   = 20
	eventInterval  = 180 * time.Millisecond
	// noticeDelay is when the notice comes after the streams were sent, and spotDelay how long
	// after the notice the engine is gone.
	noticeDelay = 400 * time.Millisecond
	spotDelay   = 2 * time.Second
)

// leavingCase takes an engine away while it sends unframed streams, the platform's notice
// before. No stream may end as complete before its last event. Without the trouble the engine
// exits once its streams have ended.
func leavingCase(s *site) (bool, error) {
	if err := s.putConfig(); err != nil {
		return false, err
	}
	for i := range leavingEngines {
		r, err := s.startReplica(replicaOptions{
			id: fmt.Sprintf("i-engine-%d", i), service: engineService, zone: []string{"zone-a", "zone-b"}[i%2], events: streamEvents, interval: eventInterval, unframed: true,
		})
		if err != nil {
			return false, err
		}
		if err := r.register("ready"); err != nil {
			return false, err
		}
	}
	if err := s.addHosts(2, func(int) string { return s.storeURL }); err != nil {
		return false, err
	}
	if err := s.startHosts(); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	answers := make([]answer, leavingStreams)
	var running sync.WaitGroup
	for i := range answers {
		path := []string{"/diagnosis/1", "/faq/1"}[i/2%2]
		running.Go(func() { answers[i] = s.hosts[i%2].send("POST", path, promptHeader()) })
	}
	s.note("%d streams of %d events were sent", leavingStreams, streamEvents)
	time.Sleep(noticeDelay)
	leaving := s.busiest()
	if err := leaving.sayLeaving(); err != nil {
		return false, err
	}
	if err := leaving.register("draining"); err != nil {
		return false, err
	}
	s.note("%s leaves and works on %d streams", leaving.id, leaving.running())
	time.Sleep(spotDelay)
	if s.trouble {
		s.note("%s is gone, and works on %d streams", leaving.id, leaving.running())
		leaving.kill()
	}
	running.Wait()
	if !s.trouble {
		s.note("%s exits, and works on %d streams", leaving.id, leaving.running())
		leaving.kill()
	}
	s.listAnswers(answers)
	broken := 0
	for _, a := range answers {
		if a.status == http.StatusOK && a.whole && a.lastEvent() < streamEvents {
			broken++
			s.note("%s: its last event is %d", a.String(), a.lastEvent())
		}
		if !s.trouble && (!a.whole || a.status != http.StatusOK) {
			return false, fmt.Errorf("without the trouble: %s", a.String())
		}
	}
	s.note("%d of %d streams ended as complete before their last event", broken, leavingStreams)
	return broken > 0, nil
}

// busiest returns the replica that works on the most requests.
func (s *site) busiest() *replica {
	var best *replica
	most := -1
	for _, r := range s.all() {
		if n := r.running(); !r.hasEnded() && n > most {
			best, most = r, n
		}
	}
	return best
}

// made returns the last event that any replica has made for a request.
func (s *site) made(id string) int {
	last := 0
	for _, r := range s.all() {
		for _, t := range r.told() {
			if t.ID == id && t.What == "event" {
				last = max(last, t.Piece)
			}
		}
	}
	return last
}
