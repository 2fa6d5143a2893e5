package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Dimensions of the case "restart".
const (
	plainReplicas  = 8                     // one is 0.125 of them
	plainInterval  = 30 * time.Millisecond // a plain answer takes twice as long
	clientsPerHost = 6
	requestPause   = 60 * time.Millisecond
	crashes        = 8
	crashPause     = 2500 * time.Millisecond
	// answeringTimeout bounds the wait for a replica that is in the middle of an answer.
	answeringTimeout = time.Second
	// restartDelay is how long a supervisor waits before it starts a replica again.
	restartDelay = 20 * time.Millisecond
)

// restartCase crashes replicas of a plain service, whose answers have neither a length nor
// chunks, one after the other; each is started again at once. No answer may end as complete
// without its second half. Without the trouble no replica crashes.
func restartCase(s *site) (bool, error) {
	if _, err := s.startPlain(plainReplicas, true); err != nil {
		return false, err
	}
	clients := s.startClients()
	for n := range crashes {
		time.Sleep(crashPause)
		if s.trouble {
			if err := s.awaitAnswering().crashAndRestart(n); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(crashPause)
	answers := clients.stop()
	s.listAnswers(answers)
	counts := map[string]int{}
	broken := 0
	for _, a := range answers {
		switch {
		case !a.whole:
			counts["broken off"]++
		case a.status != http.StatusOK:
			counts[fmt.Sprintf("status %d", a.status)]++
		case strings.HasSuffix(a.body, secondHalf(a.id)) && strings.HasPrefix(a.body, firstHalf(a.id)):
			counts["success, whole"]++
		default:
			broken++
			s.note("%s: it lacks the second half, and has the stamp %q; the replicas had made %d of 2 pieces", a.String(), a.stamp, s.made(a.id))
		}
	}
	s.note("%d answers: %v", len(answers), counts)
	s.note("%d answers ended as complete without their second half", broken)
	if !s.trouble && counts["success, whole"] != len(answers) {
		return false, fmt.Errorf("without the trouble: %v", counts)
	}
	return broken > 0, nil
}

// awaitAnswering waits for a moment until a replica has written the first piece of an answer, and
// returns it.
func (s *site) awaitAnswering() *replica {
	for deadline := time.Now().Add(answeringTimeout); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		for _, r := range s.all() {
			if !r.hasEnded() && r.answering() > 0 {
				return r
			}
		}
	}
	return s.busiest()
}

// answering returns the number of answers of which the replica has written the first piece alone.
func (r *replica) answering() int {
	pieces := map[string]int{}
	for _, t := range r.told() {
		switch t.What {
		case "event":
			pieces[t.ID] = t.Piece
		case "ended":
			delete(pieces, t.ID)
		}
	}
	n := 0
	for _, piece := range pieces {
		if piece == 1 {
			n++
		}
	}
	return n
}

// crashAndRestart ends a replica with SIGKILL and starts it again at its address, under a new
// id, as its supervisor does.
func (r *replica) crashAndRestart(n int) error {
	at := time.Now()
	working := r.running()
	r.kill()
	time.Sleep(restartDelay)
	o := r.replicaOptions
	o.id = fmt.Sprintf("%s-again-%d", strings.Split(r.id, "-again")[0], n)
	next, err := r.site.startReplica(o)
	if err != nil {
		return err
	}
	r.site.note("%s crashed, and worked on %d requests; %s listens at its address %d ms later", r.id, working, next.id, time.Since(at).Milliseconds())
	time.AfterFunc(3*heartbeat, r.remove)
	return next.register("ready")
}

// startClients starts the usual clients at all hosts.
func (s *site) startClients() *clients { return startLoad(s.hosts, clientsPerHost, requestPause) }
