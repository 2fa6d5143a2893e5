// Package service is a stand-in for a plain booking service. It counts how often
// each booking was executed, so that tests can see a repetition.
package service

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
)

// RequestIDHeader is returned with the value that the request carried.
const RequestIDHeader = "X-Request-Id"

const (
	maxBodyBytes     = 16 << 20
	maxReceivedCalls = 1024
)

// Options sets up a service.
type Options struct {
	// ID is the replica's name in its answers.
	ID string
	// Delay passes before each answer; zero means none.
	Delay time.Duration
	// Executions is shared by the replicas of one service; nil makes a new one.
	Executions *ExecutionCounter
}

// Faults are switched on by tests. A zero field is off.
type Faults struct {
	// DropAtByte executes the request and closes the connection after so many bytes
	// of the response body; -1 closes it before the response.
	DropAtByte int
	// Stall executes the request and does not answer.
	Stall bool
	// NotRun rejects requests with {"run":"not_run"} and executes nothing.
	NotRun bool
	// WrongID answers under the request id of another request.
	WrongID bool
}

// Executions counts executions over all replicas of a service.
type ExecutionCounter struct {
	mu       sync.Mutex
	runs     int
	bookings map[string]int
}

// NewExecutionCounter returns an empty ledger.
func NewExecutionCounter() *ExecutionCounter { return &ExecutionCounter{bookings: map[string]int{}} }

func (l *ExecutionCounter) execute(bookingID string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs++
	l.bookings[bookingID]++
	return l.runs
}

// Executions returns the number of executions.
func (l *ExecutionCounter) Total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs
}

// ForBooking returns how often one booking was executed.
func (l *ExecutionCounter) ForBooking(bookingID string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bookings[bookingID]
}

// ReceivedRequests is a request as the service saw it.
type ReceivedRequest struct {
	Method   string
	Path     string
	RawQuery string
	Header   http.Header
	Trailer  http.Header
	Body     string
}

// Service is an http.Handler that behaves like a booking service.
type Service struct {
	options Options
	ledger  *ExecutionCounter
	mux     *http.ServeMux

	mu            sync.Mutex
	faults        Faults
	received      []ReceivedRequest
	receivedBytes int
}

// New returns a service.
func New(o Options) *Service {
	if o.Executions == nil {
		o.Executions = NewExecutionCounter()
	}
	s := &Service{options: o, ledger: o.Executions, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /bookings", s.book)
	s.mux.HandleFunc("GET /runs", s.runs)
	s.mux.HandleFunc("/echo", s.echo)
	return s
}

// Executions returns the count of executions.
func (s *Service) Executions() *ExecutionCounter { return s.ledger }

// SetFaults replaces the active faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
}

// ReceivedRequests returns the most recent requests, at most 1,024 and 16 MiB of bodies.
func (s *Service) ReceivedRequests() []ReceivedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ReceivedRequest(nil), s.received...)
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	s.mu.Lock()
	s.received = append(s.received, ReceivedRequest{
		r.Method, r.URL.Path, r.URL.RawQuery, r.Header.Clone(), r.Trailer.Clone(), string(body),
	})
	s.receivedBytes += len(body)
	for len(s.received) > maxReceivedCalls || s.receivedBytes > maxBodyBytes {
		s.receivedBytes -= len(s.received[0].Body)
		s.received = s.received[1:]
	}
	f := s.faults
	s.mu.Unlock()
	if id := r.Header.Get(RequestIDHeader); id != "" {
		if f.WrongID {
			id += "9"
		}
		w.Header().Set(RequestIDHeader, id)
	}
	if f.NotRun {
		s.answer(w, r, Faults{}, http.StatusServiceUnavailable, map[string]string{"run": "not_run"})
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	s.mux.ServeHTTP(w, r)
}

func (s *Service) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

type bookingAnswer struct {
	BookingID string `json:"booking_id"`
	// Run counts executions over all calls and replicas.
	Run int `json:"run"`
}

func (s *Service) book(w http.ResponseWriter, r *http.Request) {
	booking := bookingAnswer{}
	_ = json.NewDecoder(r.Body).Decode(&booking) // a body without an id gets a new id
	if booking.BookingID == "" {
		booking.BookingID = uuid.NewString()
	}
	booking.Run = s.ledger.execute(booking.BookingID)
	s.answer(w, r, s.currentFaults(), http.StatusOK, booking)
}

func (s *Service) runs(w http.ResponseWriter, r *http.Request) {
	s.answer(w, r, s.currentFaults(), http.StatusOK, map[string]any{"runs": s.ledger.Total()})
}

func (s *Service) echo(w http.ResponseWriter, r *http.Request) {
	s.answer(w, r, s.currentFaults(), http.StatusOK, map[string]any{
		"headers": r.Header, "query": r.URL.RawQuery, "trailers": r.Trailer, "replica": s.options.ID,
	})
}

func (s *Service) answer(w http.ResponseWriter, r *http.Request, f Faults, status int, v any) {
	if s.options.Delay > 0 {
		time.Sleep(s.options.Delay)
	}
	if f.Stall {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if f.DropAtByte < 0 {
		panic(http.ErrAbortHandler)
	}
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if f.DropAtByte > 0 && f.DropAtByte < len(body) {
		_, _ = w.Write(body[:f.DropAtByte])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}
