package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Outage says how requests fail while the platform is down.
type Outage string

// The kinds of outage. A dropped connection is closed before the request has any
// effect; the client can't tell this from a lost answer.
const (
	OutageNone        Outage = ""
	OutageDrop        Outage = "drop"
	OutageUnavailable Outage = "unavailable"
)

// AllWrites as a number of writes means every write until the faults change.
const AllWrites = -1

// Faults are the faults in force; the zero value means none.
type Faults struct {
	Outage Outage `json:"outage,omitempty"`
	// OutageRequests limits the outage to the next requests; zero means all.
	OutageRequests int `json:"outage_requests,omitempty"`
	// Delay holds each request back before it takes effect.
	Delay time.Duration `json:"delay_ns,omitempty"`
	// LoseResponses is the number of next writes that take effect and get no answer,
	// or AllWrites.
	LoseResponses int `json:"lose_answers,omitempty"`
	// DelayedWrites is the number of next writes that get no answer and take effect
	// only after WriteDelay, or AllWrites.
	DelayedWrites int           `json:"late_writes,omitempty"`
	WriteDelay    time.Duration `json:"late_by_ns,omitempty"`
}

type faultState struct {
	mu     sync.Mutex
	faults Faults
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.faults = f
}

// Faults returns the faults in force, with the counts that are left.
func (s *Server) Faults() Faults {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	return s.faults.faults
}

// take counts one use of a fault.
func take(count *int) bool {
	if *count > 0 {
		*count--
		return true
	}
	return *count == AllWrites
}

func (f *faultState) outage() (Outage, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	kind := f.faults.Outage
	if kind != OutageNone && f.faults.OutageRequests > 0 {
		if f.faults.OutageRequests--; f.faults.OutageRequests == 0 {
			f.faults.Outage = OutageNone
		}
	}
	return kind, f.faults.Delay
}

// writeFault returns whether the next write loses its answer, and by how long it
// is late.
func (f *faultState) writeFault() (lose bool, late time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if take(&f.faults.DelayedWrites) {
		return true, f.faults.WriteDelay
	}
	return take(&f.faults.LoseResponses), 0
}

// admit applies outage and delay; it returns false if the request ended.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) bool {
	kind, delay := s.faults.outage()
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.Context().Done():
			return false
		}
	}
	switch kind {
	case OutageDrop:
		closeConnection()
	case OutageUnavailable:
		writeError(w, http.StatusServiceUnavailable, "outage")
		return false
	}
	return true
}

// closeConnection ends the request without an answer.
func closeConnection() { panic(http.ErrAbortHandler) }

func (s *Server) read(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.reads.Add(1)
		if s.admit(w, r) {
			h(w, r)
		}
	}
}

func (s *Server) write(apply func(body []byte, r *http.Request) answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.writes.Add(1)
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			writeError(w, http.StatusBadRequest, err.Error())
			return
		}
		if !s.admit(w, r) {
			return
		}
		lose, late := s.faults.writeFault()
		if late > 0 {
			s.delayed.Add(1)
			time.AfterFunc(late, func() {
				defer s.delayed.Done()
				apply(body, r)
			})
			closeConnection()
		}
		a := apply(body, r)
		if lose {
			closeConnection()
		}
		writeJSON(w, a.status, a.body)
	}
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Faults())
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&f); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	s.SetFaults(f)
	writeJSON(w, http.StatusOK, f)
}
