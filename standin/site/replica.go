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

// ReplicaFaults are the faults that tests inject. The zero value of a field disables the
// fault.
type ReplicaFaults struct {
	// LoseResponse executes a request and closes the connection without a response.
	LoseResponse bool
	// DropAfterEvents closes the connection of a stream in the middle of the event that
	// follows this many events.
	DropAfterEvents int
	// CutAfterLastEvent closes the connection of a stream after its last event, before the
	// end of the response, unless the stream was resumed.
	CutAfterLastEvent bool
	// EndAfterStream ends the replica and closes its port when it has sent a whole stream.
	EndAfterStream bool
	// Shed rejects requests, like an overloaded replica.
	Shed bool
	// WrongID responds with the id of another request.
	WrongID bool
	// FailRequests is the number of next requests that are executed and fail with
	// FailStatus; zero means status 500.
	FailRequests int
	FailStatus   int
	// CrashPart is a part of prompts on which the replica crashes. It answers nothing
	// afterwards.
	CrashPart string
	// CrashPoint is how far the response to such a prompt gets.
	CrashPoint CrashPoint
	// StallAfterHead sends the head of a stream and no event until the caller leaves.
	StallAfterHead bool
	// Hold keeps requests in the queue until the fault ends or their caller leaves.
	Hold bool
	// RateLimit is the limit of requests a second that each response names; empty names
	// none.
	RateLimit string
	// Leaving makes each response say that the replica leaves.
	Leaving bool
	// RetryAfter rejects requests and asks for a pause; zero disables it.
	RetryAfter time.Duration
	// RejectDelay is how long the replica takes to reject a request.
	RejectDelay time.Duration
	// ResumeResponse replaces the response to requests that resume a stream, unless its
	// status is zero.
	ResumeResponse FixedResponse
	// LoseReports closes the connections of reads of the replica's report without a
	// response, so that no host orders weights.
	LoseReports bool
}

// CrashPoint is how far a response gets before its replica crashes.
type CrashPoint int

// A crash after the head leaves the replica's port open, so that only the response shows
// it; the others close the port, as the end of a process does.
const (
	CrashAfterHead CrashPoint = iota
	CrashBeforeHead
	CrashAfterEvent
	CrashInBody
	CrashInUnframedBody
)

// crashes reports whether the replica crashes on a request at a point of its response.
func (f *ReplicaFaults) crashes(req *http.Request, at CrashPoint) bool {
	return f.CrashPart != "" && f.CrashPoint == at && strings.Contains(req.Header.Get("X-Prefix-Hash"), f.CrashPart)
}

// FixedResponse is a response of a faulty replica.
type FixedResponse struct {
	Status            int
	ContentType, Body string
}

// holdCheckInterval is the interval at which a held request checks whether it may start.
const holdCheckInterval = 5 * time.Millisecond

// Arrival is a request that reached a replica, and what the replica asked for in its
// response.
type Arrival struct {
	ID         string
	At         time.Time
	Started    int64 // the incarnation of the replica
	RateLimit  string
	Leaving    bool
	RetryAfter time.Duration
	// Shed means that the request was turned away with status 503.
	Shed bool
}

// Execution is a request that a replica executed.
type Execution struct {
	ID, Method, URI, Body string
	Header                http.Header
	StartedAt             time.Time
	// WeightsVersion is the weights version of the replica when the execution began.
	WeightsVersion int64
}

// ReplicaOptions configures a Replica.
type ReplicaOptions struct {
	ID, Service, Zone string
	// Model makes the replica register as an engine with this model.
	Model string
	// StreamEvents is the number of events of each stream, and EventInterval the time
	// between them. Zero events make the replica send plain responses.
	StreamEvents  int
	EventInterval time.Duration
	// Unframed streams have neither a length nor chunks and end with their connection.
	Unframed bool
	// ProcessingTime is the duration of a request with a plain response.
	ProcessingTime time.Duration
	// LoadTime is the duration of a load of weights. It begins once the requests that
	// the replica runs have ended.
	LoadTime time.Duration
	// WeightsVersion is the initial weights version; zero means 1.
	WeightsVersion int64
}

