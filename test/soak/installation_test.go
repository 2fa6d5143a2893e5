// Package soak runs the real program as several processes against stand-ins of the
// users' platform, injects faults from outside and checks what callers and targets see.
package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/standin/relay"
	standin "github.com/sequoiaroad/sequoiaroad/standin/site"
)

const (
	model       = "model-a"
	virtualHost = "callers.example"
	key         = "key-of-club"
	// timeLimit is the time limit of all routes.
	timeLimit    = 2 * time.Second
	retrySlack   = 40
	streamEvents = 20
)

type object = map[string]any

// node is one host: a process, or none while it is down.
type node struct {
	standin.HostSettings
	file      string
	storeLink *relay.Relay

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	// stopping says that the process was told to end.
	stopping bool
}

// replica is a target and the link to it.
type replica struct {
	*standin.Replica
	id   string
	link *relay.Relay
}

// installation is the stand-ins and the hosts of one seed.
type installation struct {
	store    *standin.Store
	nodes    []*node
	replicas []*replica
	logs     string
	closers  []func()
	version  atomic.Int64

	mu       sync.Mutex
	weights  int64
	findings []string
}

func (in *installation) report(format string, args ...any) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.findings = append(in.findings, fmt.Sprintf(format, args...))
}

// install starts stand-ins and hosts. Their logs go to the directory.
func install(program, logs string, hosts int) (*installation, error) {
	in := &installation{store: standin.NewStore(), logs: logs}
	in.publish()
	for i := range 3 {
		engine := standin.ReplicaOptions{Service: "engines", Model: model, StreamEvents: streamEvents, EventInterval: 10 * time.Millisecond, LoadTime: 100 * time.Millisecond}
		desk := standin.ReplicaOptions{Service: "desk", ProcessingTime: 20 * time.Millisecond}
		for _, o := range []standin.ReplicaOptions{engine, desk} {
			o.ID, o.Zone = fmt.Sprintf("%s-%d", o.Service, i), fmt.Sprintf("zone-%d", i%2)
			if err := in.addReplica(o); err != nil {
				return in, err
			}
		}
	}
	for i := range hosts {
		if err := in.addNode(i); err != nil {
			return in, err
		}
	}
	for _, n := range in.nodes {
		if err := in.start(program, n); err != nil {
			return in, err
		}
	}
	return in, nil
}

