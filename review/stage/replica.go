package stage

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is the interval at which a replica writes its entry.
	heartbeat = 1200 * time.Millisecond
	// queuedPerSlot is how many requests a replica queues for each slot.
	queuedPerSlot = 3
)

// Run is a request that a replica began to work on.
type Run struct {
	ID, Tenant string
	Header     http.Header
	At         time.Time
}

// Part is a part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Replica is a back end that follows the users' protocol. An engine has a model and answers
// with streams; other replicas answer with a short body.
type Replica struct {
	ID, Service, Zone, Model string
	Slots                    int
	// Work is the duration of a plain answer, or the time before the first event.
	Work time.Duration
	// Events and Interval are those of streams.
	Events   int
	Interval time.Duration
	// HeadFirst makes an engine send the head of an answer before Work, not with the first
	// event.
	HeadFirst bool
	// OnRun is called when a request begins to run. OnEvent is called after each event of a
	// stream; the answer is broken off if it returns false.
	OnRun   func(r *Replica, run Run, parts []Part)
	OnEvent func(r *Replica, run Run, event int) bool

	stage *Stage

	mu       sync.Mutex
	server   *http.Server
	conns    map[net.Conn]bool
	address  string
	born     int64
	slots    chan struct{}
	waiting  int
	sequence int64
	version  int64
	runs     []Run
	lastBeat time.Time
	stopped  bool
}

// AddReplica starts a replica, which registers in the store.
func (s *Stage) AddReplica(r *Replica) error {
	r.stage, r.version = s, 1
	if err := r.serve("127.0.0.1:0"); err != nil {
		return err
	}
	go r.beat()
	s.Cleanup(r.stop)
	return nil
}

func (r *Replica) serve(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.address, r.born, r.sequence = listener.Addr().String(), time.Now().UnixMilli(), 0
	r.conns, r.slots, r.waiting = map[net.Conn]bool{}, make(chan struct{}, r.Slots), 0
	server := &http.Server{Handler: r, ConnState: r.track}
	r.server = server
	go func() { _ = server.Serve(listener) }()
	r.register()
	return nil
}

func (r *Replica) track(conn net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch state {
	case http.StateNew:
		r.conns[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(r.conns, conn)
	}
}

// register writes the entry of the replica. The caller holds the mutex.
func (r *Replica) register() {
	entry := Object{
		"service": r.Service, "address": r.address, "zone": r.Zone, "version": "v1", "slots": r.Slots, "state": "ready",
		"cold_left_ms": 0, "seq": r.sequence, "born": r.born,
	}
	if r.Model != "" {
		entry["stage"] = "colocated"
		entry["models"] = []Object{{"name": r.Model, "version": r.version, "adapters": []string{}}}
	}
	value, err := json.Marshal(entry)
	if err != nil {
		panic(err) // can't happen: all values can be encoded
	}
	r.lastBeat = time.Now()
	r.stage.Store.Put("servers", r.ID, value)
}

// beat writes the entry at every heartbeat while the replica runs.
func (r *Replica) beat() {
	for {
		time.Sleep(heartbeat)
		r.mu.Lock()
		if r.stopped {
			r.mu.Unlock()
			return
		}
		if r.server != nil {
			r.sequence++
			r.register()
		}
		r.mu.Unlock()
	}
}

func (r *Replica) stop() {
	r.mu.Lock()
	r.stopped = true
	server := r.server
	r.server = nil
	r.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// Crash ends the replica with all its connections. It is back after a time under the same
// ID and address, and has lost all that it held.
func (r *Replica) Crash(down time.Duration) {
	r.mu.Lock()
	if r.server == nil || r.stopped {
		r.mu.Unlock()
		return
	}
	server, address := r.server, r.address
	r.server = nil
	for conn := range r.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite() // what was written arrives before the end
		}
	}
	r.mu.Unlock()
	r.stage.Note("%s: crashed", r.ID)
	_ = server.Close()
	time.AfterFunc(down, func() {
		r.mu.Lock()
		stopped := r.stopped
		r.mu.Unlock()
		if stopped {
			return
		}
		if err := r.serve(address); err != nil {
			r.stage.Note("%s: failed to come back: %v", r.ID, err)
			return
		}
		r.stage.Note("%s: back", r.ID)
	})
}

// Up reports whether the replica runs.
func (r *Replica) Up() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.server != nil
}

