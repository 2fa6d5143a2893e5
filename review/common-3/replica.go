package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// replicaCommand makes the program run one replica.
const replicaCommand = "replica"

// replicaOptions describe a replica.
type replicaOptions struct {
	id, service, zone, address string
	// events is the number of events of each stream and interval the time between them; zero
	// events make it answer with a body in two pieces, which is complete after the interval.
	events   int
	interval time.Duration
	// unframed answers have neither a length nor chunks and end with their channel.
	unframed bool
	// crashPart is the part of prompts, if it is not the last, on which it crashes as it begins to
	// write an answer; empty means none.
	crashPart string
	// rejectFor is how long after its start it turns requests away, and pause what it asks for then.
	rejectFor, pause time.Duration
	born             int64
}

// replica is a replica with its process, as the platform and the case see it.
type replica struct {
	replicaOptions
	site    *site
	process *exec.Cmd
	exited  chan struct{}
	writes  atomic.Int64

	mu   sync.Mutex
	runs []run
}

// run is one line of what a replica tells of a request.
type run struct {
	ID    string    `json:"id"`
	What  string    `json:"what"` // arrived, event, ended, crash, reached or rejected
	Piece int       `json:"piece"`
	At    time.Time `json:"at"`
}

// startReplica starts a replica and waits until it listens.
func (s *site) startReplica(o replicaOptions) (*replica, error) {
	if o.address == "" {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		o.address = address
	}
	o.born = time.Now().UnixMilli()
	r := &replica{replicaOptions: o, site: s, exited: make(chan struct{})}
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	r.process = exec.Command(program, replicaCommand, "-id", o.id, "-listen", o.address, "-events", strconv.Itoa(o.events),
		"-interval", o.interval.String(), "-unframed="+strconv.FormatBool(o.unframed), "-crash-part", o.crashPart,
		"-reject-for", o.rejectFor.String(), "-pause", o.pause.String(), "-born", strconv.FormatInt(o.born, 10))
	r.process.Stderr = os.Stderr
	out, err := r.process.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := s.startProcess(r.process, func() { s.replicas = append(s.replicas, r) }); err != nil {
		return nil, err
	}
	listening := make(chan struct{})
	go r.read(out, listening)
	select {
	case <-listening:
		return r, nil
	case <-r.exited:
	case <-time.After(startTimeout):
	}
	return nil, fmt.Errorf("replica %s does not listen", o.id)
}

// read reads what the process tells until it ends.
func (r *replica) read(out io.Reader, listening chan<- struct{}) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		if lines.Text() == "listening" {
			close(listening)
			continue
		}
		var told run
		if err := json.Unmarshal(lines.Bytes(), &told); err == nil {
			r.mu.Lock()
			r.runs = append(r.runs, told)
			r.mu.Unlock()
		}
	}
	_ = r.process.Wait() // its status is that of a signal
	close(r.exited)
}

// kill ends the process with SIGKILL.
func (r *replica) kill() {
	_ = r.process.Process.Kill() // fails only if it has ended
	<-r.exited
}

// hasEnded reports whether the process has ended.
func (r *replica) hasEnded() bool {
	select {
	case <-r.exited:
		return true
	default:
		return false
	}
}

// sayLeaving makes the replica say in all its answers that it leaves.
func (r *replica) sayLeaving() error { return r.process.Process.Signal(syscall.SIGUSR1) }

// told returns what the replica has told of its requests.
func (r *replica) told() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs...)
}

// running returns the requests that it works on.
func (r *replica) running() int {
	n := 0
	for _, t := range r.told() {
		switch t.What {
		case "arrived":
			n++
		case "ended":
			n--
		}
	}
	return n
}

// entry returns the replica's entry in the store.
func (r *replica) entry(state string) object {
	e := object{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 32, "state": state,
		"cold_left_ms": 0, "seq": 1, "born": r.born,
	}
	if r.events > 0 {
		e["stage"], e["models"] = "colocated", []any{object{"name": modelName, "version": 1, "adapters": []any{}}}
	}
	return e
}

// write writes the replica's entry, in which each write has a higher number.
func (r *replica) write(state string) error {
	e := r.entry(state)
	e["seq"] = r.writes.Add(1)
	value, err := json.Marshal(e)
	if err != nil {
		return err
	}
	r.site.store.Put("servers", r.id, value)
	return nil
}

// register writes the replica's entry and notes it.
func (r *replica) register(state string) error {
	if err := r.write(state); err != nil {
		return err
	}
	r.site.note("the store has the entry of %s (%s at %s): %s", r.id, r.service, r.address, state)
	return nil
}

// remove removes the replica's entry.
func (r *replica) remove() {
	r.site.store.Delete("servers", r.id)
	r.site.note("the store has removed the entry of %s", r.id)
}

// server is the replica's process.
type server struct {
	replicaOptions
	started time.Time
	leaving atomic.Bool
	mu      sync.Mutex
}