// Replica is a target.
type Replica struct {
	options ReplicaOptions

	mu                  sync.Mutex
	faults              ReplicaFaults
	started             int64
	arrivals            []Arrival
	executions          []Execution
	acceptedOrders      []AcceptedOrder
	weightsVersion      int64
	loading             bool
	crashed             bool
	stopServing         func() // nil if the replica does not serve by itself
	running             int
	loadWhenIdle        func() // starts the load of an accepted order; nil if none waits
	store               *Store // the store in which the replica is registered
	sequence            int64
	highestFencingToken uint64
}

// NewReplica returns a replica that is not registered.
func NewReplica(o ReplicaOptions) *Replica {
	return &Replica{options: o, weightsVersion: max(1, o.WeightsVersion), started: 1}
}

// SetFaults replaces the active faults.
func (r *Replica) SetFaults(f ReplicaFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Executions returns the requests that the replica executed.
func (r *Replica) Executions() []Execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Execution(nil), r.executions...)
}

// Arrivals returns the requests that reached the replica, including those that it rejected.
func (r *Replica) Arrivals() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Arrival(nil), r.arrivals...)
}

// Restart begins a new incarnation under the same ID, which has lost the faults and the
// orders of the one before.
func (r *Replica) Restart(s *Store, address string) error {
	r.mu.Lock()
	r.started++
	r.faults, r.sequence, r.highestFencingToken = ReplicaFaults{}, 0, 0
	r.mu.Unlock()
	return r.Register(s, address, "ready")
}

// Started returns the start time of the current incarnation.
func (r *Replica) Started() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.started
}

// AcceptedOrder is an order that a replica carried out.
type AcceptedOrder struct {
	Holder       string
	FencingToken uint64
	At           time.Time
	Started      int64 // the incarnation of the replica
}

// AcceptedOrders returns the accepted orders.
func (r *Replica) AcceptedOrders() []AcceptedOrder {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]AcceptedOrder(nil), r.acceptedOrders...)
}

// WeightsVersion returns the version of the loaded weights.
func (r *Replica) WeightsVersion() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.weightsVersion
}

type modelState struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
}

// registration is the row of a replica in the table of targets.
type registration struct {
	Service  string       `json:"service"`
	Address  string       `json:"address"`
	Zone     string       `json:"zone"`
	Version  string       `json:"version"`
	Slots    int          `json:"slots"`
	State    string       `json:"state"`
	WarmUpMs float64      `json:"cold_left_ms"`
	Stage    string       `json:"stage,omitempty"`
	Models   []modelState `json:"models,omitempty"`
	Sequence int64        `json:"seq"`
	Started  int64        `json:"born"`
}

// Register writes the replica's row to the store.
func (r *Replica) Register(s *Store, address, state string) error {
	r.mu.Lock()
	r.store = s
	reg := registration{
		Service: r.options.Service, Address: address, Zone: r.options.Zone, Version: "v1",
		Slots: 8, State: state, Sequence: r.sequence, Started: r.started,
	}
	if r.options.Model != "" {
		reg.Stage, reg.Models = "colocated", []modelState{{r.options.Model, r.weightsVersion}}
	}
	r.mu.Unlock()
	value, err := json.Marshal(reg)
	if err != nil {
		return err
	}
	s.Put("servers", r.options.ID, value)
	return nil
}

