// Package soak runs the router as several processes against stand-ins of the users'
// platform, injects faults and checks the responses to callers and the requests that the
// targets ran.
package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/standin/relay"
	standin "github.com/sequoiaroad/sequoiaroad/standin/site"
)

const (
	model       = "model-a"
	virtualHost = "callers.example"
	apiKey      = "key-of-club"
	// requestTimeout is the timeout of all routes.
	requestTimeout   = 2 * time.Second
	retryBudgetSlack = 40
	streamEvents     = 20
)

// object is a JSON object.
type object = map[string]any

// host is a host with its current process.
type host struct {
	standin.HostSettings
	settingsFile string
	storeLink    *relay.Relay

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// stopping is set once the process was sent SIGTERM or SIGKILL.
	stopping bool
}

// replica is a target and the relay through which hosts reach it.
type replica struct {
	*standin.Replica
	id       string
	isEngine bool
	link     *relay.Relay
}

// installation holds the stand-ins and the hosts of one seed.
type installation struct {
	store    *standin.Store
	hosts    []*host
	replicas []*replica
	logDir   string
	cleanups []func()
	// storeOutages keeps outages of the store from overlapping.
	storeOutages sync.Mutex

	mu           sync.Mutex
	publications []publication // in the order of their versions
	configs      []publication // in the order of their versions
	impairments  []impairment
	departures   []departure
	violations   []string
}

// addViolation records a violation.
func (in *installation) addViolation(format string, args ...any) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.violations = append(in.violations, fmt.Sprintf(format, args...))
}

// newInstallation starts stand-ins and hosts. The hosts write their logs to dir. The
// installation must be closed even if an error is returned.
func newInstallation(program, dir string, count int) (*installation, error) {
	in := &installation{store: standin.NewStore(), logDir: dir}
	in.publishConfig()
	for i := range 3 {
		engine := standin.ReplicaOptions{Service: "engines", Model: model, StreamEvents: streamEvents, EventInterval: 10 * time.Millisecond, LoadTime: 300 * time.Millisecond}
		desk := standin.ReplicaOptions{Service: "desk", ProcessingTime: 20 * time.Millisecond}
		for _, o := range []standin.ReplicaOptions{engine, desk} {
			o.ID, o.Zone = fmt.Sprintf("%s-%d", o.Service, i), fmt.Sprintf("zone-%d", i%2)
			if err := in.addReplica(o); err != nil {
				return in, err
			}
		}
	}
	for i := range count {
		if err := in.addHost(i); err != nil {
			return in, err
		}
	}
	for _, h := range in.hosts {
		if err := in.start(program, h); err != nil {
			return in, err
		}
	}
	return in, nil
}

// probeKey returns the API key that only one version of the configuration has.
func probeKey(version int64) string { return fmt.Sprintf("probe-key-%d", version) }

