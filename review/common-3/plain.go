package main

import (
	"fmt"
	"time"
)

// startPlain starts plain replicas and two hosts, and waits until they are in touch.
func (s *site) startPlain(count int, unframed bool) ([]*replica, error) {
	if err := s.putConfig(); err != nil {
		return nil, err
	}
	var replicas []*replica
	for i := range count {
		r, err := s.startReplica(replicaOptions{
			id: fmt.Sprintf("i-desk-%d", i), service: plainService, zone: []string{"zone-a", "zone-b"}[i%2], interval: plainInterval, unframed: unframed,
		})
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
