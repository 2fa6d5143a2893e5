package main

import (
	"net/http"
	"time"
)

// Dimensions of the case "stamp".
const (
	// spoiledShare is the share of its answers that a faulty replica spoils.
	spoiledShare = 0.05
	// faultTime is how long clients send requests while there are faulty replicas.
	faultTime = 5500 * time.Millisecond
)

// stampCase lets some of the plain replicas spoil some of their answers: they have a status, the id of
// the request and wrong bytes, but not the replica's stamp. No client may get such an answer as a
// success. Without the trouble no replica is faulty.
func stampCase(s *site) (bool, error) {
	spoils := 0.0
	if s.trouble {
		spoils = spoiledShare
	}
	if _, err := s.startPlain(plainReplicas, false, spoils); err != nil {
		return false, err
	}
	for _, r := range s.replicas {
		if r.spoils > 0 {
			s.note("%s spoils %g of its answers", r.id, r.spoils)
		}
	}
	clients, more := s.startClients(), s.startClients()
	time.Sleep(faultTime)
	answers := append(clients.stop(), more.stop()...)
	s.listAnswers(answers)
	broken := 0
	counts := map[int]int{}
	for _, a := range answers {
		counts[a.status]++
		if a.whole && a.status >= http.StatusOK && a.status < http.StatusMultipleChoices && a.stamp == "" {
			broken++
			s.note("%s: it has no stamp and begins with %q", a.String(), a.body[:min(len(a.body), 4)])
		}
	}
	s.note("%d answers by status: %v", len(answers), counts)
	s.note("%d clients got a success without a stamp", broken)
	return broken > 0, nil
}