// publishConfig writes the configuration to the store under the next version number, with
// the probe key of that version; the rest of the document stays the same.
func (in *installation) publishConfig() {
	in.mu.Lock()
	defer in.mu.Unlock()
	version := int64(len(in.configs)) + 1
	route := func(name, kind, service string, maxAttempts int, resumable bool) object {
		return object{
			"name": name, "host": virtualHost, "prefix": "/" + name + "/", "kind": kind, "service": service,
			"timeout_ms": requestTimeout.Milliseconds(), "slo_ms": 400, "priority": 1, "max_attempts": maxAttempts, "resumable": resumable,
		}
	}
	value, err := json.Marshal(object{
		"version": version,
		"routes": []any{
			route("order", "unsafe", "desk", 1, false), route("status", "safe", "desk", 3, false),
			route("brief", "streaming", "engines", 1, false), route("query", "streaming", "engines", 3, true),
			route("plain", "unsafe", "engines", 1, false),
		},
		"services": []any{
			object{"name": "engines", "health_path": "/health", "max_conns": 100, "engine": object{
				"slots": 16, "kv_capacity_tokens": 100000, "token_kv_bytes": 131072, "link_mbps": 370000, "models": []any{object{"name": model}},
			}},
			object{"name": "desk", "health_path": "/health", "max_conns": 100},
		},
		"limits":  object{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{object{"name": "club", "api_keys": []any{apiKey, probeKey(version)}, "unit": "tokens", "plain_tokens": 100}},
	})
	if err != nil {
		panic(err) // can't happen: the document holds only values that JSON can encode
	}
	in.store.Put("op", "config", value)
	in.configs = append(in.configs, publication{version, time.Now()})
}

func (in *installation) addReplica(o standin.ReplicaOptions) error {
	r := &replica{Replica: standin.NewReplica(o), id: o.ID, isEngine: o.Model != ""}
	address, stop, err := standin.Serve(r)
	if err != nil {
		return err
	}
	in.cleanups = append(in.cleanups, stop)
	if r.link, err = relay.New(address); err != nil {
		return err
	}
	in.cleanups = append(in.cleanups, r.link.Close)
	in.replicas = append(in.replicas, r)
	return r.Register(in.store, r.link.Addr(), "ready")
}

// seedAddresses returns the addresses at which hosts reach each other.
func (in *installation) seedAddresses() []string {
	var out []string
	for _, h := range in.hosts {
		out = append(out, h.InnerAddress())
	}
	return out
}

func (in *installation) addHost(i int) error {
	h := &host{HostSettings: standin.HostSettings{
		ID: fmt.Sprintf("host-%d", i), IP: standin.NewHostIP(), Zone: fmt.Sprintf("zone-%d", i%2), Zones: []string{"zone-0", "zone-1"},
		RetryBudgetSlack: retryBudgetSlack,
	}}
	address, stop, err := standin.Serve(in.store)
	if err != nil {
		return err
	}
	in.cleanups = append(in.cleanups, stop)
	if h.storeLink, err = relay.New(address); err != nil {
		return err
	}
	in.cleanups = append(in.cleanups, h.storeLink.Close)
	in.hosts = append(in.hosts, h)
	h.StoreAddress, h.Seeds = h.storeLink.Addr(), in.seedAddresses()
	h.settingsFile = filepath.Join(in.logDir, h.ID+".json")
	return h.Write(h.settingsFile)
}

// start starts the process of a host.
func (in *installation) start(program string, h *host) error {
	log, err := os.OpenFile(filepath.Join(in.logDir, h.ID+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program, "route", "--node-file", h.settingsFile)
	cmd.Env = append(os.Environ(), "SEQUOIAROAD_FLEET_SECRET=a-secret-for-the-soak")
	cmd.Stdout, cmd.Stderr = log, log
	offset := fileSize(log)
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", h.ID)
	}
	defer waitForOutput(log, offset)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process, h.exited, h.stopping = cmd, make(chan struct{}), false
	go in.waitForExit(h, cmd, h.exited, log)
	return nil
}

// waitForOutput waits until a new process has written to its log. Before that, the Go
// runtime may not be initialized, and any signal would end the process.
func waitForOutput(log *os.File, offset int64) {
	for deadline := time.Now().Add(startTimeout); fileSize(log) == offset && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
}

// waitForExit reports a process that exits without a stop signal, or with an error other
// than SIGKILL.
func (in *installation) waitForExit(h *host, cmd *exec.Cmd, exited chan struct{}, log *os.File) {
	err := cmd.Wait()
	_ = log.Close()
	h.mu.Lock()
	stopping := h.stopping
	h.mu.Unlock()
	if !stopping || err != nil && err.Error() != "signal: killed" {
		in.addViolation("%s exited: %v, stop requested: %v", h.ID, err, stopping)
	}
	close(exited)
}

func fileSize(f *os.File) int64 {
	info, err := f.Stat()
	if err != nil {
		return 0
	}
	return info.Size()
}

// signal sends a signal to the process of a host.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopping = h.stopping || s == syscall.SIGKILL || s == syscall.SIGTERM
	_ = h.process.Process.Signal(s) // fails if the process has already exited
}

// restart stops a host with a signal and starts it again.
func (in *installation) restart(program string, h *host, s syscall.Signal) {
	h.signal(s)
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(standin.StopGrace + 3*time.Second):
		in.addViolation("%s did not exit within %v of signal %v", h.ID, standin.StopGrace+3*time.Second, s)
		h.signal(syscall.SIGKILL)
		<-exited
	}
	if err := in.start(program, h); err != nil {
		in.addViolation("%v", err)
	}
}

// ready reports whether the host's readiness endpoint returns 200.
func (h *host) ready() bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := client.Get("http://" + h.ReadyAddress() + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until all hosts are ready, and reports those that are not in time.
func (in *installation) waitReady(limit time.Duration) {
	deadline := time.Now().Add(limit)
	for _, h := range in.hosts {
		for !h.ready() {
			if time.Now().After(deadline) {
				in.addViolation("%s is not ready within %v", h.ID, limit)
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// close kills the processes and stops the stand-ins.
func (in *installation) close() {
	for _, h := range in.hosts {
		h.mu.Lock()
		exited := h.exited
		h.mu.Unlock()
		if exited != nil {
			h.signal(syscall.SIGCONT)
			h.signal(syscall.SIGKILL)
			<-exited
		}
	}
	for _, c := range in.cleanups {
		c()
	}
}
