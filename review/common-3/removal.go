package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/sequoiaroad/sequoiaroad/standin/relay"
)

// Dimensions of the case "removal".
const (
	// cutAfterStop is when one host is cut off after the other one got SIGTERM, and cutFor how
	// long it stays so.
	cutAfterStop = 2 * time.Second
	cutFor       = 5400 * time.Millisecond
	// restartPause is how long the platform waits before it starts a process again.
	restartPause = 500 * time.Millisecond
	// quiet is how long after the cut no booking is sent. It is longer than contactTime.
	quiet    = contactTime + 300*time.Millisecond
	bookings = 32
	// exitDelay is when the replica that leaves exits after the bookings were sent.
	exitDelay = 45 * time.Millisecond
)

// removalCase cuts one of two hosts off from the store for a moment, while the other one is stopped
// and started again as planned. Meanwhile a plain replica leaves, whose entry is removed, and another
// one comes. Later, with both hosts in touch, no booking may reach the one that left. Without
// the trouble no host is cut off.
func removalCase(s *site) (bool, error) {
	if err := s.putConfig(); err != nil {
		return false, err
	}
	var replicas []*replica
	add := func() error {
		r, err := s.startReplica(replicaOptions{
			id: fmt.Sprintf("i-desk-%d", len(replicas)), service: plainService, zone: []string{"zone-a", "zone-b"}[len(replicas)%2], interval: plainInterval,
		})
		if err != nil {
			return err
		}
		replicas = append(replicas, r)
		return r.register("ready")
	}
	for range plainReplicas {
		if err := add(); err != nil {
			return false, err
		}
	}
	link, err := relay.New(s.storeURL)
	if err != nil {
		return false, err
	}
	s.closers = append(s.closers, link.Close)
	storeOf := func(i int) string { return []string{s.storeURL, link.Addr()}[i] }
	if err := s.addHosts(2, storeOf); err != nil {
		return false, err
	}
	if err := s.startHosts(); err != nil {
		return false, err
	}
	restarted, cut := s.hosts[0], s.hosts[1]
	time.Sleep(contactTime)
	if a := cut.send(http.MethodPost, "/book/1", nil); a.status != http.StatusOK {
		return false, fmt.Errorf("before the cut: %s", a.String())
	}
	s.note("%s gets SIGTERM", restarted.id)
	if err := restarted.terminate(); err != nil {
		return false, err
	}
	time.Sleep(cutAfterStop)
	if s.trouble {
		s.note("%s is cut off from the store", cut.id)
		link.Cut(relay.Drop)
	}
	cutAt := time.Now()
	if err := restarted.awaitExit(); err != nil {
		return false, err
	}
	s.note("%s has exited", restarted.id)
	leaving := replicas[0]
	if err := leaving.sayLeaving(); err != nil {
		return false, err
	}
	leaving.remove()
	removedAt := time.Now()
	if err := add(); err != nil {
		return false, err
	}
	time.Sleep(restartPause)
	s.note("%s starts again", restarted.id)
	if err := restarted.start(); err != nil {
		return false, err
	}
	if err := restarted.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(cutFor - time.Since(cutAt))
	if s.trouble {
		s.note("%s reaches the store again", cut.id)
		link.Restore()
	}
	time.Sleep(quiet)
	s.note("both hosts are in touch; %d bookings are sent to %s", bookings, cut.id)
	answers := make([]answer, bookings)
	var running sync.WaitGroup
	for i := range answers {
		running.Go(func() { answers[i] = cut.send(http.MethodPost, "/book/1", nil) })
	}
	time.Sleep(exitDelay)
	leaving.kill()
	s.note("%s has exited", leaving.id)
	running.Wait()
	s.listAnswers(answers)
	late, lost := 0, 0
	byID := map[string]answer{}
	for _, a := range answers {
		byID[a.id] = a
	}
	for _, t := range leaving.told() {
		if t.What == "arrived" && t.At.After(removedAt.Add(drainBound)) {
			late++
			a := byID[t.ID]
			if a.status != http.StatusOK || !a.whole {
				lost++
			}
			s.note("%s, reached %s %d ms after its entry was removed", a.String(), leaving.id, t.At.Sub(removedAt).Milliseconds())
		}
	}
	s.note("%d of %d bookings reached %s later than %v after its entry was removed; %d of them failed", late, bookings, leaving.id, drainBound, lost)
	return late > 0, nil
}
