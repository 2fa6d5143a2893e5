// Package service is a stand-in for a plain booking service. It counts how often each
// booking was executed, so that tests can detect repeated executions.
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

// RequestIDHeader is the header of the request id, which responses repeat.
const RequestIDHeader = "X-Request-Id"

const (
	maxBodyBytes        = 16 << 20
	maxReceivedRequests = 1024
)

// Options configures a Service.
type Options struct {
	// ID is the replica's name in responses.
	ID string
	// Delay is the time before each response; zero means none.
	Delay time.Duration
	// Executions is shared by the replicas of one service; nil creates a new counter.
	Executions *ExecutionCounter
}

// Faults are the faults that tests inject. The zero value of a field disables the fault.
// Scripts set them as JSON under the field names.
type Faults struct {
	// DropAtByte executes the request and closes the connection after this many bytes of
	// the response body; -1 closes it before the response.
	DropAtByte int
	// Stall executes the request and does not respond.
	Stall bool
	// NotRun rejects requests with {"run":"not_run"} and does not execute them.
	NotRun bool
	// WrongID responds with the request id of another request.
	WrongID bool
}

// ExecutionCounter counts the executions of bookings over all replicas of a service.
type ExecutionCounter struct {
	mu        sync.Mutex
	total     int
	byBooking map[string]int
}

// NewExecutionCounter returns a counter at zero.
func NewExecutionCounter() *ExecutionCounter { return &ExecutionCounter{byBooking: map[string]int{}} }

func (c *ExecutionCounter) add(bookingID string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total++
	c.byBooking[bookingID]++
	return c.total
}

// Total returns the number of executions.
func (c *ExecutionCounter) Total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
}

// ForBooking returns the number of executions of a booking.
func (c *ExecutionCounter) ForBooking(bookingID string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byBooking[bookingID]
}

// ReceivedRequest is a request as it arrived at the service.
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
	options    Options
	executions *ExecutionCounter
	mux        *http.ServeMux

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
	s := &Service{options: o, executions: o.Executions, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /bookings", s.handleBooking)
	s.mux.HandleFunc("GET /runs", s.handleRuns)
	s.mux.HandleFunc("/echo", s.handleEcho)
	return s
}

// Executions returns the counter of executions.
func (s *Service) Executions() *ExecutionCounter { return s.executions }

// SetFaults replaces the active faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
}

// ReceivedRequests returns the most recent requests: at most 1,024, with at most 16 MiB
// of bodies.
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
	for len(s.received) > maxReceivedRequests || s.receivedBytes > maxBodyBytes {
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
		s.writeResponse(w, r, Faults{}, http.StatusServiceUnavailable, map[string]string{"run": "not_run"})
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

type bookingResponse struct {
	BookingID string `json:"booking_id"`
	// Run is the number of executions so far over all requests and replicas.
	Run int `json:"run"`
}

func (s *Service) handleBooking(w http.ResponseWriter, r *http.Request) {
	booking := bookingResponse{}
	_ = json.NewDecoder(r.Body).Decode(&booking) // an invalid body is a booking without an id
	if booking.BookingID == "" {
		booking.BookingID = uuid.NewString()
	}
	booking.Run = s.executions.add(booking.BookingID)
	s.writeResponse(w, r, s.currentFaults(), http.StatusOK, booking)
}

func (s *Service) handleRuns(w http.ResponseWriter, r *http.Request) {
	s.writeResponse(w, r, s.currentFaults(), http.StatusOK, map[string]any{"runs": s.executions.Total()})
}

func (s *Service) handleEcho(w http.ResponseWriter, r *http.Request) {
	s.writeResponse(w, r, s.currentFaults(), http.StatusOK, map[string]any{
		"headers": r.Header, "query": r.URL.RawQuery, "trailers": r.Trailer, "replica": s.options.ID,
	})
}

func (s *Service) writeResponse(w http.ResponseWriter, r *http.Request, f Faults, status int, v any) {
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
