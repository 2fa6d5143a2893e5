package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Outage is the way in which requests fail during an outage of the platform.
type Outage string

// The kinds of outage. OutageDrop closes the connection before the request takes effect,
// which the client can't distinguish from a lost response. OutageUnavailable responds
// with status 503.
const (
	OutageNone        Outage = ""
	OutageDrop        Outage = "drop"
	OutageUnavailable Outage = "unavailable"
)

// AllWrites, as a number of writes in Faults, affects every write until the faults change.
const AllWrites = -1

// Faults are the active faults; the zero value means none.
type Faults struct {
	Outage Outage `json:"outage,omitempty"`
	// OutageRequests is the number of requests after which the outage ends; zero means
	// that it does not end.
	OutageRequests int `json:"outage_requests,omitempty"`
	// Delay is the wait before each request takes effect.
	Delay time.Duration `json:"delay_ns,omitempty"`
	// LoseResponses is the number of next writes that take effect and get no response, or
	// AllWrites.
	LoseResponses int `json:"lose_answers,omitempty"`
	// DelayedWrites is the number of next writes that get no response and take effect
	// only after WriteDelay, or AllWrites.
	DelayedWrites int           `json:"late_writes,omitempty"`
	WriteDelay    time.Duration `json:"late_by_ns,omitempty"`
}

type faultState struct {
	mu     sync.Mutex
	faults Faults
}

// SetFaults replaces the active faults.
func (s *Server) SetFaults(f Faults) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.faults = f
}

// Faults returns the active faults with their remaining counts.
func (s *Server) Faults() Faults {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	return s.faults.faults
}

// consume decrements the remaining count of a fault and reports whether the fault applies.
func consume(count *int) bool {
	if *count > 0 {
		*count--
		return true
	}
	return *count == AllWrites
}

// nextOutage returns the outage and the delay that apply to the next request.
func (f *faultState) nextOutage() (Outage, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	outage := f.faults.Outage
	if outage != OutageNone && f.faults.OutageRequests > 0 {
		if f.faults.OutageRequests--; f.faults.OutageRequests == 0 {
			f.faults.Outage = OutageNone
		}
	}
	return outage, f.faults.Delay
}

// writeFault returns whether the response to the next write is lost, and the delay of
// the write.
func (f *faultState) writeFault() (loseResponse bool, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if consume(&f.faults.DelayedWrites) {
		return true, f.faults.WriteDelay
	}
	return consume(&f.faults.LoseResponses), 0
}

// admit applies the outage and the delay to a request. It returns false if the request
// has ended.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) bool {
	outage, delay := s.faults.nextOutage()
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.Context().Done():
			return false
		}
	}
	switch outage {
	case OutageDrop:
		abortConnection()
	case OutageUnavailable:
		writeError(w, http.StatusServiceUnavailable, "outage")
		return false
	}
	return true
}

// abortConnection closes the connection of the current request without a response.
func abortConnection() { panic(http.ErrAbortHandler) }

// readHandler returns a handler that counts a read and applies the faults to it.
func (s *Server) readHandler(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.reads.Add(1)
		if s.admit(w, r) {
			h(w, r)
		}
	}
}

// writeHandler returns a handler that counts a write and applies the faults to it.
func (s *Server) writeHandler(apply func(body []byte, r *http.Request) response) http.HandlerFunc {
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
		loseResponse, delay := s.faults.writeFault()
		if delay > 0 {
			s.delayedWrites.Add(1)
			time.AfterFunc(delay, func() {
				defer s.delayedWrites.Done()
				apply(body, r)
			})
			abortConnection()
		}
		result := apply(body, r)
		if loseResponse {
			abortConnection()
		}
		writeJSON(w, result.status, result.body)
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
