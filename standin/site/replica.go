package site

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ReplicaFaults are switched on by tests. A zero field is off.
type ReplicaFaults struct {
	// LoseResponse runs a request and closes the connection without an answer.
	LoseResponse bool
	// DropAfterEvents breaks a stream off within the event after so many.
	DropAfterEvents int
	// Shed rejects requests as a full replica does.
	Shed bool
	// WrongID answers under the id of another request.
	WrongID bool
	// FailRequests answers so many runs with 500.
	FailRequests int
}

// Execution is a request that a replica ran.
type Execution struct {
	ID, Method, URI, Body string
	Header                http.Header
}

// ReplicaOptions set up a Replica.
type ReplicaOptions struct {
	ID, Service, Zone string
	// Model makes the replica an engine that answers with streams.
	Model string
	// StreamEvents is the number of events of a stream, EventInterval the pause between them.
	StreamEvents  int
	EventInterval time.Duration
	// ProcessingTime is how long a plain request runs.
	ProcessingTime time.Duration
	// LoadTime is how long new weights take.
	LoadTime time.Duration
	// WeightsVersion is the weights version at the start; zero means 1.
	WeightsVersion int64
}

// Replica is a target.
type Replica struct {
	options ReplicaOptions

	mu       sync.Mutex
	faults   ReplicaFaults
	runs     []Execution
	orders   []uint64
	version  int64
	busy     bool
	sequence int64
	fence    uint64
}

// NewReplica returns a replica that is not registered.
func NewReplica(o ReplicaOptions) *Replica {
	return &Replica{options: o, version: max(1, o.WeightsVersion)}
}

// SetFaults replaces the faults.
func (r *Replica) SetFaults(f ReplicaFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Executions returns the requests that ran.
func (r *Replica) Executions() []Execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Execution(nil), r.runs...)
}

// AcceptedFences returns the fencing numbers of the orders that were accepted.
func (r *Replica) AcceptedFences() []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]uint64(nil), r.orders...)
}

// WeightsVersion returns the weights version.
func (r *Replica) WeightsVersion() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

type modelState struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
}

type entry struct {
	Service string       `json:"service"`
	Address string       `json:"address"`
	Zone    string       `json:"zone"`
	Version string       `json:"version"`
	Slots   int          `json:"slots"`
	State   string       `json:"state"`
	Models  []modelState `json:"models,omitempty"`
	Seq     int64        `json:"seq"`
	Born    int64        `json:"born"`
}

// Register writes the replica's entry to the store.
func (r *Replica) Register(s *Store, address, state string) error {
	r.mu.Lock()
	e := entry{
		Service: r.options.Service, Address: address, Zone: r.options.Zone, Version: "v1",
		Slots: 8, State: state, Seq: r.sequence, Born: 1,
	}
	if r.options.Model != "" {
		e.Models = []modelState{{r.options.Model, r.version}}
	}
	r.mu.Unlock()
	value, err := json.Marshal(e)
	if err != nil {
		return err
	}
	s.Put("servers", r.options.ID, value)
	return nil
}

// ServeHTTP implements http.Handler.
func (r *Replica) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	if want := in.Header.Get("X-Expect-Instance"); want != "" && want != r.options.ID {
		w.Header().Set("X-Instance-Id", r.options.ID)
		w.Header().Set("X-Request-Id", in.Header.Get("X-Request-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch in.URL.Path {
	case "/api/report":
		r.report(w)
	case "/api/order":
		r.order(w, in)
	default:
		if strings.HasPrefix(in.URL.Path, "/api/") {
			http.NotFound(w, in) // this stand-in has no cache events
			return
		}
		r.request(w, in)
	}
}

func (r *Replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{
		"models": []modelState{{r.options.Model, r.version}}, "busy": r.busy, "seq": r.sequence, "born": 1,
	})
}

func (r *Replica) order(w http.ResponseWriter, in *http.Request) {
	var o struct {
		Version  int64  `json:"version"`
		Holder   string `json:"holder"`
		Fence    uint64 `json:"fence"`
		Expected *int64 `json:"expected_rev"`
	}
	if err := json.NewDecoder(in.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case o.Fence < r.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case r.busy || o.Expected != nil && *o.Expected != r.sequence:
		w.WriteHeader(http.StatusConflict)
		return
	case o.Version == r.version:
		w.WriteHeader(http.StatusOK)
		return
	}
	r.fence, r.busy = o.Fence, true
	r.sequence++
	r.orders = append(r.orders, o.Fence)
	time.AfterFunc(r.options.LoadTime, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.version, r.busy = o.Version, false
	})
	w.WriteHeader(http.StatusAccepted)
}

// accept notes a run, or returns the status with which the request is rejected.
func (r *Replica) accept(in *http.Request, body []byte) (ReplicaFaults, int64, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if want := in.Header.Get("X-Expect-Version"); want != "" && want != strconv.FormatInt(r.version, 10) {
		return r.faults, r.version, http.StatusMisdirectedRequest
	}
	if r.faults.Shed || r.busy {
		return r.faults, r.version, http.StatusServiceUnavailable
	}
	r.runs = append(r.runs, Execution{
		ID: in.Header.Get("X-Request-Id"), Method: in.Method, URI: in.RequestURI, Body: string(body), Header: in.Header.Clone(),
	})
	if r.faults.FailRequests > 0 {
		r.faults.FailRequests--
		return r.faults, r.version, http.StatusInternalServerError
	}
	return r.faults, r.version, http.StatusOK
}

func (r *Replica) request(w http.ResponseWriter, in *http.Request) {
	body, err := io.ReadAll(in.Body)
	if err != nil {
		return
	}
	faults, version, status := r.accept(in, body)
	id := in.Header.Get("X-Request-Id")
	if faults.WrongID {
		id = "another-request"
	}
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Weight-Versions", strconv.FormatInt(version, 10))
	if status == http.StatusMisdirectedRequest || status == http.StatusServiceUnavailable {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	if faults.LoseResponse {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Response-Stamp", "stamp-"+id)
	if r.options.StreamEvents > 0 && status == http.StatusOK {
		r.stream(w, in, faults)
		return
	}
	time.Sleep(r.options.ProcessingTime)
	w.WriteHeader(status)
	_, _ = io.WriteString(w, "answer to "+id)
}

func (r *Replica) stream(w http.ResponseWriter, in *http.Request, faults ReplicaFaults) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	last, err := strconv.Atoi(in.Header.Get("Last-Event-Id"))
	if err != nil {
		last = 0
	}
	for i := last + 1; i <= r.options.StreamEvents; i++ {
		if faults.DropAfterEvents > 0 && i > faults.DropAfterEvents {
			_, _ = fmt.Fprintf(w, "id: %d\nda", i)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, eventText(i)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-in.Context().Done():
			return
		case <-time.After(r.options.EventInterval):
		}
	}
}