// runReplica serves as a replica until the process ends.
func runReplica(args []string) int {
	flags := flag.NewFlagSet(replicaCommand, flag.ContinueOnError)
	s := &server{started: time.Now()}
	flags.StringVar(&s.id, "id", "", "id of the replica")
	flags.StringVar(&s.address, "listen", "", "IP:port")
	flags.IntVar(&s.events, "events", 0, "events of a stream; zero for plain answers")
	flags.DurationVar(&s.interval, "interval", 0, "time between pieces")
	flags.BoolVar(&s.unframed, "unframed", false, "answers have neither length nor chunks")
	flags.StringVar(&s.crashPart, "crash-part", "", "part of prompts on which the replica crashes")
	flags.DurationVar(&s.rejectFor, "reject-for", 0, "how long after its start it turns requests away")
	flags.DurationVar(&s.pause, "pause", 0, "the pause that it asks for then")
	flags.Int64Var(&s.born, "born", 0, "start in Unix milliseconds")
	if err := flags.Parse(args); err != nil {
		return statusFailed
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	go func() {
		<-signals
		s.leaving.Store(true)
	}()
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	fmt.Println("listening")
	err = (&http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}).Serve(listener)
	fmt.Fprintln(os.Stderr, err)
	return statusFailed
}

// tell writes a line about a request.
func (s *server) tell(id, what string, piece int) {
	line, err := json.Marshal(run{id, what, piece, time.Now()})
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = os.Stdout.Write(append(line, '\n'))
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("X-Instance-Id", s.id)
	if s.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	id := req.Header.Get("X-Request-Id")
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case req.URL.Path == "/health":
		if s.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	case req.URL.Path == "/api/report":
		s.writeJSON(w, object{
			"stage": "colocated", "models": []any{object{"name": modelName, "version": 1, "adapters": []any{}}}, "busy": false, "seq": 0,
			"queued": 0, "running": 0, "kv_used": 0, "kv_total": 130652, "handles": 0, "born": s.born,
		})
	case req.URL.Path == "/api/kv-events":
		s.waitForEvents(req)
		s.writeJSON(w, object{"boot_epoch": s.born, "next": 0, "lost": false, "events": []any{}})
	case strings.HasPrefix(req.URL.Path, "/api/"):
		w.WriteHeader(http.StatusNotFound)
	default:
		s.answer(w, req, id)
	}
}

func (s *server) writeJSON(w http.ResponseWriter, body object) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has left
}

// waitForEvents keeps a call waiting, as there are no events.
func (s *server) waitForEvents(req *http.Request) {
	ms, err := strconv.Atoi(req.Header.Get("Wait-Ms"))
	if err != nil {
		return
	}
	select {
	case <-req.Context().Done():
	case <-time.After(time.Duration(min(ms, 1000)) * time.Millisecond):
	}
}

// answer runs a request.
func (s *server) answer(w http.ResponseWriter, req *http.Request, id string) {
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	if time.Since(s.started) < s.rejectFor {
		s.reject(w, id)
		return
	}
	s.tell(id, "arrived", 0)
	defer s.tell(id, "ended", 0)
	h := w.Header()
	h.Set("X-Response-Stamp", "stamp-"+id)
	if s.unframed {
		h.Set("Transfer-Encoding", "identity") // net/http sends no framing then
	}
	if s.events == 0 {
		h.Set("Content-Type", "text/plain")
		s.writePiece(w, req.Context(), id, 1, firstHalf(id))
		s.writePiece(w, req.Context(), id, 2, secondHalf(id))
		return
	}
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Weight-Versions", "1")
	if s.crashesOn(req) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		s.tell(id, "crash", 0)
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
		select {}
	}
	last, err := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if err != nil {
		last = 0
	}
	for i := last + 1; i <= s.events; i++ {
		if !s.writePiece(w, req.Context(), id, i, fmt.Sprintf("id: %d\ndata: token %d\n\n", i, i)) {
			return
		}
	}
}

// reject turns a request away and asks for a pause.
func (s *server) reject(w http.ResponseWriter, id string) {
	s.tell(id, "reached", 0)
	time.Sleep(rejectTime)
	w.Header().Set("X-Not-Executed", "1")
	w.Header().Set("Retry-After", strconv.FormatFloat(s.pause.Seconds(), 'f', -1, 64))
	s.tell(id, "rejected", 0)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// crashesOn reports whether a prompt has the part on which the replica crashes.
func (s *server) crashesOn(req *http.Request) bool {
	parts := strings.Split(req.Header.Get("X-Prefix-Hash"), ",")
	return s.crashPart != "" && slices.ContainsFunc(parts[:len(parts)-1], func(p string) bool { return strings.HasPrefix(p, s.crashPart+":") })
}

// writePiece writes one piece of an answer after the interval. It returns false if the caller
// has left.
func (s *server) writePiece(w http.ResponseWriter, ctx context.Context, id string, n int, piece string) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(s.interval):
	}
	_, err := io.WriteString(w, piece)
	if err = errors.Join(err, http.NewResponseController(w).Flush()); err != nil {
		return false
	}
	s.tell(id, "event", n)
	return true
}

// firstHalf and secondHalf are the two pieces of a plain answer.
func firstHalf(id string) string {
	return "visit " + id + " is booked; " + strings.Repeat("x", 380) + "\n"
}

func secondHalf(id string) string { return strings.Repeat("y", 380) + " end of " + id + "\n" }
