// Package site tests hosts in one process against a stand-in of the users' platform.
package site

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sequoiaroad/sequoiaroad/internal/routehost"
	"github.com/sequoiaroad/sequoiaroad/internal/telemetry"
	"github.com/sequoiaroad/sequoiaroad/platform"
	"github.com/sequoiaroad/sequoiaroad/standin/relay"
	standin "github.com/sequoiaroad/sequoiaroad/standin/site"
)

const (
	engineService = "engines"
	deskService   = "desk"
	model         = "model-a"
	virtualHost   = "callers.example"
	clubKey       = "key-of-club"
	schoolKey     = "key-of-school"
)

// storeProxy is one host's access to the store. A test can make the store unavailable to
// this host; the proxy also counts the host's requests for changes.
type storeProxy struct {
	http.Handler
	unavailable  atomic.Bool
	feedRequests atomic.Int64
}

func (p *storeProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/api/rows-feed" {
		p.feedRequests.Add(1)
	}
	if p.unavailable.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.Handler.ServeHTTP(w, r)
}

// fixture is a store and the hosts that use it.
type fixture struct {
	t      *testing.T
	g      *WithT
	store  *standin.Store
	config map[string]any
	hosts  []*host
	seeds  []string
	// zones are the zones of the hosts, which take turns. maxSeeds bounds the seeds of a host;
	// zero means that all hosts that were started before are.
	zones    []string
	maxSeeds int
	// withoutStoreLinks connects the hosts to the store without a relay, which saves the
	// descriptors of large fleets.
	withoutStoreLinks bool
}

// logBuffer collects the log of a host. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

// host is a running host.
type host struct {
	callerAddress, readyAddress, locatorAddress string
	metricsAddress                              string
	log                                         *logBuffer
	store                                       *storeProxy
	// storeLink is the link from the host to the store.
	storeLink *relay.Relay
	stop      context.CancelFunc
	done      chan error
}

// object is a JSON object.
type object = map[string]any

func defaultConfig() object {
	route := func(name, prefix, kind, service string, maxAttempts int, extra object) object {
		r := object{
			"name": name, "host": virtualHost, "prefix": prefix, "kind": kind, "service": service,
			"timeout_ms": 3000, "slo_ms": 400, "priority": 1, "max_attempts": maxAttempts,
		}
		for k, v := range extra {
			r[k] = v
		}
		return r
	}
	return object{
		"version": 1,
		"routes": []any{
			route("order", "/order/", "unsafe", deskService, 1, nil),
			route("status", "/status/", "safe", deskService, 2, nil),
			route("open", "/open/", "safe", deskService, 2, object{"public": true}),
			route("brief", "/brief/", "streaming", engineService, 1, object{"sticky": true}),
			route("query", "/query/", "streaming", engineService, 2, object{"sticky": true, "resumable": true}),
		},
		"services": []any{
			object{"name": engineService, "health_path": "/health", "max_conns": 100, "engine": object{
				"slots": 8, "kv_capacity_tokens": 100000, "token_kv_bytes": 131072, "link_mbps": 370000,
				"models": []any{object{"name": model}},
			}},
			object{"name": deskService, "health_path": "/health", "max_conns": 100},
		},
		"limits": object{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{
			object{"name": "club", "api_keys": []any{clubKey}, "priority": 1, "unit": "tokens", "plain_tokens": 100, "isolated": true},
			object{"name": "school", "api_keys": []any{schoolKey}, "unit": "tokens", "plain_tokens": 100},
		},
	}
}

// newFixture returns a fixture whose store holds the default configuration.
func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, g: NewWithT(t), store: standin.NewStore(), config: defaultConfig(), zones: []string{"zone-a"}}
	f.publishConfig()
	return f
}

// publishConfig writes the configuration to the store.
func (f *fixture) publishConfig() {
	value, err := json.Marshal(f.config)
	f.g.Expect(err).NotTo(HaveOccurred())
	f.store.Put("op", "config", value)
}

// updateConfig edits a copy of the configuration and publishes it with a higher version.
func (f *fixture) updateConfig(edit func(c object)) {
	data, err := json.Marshal(f.config)
	f.g.Expect(err).NotTo(HaveOccurred())
	next := object{}
	f.g.Expect(json.Unmarshal(data, &next)).To(Succeed())
	next["version"] = next["version"].(float64) + 2
	edit(next)
	f.config = next
	f.publishConfig()
}

// setRouteTimeouts publishes a configuration in which all routes have this timeout.
func (f *fixture) setRouteTimeouts(timeout time.Duration) {
	f.updateConfig(func(c object) {
		for _, r := range c["routes"].([]any) {
			r.(object)["timeout_ms"] = timeout.Milliseconds()
		}
	})
}

// startReplica starts and registers a target and returns it with its address.
func (f *fixture) startReplica(o standin.ReplicaOptions) (*standin.Replica, string) {
	if o.Zone == "" {
		o.Zone = "zone-a"
	}
	r := standin.NewReplica(o)
	address, stop, err := r.Serve()
	f.g.Expect(err).NotTo(HaveOccurred())
	f.t.Cleanup(stop)
	f.g.Expect(r.Register(f.store, address, "ready")).To(Succeed())
	return r, address
}