// ServeHTTP implements http.Handler.
func (r *Replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if r.hasCrashed() {
		panic(http.ErrAbortHandler)
	}
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != r.options.ID {
		w.Header().Set("X-Instance-Id", r.options.ID)
		w.Header().Set("X-Request-Id", req.Header.Get("X-Request-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch req.URL.Path {
	case "/api/report":
		r.handleReport(w)
	case "/api/order":
		r.handleOrder(w, req)
	default:
		if strings.HasPrefix(req.URL.Path, "/api/") {
			http.NotFound(w, req) // this stand-in has no cache events
			return
		}
		r.handleRequest(w, req)
	}
}

func (r *Replica) handleReport(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.faults.LoseReports {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"models": []modelState{{r.options.Model, r.weightsVersion}}, "busy": r.loading, "seq": r.sequence, "born": r.started,
	})
}

// switchWait is the switch mode in which running requests end before the load begins. The
// other modes of the platform are not implemented, since no host uses them.
const switchWait = "wait"

// order is the body of an order to load weights.
type order struct {
	Operation    string `json:"op"`
	Model        string `json:"model"`
	Version      int64  `json:"version"`
	SwitchMode   string `json:"switch_mode"`
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fence"`
	Expected     *int64 `json:"expected_rev"`
}

func (r *Replica) handleOrder(w http.ResponseWriter, req *http.Request) {
	var o order
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil || o.Holder == "" || o.FencingToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w.WriteHeader(r.acceptOrder(o))
}

// acceptOrder returns the status of the response to an order, and starts the load if the
// status is 202. The caller holds the mutex.
func (r *Replica) acceptOrder(o order) int {
	switch {
	case o.Operation != "version" || o.Model != r.options.Model || o.SwitchMode != switchWait || !r.published(o.Version):
		return http.StatusBadRequest
	case o.FencingToken < r.highestFencingToken:
		return http.StatusPreconditionFailed
	}
	r.highestFencingToken = o.FencingToken
	switch {
	case r.loading || o.Expected != nil && *o.Expected != r.sequence:
		return http.StatusConflict
	case o.Version == r.weightsVersion:
		return http.StatusOK
	}
	r.loading = true
	r.sequence++
	r.acceptedOrders = append(r.acceptedOrders, AcceptedOrder{o.Holder, o.FencingToken, time.Now(), r.started})
	r.loadWhenIdle = func() {
		time.AfterFunc(r.options.LoadTime, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.weightsVersion, r.loading = o.Version, false
		})
	}
	r.startLoadIfIdle()
	return http.StatusAccepted
}

// published reports whether the operator has published a weights version: versions begin
// at 1 and increase. The caller holds the mutex.
func (r *Replica) published(version int64) bool {
	var newest struct {
		Version int64 `json:"version"`
	}
	if r.store != nil {
		_ = json.Unmarshal(r.store.Rows("op")["version/"+r.options.Model], &newest) // fails if there is no row
	}
	return version >= 1 && version <= max(1, newest.Version)
}

// startLoadIfIdle starts the load of an accepted order once no request runs. The caller
// holds the mutex.
func (r *Replica) startLoadIfIdle() {
	if r.running == 0 && r.loadWhenIdle != nil {
		r.loadWhenIdle()
		r.loadWhenIdle = nil
	}
}

// end records the end of a request that admit has let run.
func (r *Replica) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	r.startLoadIfIdle()
}

// admit records an execution, unless the request is rejected; the caller calls end after
// it. It returns the active faults, the weights version and the status of the response.
func (r *Replica) admit(req *http.Request, body []byte) (ReplicaFaults, int64, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if expected := req.Header.Get("X-Expect-Version"); expected != "" && expected != strconv.FormatInt(r.weightsVersion, 10) {
		return r.faults, r.weightsVersion, http.StatusMisdirectedRequest
	}
	if r.faults.Shed || r.faults.RetryAfter > 0 || r.loading {
		return r.faults, r.weightsVersion, http.StatusServiceUnavailable
	}
	r.running++
	r.executions = append(r.executions, Execution{
		ID: req.Header.Get("X-Request-Id"), Method: req.Method, URI: req.RequestURI, Body: string(body), Header: req.Header.Clone(),
		StartedAt: time.Now(), WeightsVersion: r.weightsVersion,
	})
	if r.faults.FailRequests > 0 {
		r.faults.FailRequests--
		return r.faults, r.weightsVersion, http.StatusInternalServerError
	}
	return r.faults, r.weightsVersion, http.StatusOK
}

// Serve serves requests on a new port of the loopback address until stop is called.
func (r *Replica) Serve() (address string, stop func(), err error) {
	address, stop, err = Serve(r)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopServing = stop
	return address, stop, err
}

// crash ends the handler, and all answers from now on.
func (r *Replica) crash() {
	r.mu.Lock()
	r.crashed = true
	r.mu.Unlock()
	panic(http.ErrAbortHandler)
}

// crashWithPort also closes the port and all connections.
func (r *Replica) crashWithPort() {
	r.mu.Lock()
	stop := r.stopServing
	r.mu.Unlock()
	if stop != nil {
		stop()
	}
	r.crash()
}

func (r *Replica) hasCrashed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashed
}

// waitInQueue waits while requests are held. It returns false if the caller has left.
func (r *Replica) waitInQueue(req *http.Request) bool {
	held := func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.faults.Hold
	}
	for held() {
		select {
		case <-req.Context().Done():
			return false
		case <-time.After(holdCheckInterval):
		}
	}
	return true
}

