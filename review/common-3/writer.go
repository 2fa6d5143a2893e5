package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Dimensions of the case "writer".
const (
	// strangeDelay is when the other writer writes after the notice. It is longer than
	// drainBound, and lies between two heartbeats of the replica.
	strangeDelay = 3 * time.Second
	// lingering is how long the replica goes on serving after its notice at most. It exits sooner
	// once it works on a request after the other writer has written.
	lingering = 3500 * time.Millisecond
)

// writerCase lets a plain replica leave while clients send requests. Another writer then writes
// an entry of that replica that lacks a field. No request may reach the replica later than
// drainBound after its notice. Without the trouble the other writer writes nothing.
func writerCase(s *site) (bool, error) {
	replicas, err := s.startPlain(plainReplicas, false, 0)
	if err != nil {
		return false, err
	}
	leaving := replicas[0]
	clients := s.startClients()
	time.Sleep(contactTime)
	if err := leaving.sayLeaving(); err != nil {
		return false, err
	}
	if err := leaving.register("draining"); err != nil {
		return false, err
	}
	noticeAt := time.Now()
	stopHeartbeat := leaving.keepRegistered("draining")
	time.Sleep(strangeDelay)
	if s.trouble {
		entry := leaving.entry("ready")
		delete(entry, "born")
		value, err := json.Marshal(entry)
		if err != nil {
			return false, err
		}
		s.store.Put("servers", leaving.id, value)
		s.note("another writer has written, as the entry of %s: %s", leaving.id, value)
	}
	for time.Since(noticeAt) < lingering && (!s.trouble || leaving.running() == 0) {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(plainInterval / 2)
	stopHeartbeat()
	leaving.remove()
	leaving.kill()
	s.note("%s has exited", leaving.id)
	time.Sleep(contactTime)
	answers := clients.stop()
	s.listAnswers(answers)
	sent := map[string]answer{}
	for _, a := range answers {
		sent[a.id] = a
	}
	late, lost := 0, 0
	for _, t := range leaving.told() {
		if t.What != "arrived" || t.At.Before(noticeAt.Add(drainBound)) {
			continue
		}
		a := sent[t.ID]
		late++
		if a.status != http.StatusOK || !a.whole {
			lost++
		}
		s.note("%s, reached %s %d ms after its notice", a.String(), leaving.id, t.At.Sub(noticeAt).Milliseconds())
	}
	s.note("%d requests reached %s later than %v after its notice; %d of them failed", late, leaving.id, drainBound, lost)
	return late > 0, nil
}

// faultyReplicas is the number of replicas that may spoil answers, 0.25 of plainReplicas.
const faultyReplicas = 2

// startPlain starts plain replicas and two hosts, and waits until they are in touch. The faulty
// replicas spoil a share of their answers.
func (s *site) startPlain(count int, unframed bool, spoils float64) ([]*replica, error) {
	if err := s.putConfig(); err != nil {
		return nil, err
	}
	var replicas []*replica
	for i := range count {
		o := replicaOptions{
			id: fmt.Sprintf("i-desk-%d", i), service: plainService, zone: []string{"zone-a", "zone-b"}[i%2], interval: plainInterval, unframed: unframed,
		}
		if i < faultyReplicas {
			o.spoils = spoils
		}
		r, err := s.startReplica(o)
		if err != nil {
			return nil, err
		}
		if err := r.register("ready"); err != nil {
			return nil, err
		}
		replicas = append(replicas, r)
	}
	if err := s.addHosts(2, func(int) string { return s.storeURL }); err != nil {
		return nil, err
	}
	if err := s.startHosts(); err != nil {
		return nil, err
	}
	time.Sleep(contactTime)
	return replicas, nil
}

// keepRegistered writes the replica's entry with each heartbeat until the returned function is
// called.
func (r *replica) keepRegistered(state string) (stop func()) {
	stopped := make(chan struct{})
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-stopped:
				return
			case <-ticker.C:
				_ = r.write(state) // it was encoded before
			}
		}
	}()
	return func() { close(stopped) }
}