// registerTarget writes the entry of a target that the test serves itself; entry has the
// service, and the models of an engine.
func (f *fixture) registerTarget(id, address string, entry object) {
	entry["address"], entry["zone"], entry["state"], entry["slots"], entry["born"] = address, "zone-a", "ready", 8, 1
	entry["version"], entry["seq"], entry["cold_left_ms"] = "v1", 1, 0
	if entry["models"] != nil {
		entry["stage"] = "colocated"
	}
	value, err := json.Marshal(entry)
	f.g.Expect(err).NotTo(HaveOccurred())
	f.store.Put("servers", id, value)
}

// startDesk starts a target of the plain service.
func (f *fixture) startDesk(id string) *standin.Replica {
	r, _ := f.startReplica(standin.ReplicaOptions{ID: id, Service: deskService})
	return r
}

// startEngine starts an engine whose streams have the given number of events.
func (f *fixture) startEngine(id string, events int) *standin.Replica {
	r, _ := f.startReplica(standin.ReplicaOptions{
		ID: id, Service: engineService, Model: model, StreamEvents: events, EventInterval: 10 * time.Millisecond, LoadTime: 50 * time.Millisecond,
	})
	return r
}

// startHost starts a host and waits until it is ready.
func (f *fixture) startHost(id string) *host {
	h := f.startHostNoWait(id)
	f.g.Eventually(func() int { return h.readyStatus() }, "5s", "20ms").Should(Equal(http.StatusOK))
	return h
}

// startHostNoWait starts a host and stops it at the end of the test.
func (f *fixture) startHostNoWait(id string) *host {
	h := &host{log: &logBuffer{}, store: &storeProxy{Handler: f.store}, done: make(chan error, 1)}
	storeAddress, stopStore, err := standin.Serve(h.store)
	f.g.Expect(err).NotTo(HaveOccurred())
	if !f.withoutStoreLinks {
		h.storeLink, err = relay.New(storeAddress)
		f.g.Expect(err).NotTo(HaveOccurred())
		storeAddress = h.storeLink.Addr()
	}
	settings := standin.HostSettings{
		ID: id, IP: standin.NewHostIP(), Zone: f.zones[len(f.hosts)%len(f.zones)], Zones: f.zones, StoreAddress: storeAddress, RetryBudgetSlack: 50,
	}
	h.callerAddress, h.readyAddress, h.locatorAddress, h.metricsAddress = settings.CallerAddress(), settings.ReadyAddress(), settings.LocatorAddress(), settings.IP+":9004"
	if f.maxSeeds == 0 || len(f.seeds) < f.maxSeeds {
		f.seeds = append(f.seeds, settings.InnerAddress())
	}
	settings.Seeds = f.seeds
	file := filepath.Join(f.t.TempDir(), "settings.json")
	f.g.Expect(settings.Write(file)).To(Succeed())
	deployment, err := platform.ReadSettings(file)
	f.g.Expect(err).NotTo(HaveOccurred())
	tel, err := telemetry.New(context.Background(), telemetry.Options{LogLevel: "info", LogJSON: true, LogOutput: h.log})
	f.g.Expect(err).NotTo(HaveOccurred())
	adapter, closeAdapter := platform.New(deployment)
	server, err := routehost.New(routehost.Options{
		Deployment: *deployment, FleetSecret: "a-secret-for-the-tests", MaxConcurrentLoads: 2, MetricsListen: h.metricsAddress, Platform: adapter, Telemetry: tel,
	})
	f.g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	go func() {
		err := server.Run(ctx)
		if err != nil {
			f.t.Errorf("host %s failed: %v", id, err)
		}
		h.done <- err
	}()
	f.t.Cleanup(func() {
		cancel()
		select {
		case <-h.done:
		case <-time.After(15 * time.Second):
			f.t.Error("a host did not stop in time")
		}
		closeAdapter()
		if h.storeLink != nil {
			h.storeLink.Close()
		}
		stopStore()
	})
	f.hosts = append(f.hosts, h)
	return h
}

// readyStatus returns the HTTP status of the readiness endpoint, or 0 without a response.
func (h *host) readyStatus() int {
	resp, err := http.Get("http://" + h.readyAddress + "/api/ready")
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

// request is a request of a caller.
type request struct {
	method, uri, body, key string
	header                 map[string]string
}

var lastRequestID atomic.Int64

// result is the response to a request.
type result struct {
	id     string
	status int
	header http.Header
	body   string
	// err is the error of sending the request or of reading the body.
	err error
}

// send sends a request under a new request id.
func (f *fixture) send(h *host, q request) result {
	id := fmt.Sprintf("request-%d", lastRequestID.Add(1))
	req, err := http.NewRequest(q.method, "http://"+h.callerAddress, strings.NewReader(q.body))
	f.g.Expect(err).NotTo(HaveOccurred())
	req.URL.Opaque = q.uri
	req.Host = virtualHost
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", "3000")
	req.Header["User-Agent"] = nil
	if q.key != "" {
		req.Header.Set("Authorization", "Bearer "+q.key)
	}
	for k, v := range q.header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return result{id: id, err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return result{id, resp.StatusCode, resp.Header, string(data), err}
}

// promptRequest returns a request for a streamed completion.
func promptRequest(uri string) request {
	return request{method: "POST", uri: uri, body: "prompt", key: schoolKey, header: map[string]string{
		"X-Model": model, "X-Token-Usage": "1500,50", "X-Prefix-Hash": "5c1e07a2:1000,91bd3f06:500",
	}}
}

// countRuns returns how often the replicas ran a request.
func countRuns(id string, replicas ...*standin.Replica) int {
	n := 0
	for _, replica := range replicas {
		for _, run := range replica.Executions() {
			if run.ID == id {
				n++
			}
		}
	}
	return n
}