// recordArrival records that a request has arrived, and returns its place among the
// arrivals.
func (r *Replica) recordArrival(req *http.Request) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, Arrival{
		ID: req.Header.Get("X-Request-Id"), At: time.Now(), Started: r.started,
		RateLimit: r.faults.RateLimit, Leaving: r.faults.Leaving, RetryAfter: r.faults.RetryAfter,
	})
	return len(r.arrivals) - 1
}

func (r *Replica) recordShed(arrival int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals[arrival].Shed = true
}

// setBackpressure sets the headers in which a replica asks for fewer requests.
// A pause is stated only with status 503.
func setBackpressure(h http.Header, f ReplicaFaults, status int) {
	if f.RateLimit != "" {
		h.Set("Server-Limit", f.RateLimit)
	}
	if f.Leaving {
		h.Set("Server-Leaving", "1")
	}
	if f.RetryAfter > 0 && status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', -1, 64))
	}
}

func (r *Replica) handleRequest(w http.ResponseWriter, req *http.Request) {
	arrival := r.recordArrival(req)
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	if !r.waitInQueue(req) {
		return
	}
	faults, version, status := r.admit(req, body)
	id := req.Header.Get("X-Request-Id")
	if faults.WrongID {
		id = "another-request"
	}
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Weight-Versions", strconv.FormatInt(version, 10))
	setBackpressure(w.Header(), faults, status)
	if status == http.StatusServiceUnavailable {
		r.recordShed(arrival)
	}
	if status == http.StatusMisdirectedRequest || status == http.StatusServiceUnavailable {
		time.Sleep(faults.RejectDelay)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	defer r.end()
	if status == http.StatusInternalServerError && faults.FailStatus != 0 {
		status = faults.FailStatus
	}
	if faults.LoseResponse {
		panic(http.ErrAbortHandler)
	}
	if faults.crashes(req, CrashBeforeHead) {
		r.crashWithPort()
	}
	w.Header().Set("X-Response-Stamp", "stamp-"+id)
	if fixed := faults.ResumeResponse; fixed.Status != 0 && req.Header.Get("Last-Event-Id") != "" {
		w.Header().Set("Content-Type", fixed.ContentType)
		if r.options.Unframed {
			w.Header().Set("Transfer-Encoding", "identity") // net/http sends no framing then
		}
		w.WriteHeader(fixed.Status)
		_, _ = io.WriteString(w, fixed.Body)
		return
	}
	if r.options.StreamEvents > 0 && status == http.StatusOK {
		r.writeStream(w, req, faults)
		return
	}
	time.Sleep(r.options.ProcessingTime)
	answer := "answer to " + id
	if faults.crashes(req, CrashInBody) {
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)+1))
	}
	if faults.crashes(req, CrashInUnframedBody) {
		w.Header().Set("Transfer-Encoding", "identity") // net/http sends no framing then
	}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, answer)
	if faults.crashes(req, CrashInBody) || faults.crashes(req, CrashInUnframedBody) {
		_ = http.NewResponseController(w).Flush()
		r.crashWithPort()
	}
}

func (r *Replica) writeStream(w http.ResponseWriter, req *http.Request, faults ReplicaFaults) {
	w.Header().Set("Content-Type", "text/event-stream")
	if r.options.Unframed {
		w.Header().Set("Transfer-Encoding", "identity") // net/http sends no framing then
	}
	w.WriteHeader(http.StatusOK)
	if faults.crashes(req, CrashAfterHead) {
		_ = http.NewResponseController(w).Flush()
		r.crash()
	}
	if faults.StallAfterHead {
		_ = http.NewResponseController(w).Flush()
		<-req.Context().Done()
		return
	}
	lastEventID, err := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if err != nil {
		lastEventID = 0
	}
	for i := lastEventID + 1; i <= r.options.StreamEvents; i++ {
		if faults.DropAfterEvents > 0 && i > faults.DropAfterEvents {
			_, _ = fmt.Fprintf(w, "id: %d\nda", i)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, formatEvent(i)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		if faults.crashes(req, CrashAfterEvent) {
			r.crashWithPort()
		}
		select {
		case <-req.Context().Done():
			return
		case <-time.After(r.options.EventInterval):
		}
	}
	if faults.EndAfterStream {
		r.crashWithPort()
	}
	if faults.CutAfterLastEvent && lastEventID == 0 {
		panic(http.ErrAbortHandler)
	}
}