// Runs returns the requests that the replica began to work on.
func (r *Replica) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// ServeHTTP implements http.Handler.
func (r *Replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("X-Request-Id", req.Header.Get("X-Request-Id"))
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != r.ID {
		w.Header().Set("X-Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch req.URL.Path {
	case "/api/report":
		r.handleReport(w)
	case "/api/kv-events":
		r.handleEvents(w, req)
	case "/api/order":
		w.WriteHeader(http.StatusBadRequest) // the scripts name no new weights
	case "/health":
		w.Header().Set("X-Instance-Id", r.ID)
	default:
		r.handleRequest(w, req)
	}
}

func (r *Replica) handleReport(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Object{
		"stage": "colocated", "models": []Object{{"name": r.Model, "version": r.version, "adapters": []string{}}},
		"busy": false, "seq": r.sequence, "queued": r.waiting, "running": len(r.slots), "born": r.born,
	})
}

// handleEvents answers that there were no cache events, after the time that the caller waits.
func (r *Replica) handleEvents(w http.ResponseWriter, req *http.Request) {
	waitMs, _ := strconv.Atoi(req.Header.Get("Wait-Ms"))
	select {
	case <-req.Context().Done():
		return
	case <-time.After(time.Duration(waitMs) * time.Millisecond):
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Object{"boot_epoch": r.born, "next": 0, "lost": false, "events": []any{}})
}

// takeSlot waits for a slot. It returns false if the queue is full or the caller has left.
func (r *Replica) takeSlot(req *http.Request) (release func(), ok bool) {
	r.mu.Lock()
	slots := r.slots
	if len(slots) == cap(slots) && r.waiting >= queuedPerSlot*cap(slots) {
		r.mu.Unlock()
		return nil, false
	}
	r.waiting++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.waiting--
		r.mu.Unlock()
	}()
	select {
	case slots <- struct{}{}:
		return func() { <-slots }, true
	case <-req.Context().Done():
		return nil, false
	}
}

func (r *Replica) handleRequest(w http.ResponseWriter, req *http.Request) {
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	r.mu.Lock()
	version := r.version
	r.mu.Unlock()
	w.Header().Set("X-Weight-Versions", strconv.FormatInt(version, 10))
	if expected := req.Header.Get("X-Expect-Version"); expected != "" && expected != strconv.FormatInt(version, 10) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	release, ok := r.takeSlot(req)
	if !ok {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer release()
	run := Run{ID: req.Header.Get("X-Request-Id"), Tenant: req.Header.Get("X-Tenant"), Header: req.Header.Clone(), At: time.Now()}
	r.mu.Lock()
	r.runs = append(r.runs, run)
	r.mu.Unlock()
	r.stage.Note("%s: runs %s of %s", r.ID, run.ID, run.Tenant)
	if r.OnRun != nil {
		r.OnRun(r, run, parseParts(req.Header.Get("X-Prefix-Hash")))
	}
	w.Header().Set("X-Response-Stamp", "stamp-"+run.ID)
	if r.Model != "" {
		r.writeStream(w, req, run)
		return
	}
	if !sleep(req, r.Work) {
		return
	}
	_, _ = io.WriteString(w, "answer to "+run.ID)
}

func (r *Replica) writeStream(w http.ResponseWriter, req *http.Request, run Run) {
	w.Header().Set("Content-Type", "text/event-stream")
	if r.HeadFirst {
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
	if !sleep(req, r.Work) {
		return
	}
	last, err := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if err != nil {
		last = 0
	}
	for i := last + 1; i <= r.Events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", i, i); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		if r.OnEvent != nil && !r.OnEvent(r, run, i) {
			panic(http.ErrAbortHandler)
		}
		if !sleep(req, r.Interval) {
			return
		}
	}
}

// sleep waits; it returns false if the caller leaves meanwhile.
func sleep(req *http.Request, d time.Duration) bool {
	select {
	case <-req.Context().Done():
		return false
	case <-time.After(d):
		return true
	}
}

func parseParts(header string) []Part {
	var out []Part
	for entry := range strings.SplitSeq(header, ",") {
		id, tokens, ok := strings.Cut(entry, ":")
		n, err := strconv.Atoi(tokens)
		if ok && err == nil {
			out = append(out, Part{id, n})
		}
	}
	return out
}

// Address returns the address of the replica.
func (r *Replica) Address() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.address
}