// publish writes the next version of the configuration; only its number changes.
func (in *installation) publish() {
	route := func(name, kind, service string, attempts int, resumable bool) object {
		return object{
			"name": name, "host": virtualHost, "prefix": "/" + name + "/", "kind": kind, "service": service,
			"timeout_ms": timeLimit.Milliseconds(), "slo_ms": 400, "priority": 1, "max_attempts": attempts, "resumable": resumable,
		}
	}
	value, err := json.Marshal(object{
		"version": in.version.Add(1),
		"routes": []any{
			route("order", "unsafe", "desk", 1, false), route("status", "safe", "desk", 3, false),
			route("brief", "streaming", "engines", 1, false), route("query", "streaming", "engines", 3, true),
		},
		"services": []any{
			object{"name": "engines", "health_path": "/health", "max_conns": 100, "engine": object{
				"slots": 16, "kv_capacity_tokens": 100000, "token_kv_bytes": 131072, "link_mbps": 370000, "models": []any{object{"name": model}},
			}},
			object{"name": "desk", "health_path": "/health", "max_conns": 100},
		},
		"limits":  object{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{object{"name": "club", "api_keys": []any{key}, "unit": "tokens", "plain_tokens": 100}},
	})
	if err != nil {
		panic(err) // the document is made of plain values
	}
	in.store.Put("op", "config", value)
}

func (in *installation) addReplica(o standin.ReplicaOptions) error {
	r := &replica{Replica: standin.NewReplica(o), id: o.ID}
	address, stop, err := standin.Serve(r)
	if err != nil {
		return err
	}
	in.closers = append(in.closers, stop)
	if r.link, err = relay.New(address); err != nil {
		return err
	}
	in.closers = append(in.closers, r.link.Close)
	in.replicas = append(in.replicas, r)
	return r.Register(in.store, r.link.Addr(), "ready")
}

// seeds are the addresses between hosts.
func (in *installation) seeds() []string {
	var out []string
	for _, n := range in.nodes {
		out = append(out, n.InnerAddress())
	}
	return out
}

func (in *installation) addNode(i int) error {
	n := &node{HostSettings: standin.HostSettings{
		ID: fmt.Sprintf("host-%d", i), IP: standin.NewHostIP(), Zone: fmt.Sprintf("zone-%d", i%2), Zones: []string{"zone-0", "zone-1"},
		RetryBudgetSlack: retrySlack,
	}}
	address, stop, err := standin.Serve(in.store)
	if err != nil {
		return err
	}
	in.closers = append(in.closers, stop)
	if n.storeLink, err = relay.New(address); err != nil {
		return err
	}
	in.closers = append(in.closers, n.storeLink.Close)
	in.nodes = append(in.nodes, n)
	n.StoreAddress, n.Seeds = n.storeLink.Addr(), in.seeds()
	n.file = filepath.Join(in.logs, n.ID+".json")
	return n.Write(n.file)
}

// start starts the process of a host.
func (in *installation) start(program string, n *node) error {
	log, err := os.OpenFile(filepath.Join(in.logs, n.ID+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program, "route", "--node-file", n.file)
	cmd.Env = append(os.Environ(), "SEQUOIAROAD_FLEET_SECRET=a-secret-for-the-soak")
	cmd.Stdout, cmd.Stderr = log, log
	before := size(log)
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", n.ID)
	}
	defer awaitBegin(log, before)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process, n.ended, n.stopping = cmd, make(chan struct{}), false
	go in.await(n, cmd, n.ended, log)
	return nil
}

// awaitBegin waits until a process has written its first line. Until the runtime of the
// process is up, any signal ends it.
func awaitBegin(log *os.File, before int64) {
	for deadline := time.Now().Add(startLimit); size(log) == before && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
}

// await reports a process that ends by itself or fails in a planned stop.
func (in *installation) await(n *node, cmd *exec.Cmd, ended chan struct{}, log *os.File) {
	err := cmd.Wait()
	_ = log.Close()
	n.mu.Lock()
	stopping := n.stopping
	n.mu.Unlock()
	if !stopping || err != nil && err.Error() != "signal: killed" {
		in.report("%s ended: %v, told to stop: %v", n.ID, err, stopping)
	}
	close(ended)
}

func size(f *os.File) int64 {
	info, err := f.Stat()
	if err != nil {
		return 0
	}
	return info.Size()
}

// signal sends a signal to the process of a host.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopping = n.stopping || s == syscall.SIGKILL || s == syscall.SIGTERM
	_ = n.process.Process.Signal(s) // a process that has ended takes no signal
}

// restart ends a host by a signal and starts it again.
func (in *installation) restart(program string, n *node, s syscall.Signal) {
	n.signal(s)
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(standin.StopGrace + 3*time.Second):
		in.report("%s did not stop within %v of %v", n.ID, standin.StopGrace+3*time.Second, s)
		n.signal(syscall.SIGKILL)
		<-ended
	}
	if err := in.start(program, n); err != nil {
		in.report("%v", err)
	}
}

func (n *node) ready() bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := client.Get("http://" + n.ReadyAddress() + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts serve, and reports those that don't.
func (in *installation) awaitReady(limit time.Duration) {
	deadline := time.Now().Add(limit)
	for _, n := range in.nodes {
		for !n.ready() {
			if time.Now().After(deadline) {
				in.report("%s is not ready within %v", n.ID, limit)
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// close kills the processes and ends the stand-ins.
func (in *installation) close() {
	for _, n := range in.nodes {
		n.mu.Lock()
		ended := n.ended
		n.mu.Unlock()
		if ended != nil {
			n.signal(syscall.SIGCONT)
			n.signal(syscall.SIGKILL)
			<-ended
		}
	}
	for _, c := range in.closers {
		c()
	}
}
