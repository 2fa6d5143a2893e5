// Package site runs hosts on a stand-in of the users' platform.
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

	"github.com/sequoiaroad/sequoiaroad/internal/entryhost"
	"github.com/sequoiaroad/sequoiaroad/internal/telemetry"
	"github.com/sequoiaroad/sequoiaroad/platform"
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

// gate lets a test keep one host from the store, and counts the changes that the host
// asks for.
type gate struct {
	http.Handler
	closed  atomic.Bool
	follows atomic.Int64
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/api/rows-feed" {
		g.follows.Add(1)
	}
	if g.closed.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.Handler.ServeHTTP(w, r)
}

// site is one installation.
type site struct {
	t      *testing.T
	g      *WithT
	store  *standin.Store
	config map[string]any
	hosts  []*host
	seeds  []string
}

// logBuffer keeps the log of a host.
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

// host is one running host.
type host struct {
	callers, ready, locator string
	metrics                 string
	log                     *logBuffer
	gate                    *gate
	stop                    context.CancelFunc
	done                    chan error
}

type object = map[string]any

func defaultConfig() object {
	route := func(name, prefix, kind, service string, attempts int, more object) object {
		r := object{
			"name": name, "host": virtualHost, "prefix": prefix, "kind": kind, "service": service,
			"timeout_ms": 3000, "slo_ms": 400, "priority": 1, "max_attempts": attempts,
		}
		for k, v := range more {
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

func newSite(t *testing.T) *site {
	s := &site{t: t, g: NewWithT(t), store: standin.NewStore(), config: defaultConfig()}
	s.publish()
	return s
}

// publish writes the configuration to the store.
func (s *site) publish() {
	value, err := json.Marshal(s.config)
	s.g.Expect(err).NotTo(HaveOccurred())
	s.store.Put("op", "config", value)
}

// change edits a copy of the configuration and publishes it as the next version.
func (s *site) change(edit func(c object)) {
	data, err := json.Marshal(s.config)
	s.g.Expect(err).NotTo(HaveOccurred())
	next := object{}
	s.g.Expect(json.Unmarshal(data, &next)).To(Succeed())
	next["version"] = next["version"].(float64) + 2
	edit(next)
	s.config = next
	s.publish()
}

// replica starts and registers a target.
func (s *site) replica(o standin.ReplicaOptions) (*standin.Replica, string) {
	if o.Zone == "" {
		o.Zone = "zone-a"
	}
	r := standin.NewReplica(o)
	address, stop, err := standin.Serve(r)
	s.g.Expect(err).NotTo(HaveOccurred())
	s.t.Cleanup(stop)
	s.g.Expect(r.Register(s.store, address, "ready")).To(Succeed())
	return r, address
}

func (s *site) desk(id string) *standin.Replica {
	r, _ := s.replica(standin.ReplicaOptions{ID: id, Service: deskService})
	return r
}

func (s *site) engine(id string, events int) *standin.Replica {
	r, _ := s.replica(standin.ReplicaOptions{
		ID: id, Service: engineService, Model: model, StreamEvents: events, EventInterval: 10 * time.Millisecond, LoadTime: 50 * time.Millisecond,
	})
	return r
}

// host starts a host and waits until it is ready.
func (s *site) host(id string) *host {
	h := s.startHost(id)
	s.g.Eventually(func() int { return h.isReady() }, "5s", "20ms").Should(Equal(http.StatusOK))
	return h
}

func (s *site) startHost(id string) *host {
	h := &host{log: &logBuffer{}, gate: &gate{Handler: s.store}, done: make(chan error, 1)}
	storeAddress, stopGate, err := standin.Serve(h.gate)
	s.g.Expect(err).NotTo(HaveOccurred())
	settings := standin.HostSettings{
		ID: id, IP: standin.NewHostIP(), Zone: "zone-a", Zones: []string{"zone-a"}, StoreAddress: storeAddress, RetryBudgetSlack: 50,
	}
	h.callers, h.ready, h.locator, h.metrics = settings.CallerAddress(), settings.ReadyAddress(), settings.LocatorAddress(), settings.IP+":9004"
	s.seeds = append(s.seeds, settings.InnerAddress())
	settings.Seeds = s.seeds
	file := filepath.Join(s.t.TempDir(), "settings.json")
	s.g.Expect(settings.Write(file)).To(Succeed())
	d, err := platform.ReadSettings(file)
	s.g.Expect(err).NotTo(HaveOccurred())
	tel, err := telemetry.New(context.Background(), telemetry.Options{LogLevel: "info", LogJSON: true, LogOutput: h.log})
	s.g.Expect(err).NotTo(HaveOccurred())
	adapter, closeAdapter := platform.New(d)
	running, err := entryhost.New(entryhost.Options{
		Deployment: *d, FleetSecret: "a-secret-for-the-tests", MaxConcurrentLoads: 2, MetricsListen: h.metrics, Platform: adapter, Telemetry: tel,
	})
	s.g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	go func() {
		err := running.Run(ctx)
		if err != nil {
			s.t.Errorf("host %s ended: %v", id, err)
		}
		h.done <- err
	}()
	s.t.Cleanup(func() {
		cancel()
		select {
		case <-h.done:
		case <-time.After(15 * time.Second):
			s.t.Error("a host did not stop")
		}
		closeAdapter()
		stopGate()
	})
	s.hosts = append(s.hosts, h)
	return h
}

func (h *host) isReady() int {
	resp, err := http.Get("http://" + h.ready + "/api/ready")
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

// request is a caller's request.
type request struct {
	method, uri, body, key string
	header                 map[string]string
}

var lastID atomic.Int64

// result is what the caller got.
type result struct {
	id     string
	status int
	header http.Header
	body   string
	// err is the error of reading the body: the answer broke off.
	err error
}

func (s *site) send(h *host, q request) result {
	id := fmt.Sprintf("request-%d", lastID.Add(1))
	in, err := http.NewRequest(q.method, "http://"+h.callers, strings.NewReader(q.body))
	s.g.Expect(err).NotTo(HaveOccurred())
	in.URL.Opaque = q.uri
	in.Host = virtualHost
	in.Header.Set("X-Request-Id", id)
	in.Header.Set("X-Deadline-Ms", "3000")
	in.Header["User-Agent"] = nil
	if q.key != "" {
		in.Header.Set("Authorization", "Bearer "+q.key)
	}
	for k, v := range q.header {
		in.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(in)
	if err != nil {
		return result{id: id, err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return result{id, resp.StatusCode, resp.Header, string(data), err}
}

func prompt(uri string) request {
	return request{method: "POST", uri: uri, body: "prompt", key: schoolKey, header: map[string]string{
		"X-Model": model, "X-Token-Usage": "1500,50", "X-Prefix-Hash": "5c1e07a2:1000,91bd3f06:500",
	}}
}

// runsOf counts the runs of a request over replicas.
func runsOf(id string, replicas ...*standin.Replica) int {
	n := 0
	for _, r := range replicas {
		for _, run := range r.Executions() {
			if run.ID == id {
				n++
			}
		}
	}
	return n
}
