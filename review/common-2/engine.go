package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	engineModel  = "model-a"
	streamEvents = 6
	// halvedEvent is the event that a replica writes in two pieces, halfTime apart.
	halvedEvent = 4
	halfTime    = 300 * time.Millisecond
	// firstEventTime is the time from the head of a stream to its first event: the prompt is
	// read meanwhile. eventInterval is the time between two events.
	firstEventTime = 400 * time.Millisecond
	eventInterval  = 50 * time.Millisecond
	engineStart    = 5 * time.Second
)

// serveEngine is the process of a replica that serves a model. It prints its address, and a
// line for each request, head and event. crashPart is the part of prompts on which it crashes
// as it begins to write an answer; empty for none.
func serveEngine(id, crashPart string) int {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "engine:", err)
		return exitNotRun
	}
	fmt.Println("address", listener.Addr())
	e := engineServer{id: id, crashPart: crashPart, born: time.Now().UnixMilli()}
	fmt.Fprintln(os.Stderr, "engine:", http.Serve(listener, e))
	return exitNotRun
}

type engineServer struct {
	id, crashPart string
	born          int64
}

// ServeHTTP implements http.Handler.
func (e engineServer) ServeHTTP(resp http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Request-Id")
	resp.Header().Set("X-Request-Id", id)
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		resp.Header().Set("X-Instance-Id", e.id)
		resp.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch req.URL.Path {
	case "/health":
		resp.Header().Set("X-Instance-Id", e.id)
	case "/api/report":
		e.report(resp)
	case "/api/kv-events":
		resp.Header().Set("Content-Type", "application/json")
		time.Sleep(time.Second)
		_ = json.NewEncoder(resp).Encode(object{"boot_epoch": e.born, "next": 1, "lost": false, "events": []any{}})
	default:
		e.stream(resp, req, id)
	}
}

func (e engineServer) report(resp http.ResponseWriter) {
	resp.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(resp).Encode(object{
		"stage": "colocated", "models": []any{object{"name": engineModel, "version": 1, "adapters": []any{}}}, "busy": false, "seq": 0, "born": e.born,
		"queued": 0, "running": 0, "kv_used": 0, "kv_total": 100000, "handles": 0,
	})
}

// stream answers with a stream. It has neither a length nor chunks, unless the replica is one
// that crashes on a part.
func (e engineServer) stream(resp http.ResponseWriter, req *http.Request, id string) {
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	last, err := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if err != nil {
		last = 0
	}
	fmt.Println("request", id)
	h := resp.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Response-Stamp", "stamp-"+e.id+"-"+id)
	h.Set("X-Weight-Versions", "1")
	if e.crashPart == "" {
		h.Set("Transfer-Encoding", "identity") // net/http then sends no framing
	}
	resp.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(resp).Flush()
	fmt.Println("head", id, last)
	if e.crashPart != "" && strings.Contains(req.Header.Get("X-Prefix-Hash"), e.crashPart+":") {
		fmt.Println("crash", id)
		os.Exit(exitBroken)
	}
	time.Sleep(firstEventTime)
	for i := last + 1; i <= streamEvents; i++ {
		if _, err := fmt.Fprintf(resp, "id: %d\ndata: ", i); err != nil {
			return
		}
		if i == halvedEvent {
			_ = http.NewResponseController(resp).Flush()
			fmt.Println("half", id, i)
			time.Sleep(halfTime)
		}
		if _, err := fmt.Fprintf(resp, "token %d\n\n", i); err != nil {
			return
		}
		_ = http.NewResponseController(resp).Flush()
		fmt.Println("event", id, i)
		time.Sleep(eventInterval)
	}
	fmt.Println("end", id, streamEvents)
}

// engine is a replica that serves a model, as the case sees it.
type engine struct {
	w                   *world
	id, zone, crashPart string
	onLine              func(e *engine, fields []string)

	mu      sync.Mutex
	process *exec.Cmd
	// ended is closed when the process has ended.
	ended  chan struct{}
	closed bool
}

// startEngine starts the process of a replica that serves the model and writes its entry.
// onLine is called with each line that it prints.
func (w *world) startEngine(id, zone, crashPart string, onLine func(e *engine, fields []string)) error {
	e := &engine{w: w, id: id, zone: zone, crashPart: crashPart, onLine: onLine}
	w.cleanups = append(w.cleanups, e.close)
	return e.start()
}

// start starts a process; it is a new incarnation under the ID of the replica.
func (e *engine) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return nil
	}
	process := exec.Command(os.Args[0], "engine", e.id, e.crashPart)
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := process.StdoutPipe()
	if err != nil {
		return err
	}
	if err := process.Start(); err != nil {
		return err
	}
	e.process, e.ended = process, make(chan struct{})
	addresses := make(chan string, 1)
	go e.follow(process, out, e.ended, addresses)
	select {
	case address := <-addresses:
		return e.register(address)
	case <-time.After(engineStart):
		return fmt.Errorf("%s did not start", e.id)
	}
}

// follow reads what a process prints until it ends.
func (e *engine) follow(process *exec.Cmd, out io.Reader, ended chan struct{}, addresses chan string) {
	defer close(ended)
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if fields[0] == "address" {
			addresses <- fields[1]
			continue
		}
		e.w.rec.note("%s: %s", e.id, lines.Text())
		e.onLine(e, fields)
	}
	_ = process.Wait()
}

func (e *engine) register(address string) error {
	value, err := json.Marshal(object{
		"service": "engines", "address": address, "zone": e.zone, "version": "v1", "slots": 16, "state": "ready", "cold_left_ms": 0, "stage": "colocated",
		"models": []any{object{"name": engineModel, "version": 1, "adapters": []any{}}}, "seq": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	e.w.store.Put("servers", e.id, value)
	e.w.rec.note("platform: entry of %s: %s", e.id, value)
	return nil
}

func (e *engine) kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.process.Process.Kill()
}

// restartAfter starts the process again some time after it has ended.
func (e *engine) restartAfter(pause time.Duration) {
	e.mu.Lock()
	ended := e.ended
	e.mu.Unlock()
	go func() {
		<-ended
		time.Sleep(pause)
		if err := e.start(); err != nil {
			e.w.rec.note("%s: %v", e.id, err)
		}
	}()
}

func (e *engine) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	if e.process != nil {
		_ = e.process.Process.Kill()
		<-e.ended
	}
}

// engineConfig returns a configuration with one service that serves the model.
func engineConfig() object {
	config := defaultConfig([]any{tenant("club", "key-of-club")})
	query := route("query", "streaming", "engines", 2)
	query["timeout_ms"], query["slo_ms"], query["resumable"], query["sticky"], query["gap_aim_ms"] = 6000, 1500, true, true, 500
	config["routes"] = []any{query}
	config["services"] = []any{object{"name": "engines", "health_path": "/health", "max_conns": 230, "protocol": "h1", "tls": false, "engine": object{
		"slots": 16, "kv_capacity_tokens": 100000, "token_kv_bytes": 131072, "link_mbps": 370000, "models": []any{object{"name": engineModel}},
	}}}
	return config
}
