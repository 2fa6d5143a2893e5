package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// request is a request of a caller and its outcome.
type request struct {
	id, route, key string
	host           *host
	sentAt         time.Time
	duration       time.Duration
	status         int // 0 without a response
	header         http.Header
	body           string
	err            error
}

// isPrompt reports whether the request is a prompt for an engine.
func (q *request) isPrompt() bool { return q.route == "brief" || q.route == "query" }

// loadGenerator sends requests to all hosts over keep-alive connections.
type loadGenerator struct {
	installation *installation
	client       *http.Client
	lastID       atomic.Int64

	mu       sync.Mutex
	requests []*request
}

func newLoadGenerator(in *installation) *loadGenerator {
	return &loadGenerator{installation: in, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true},
		Timeout:   requestTimeout + 2*time.Second,
	}}
}

// ticksPerProbe is the number of requests for each pair of probes of the configuration.
const ticksPerProbe = 4

// routeMethods maps each route to the HTTP method of its requests.
var routeMethods = map[string]string{"order": http.MethodPost, "status": http.MethodGet, "brief": http.MethodPost, "query": http.MethodPost}

// run sends rate requests per second until stop is closed, and waits for the responses.
func (g *loadGenerator) run(seed uint64, rate int, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(seed, 1))
	routes := []string{"order", "status", "brief", "query"}
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	for sent := 0; ; {
		select {
		case <-stop:
			wg.Wait()
			return
		case <-tick.C:
		}
		h, route := g.installation.hosts[random.IntN(len(g.installation.hosts))], routes[random.IntN(len(routes))]
		prefix := random.IntN(8)
		wg.Go(func() { g.send(h, route, prefix) })
		if sent++; sent%ticksPerProbe == 0 {
			wg.Go(func() { g.probe(h, g.installation.newestProbeKey()) })
			wg.Go(func() { g.probe(h, g.installation.withdrawnProbeKey()) })
		}
	}
}

// probe sends a request with a probe key, unless that is empty.
func (g *loadGenerator) probe(h *host, key string) {
	if key != "" {
		g.sendWithKey(h, "status", key, 0)
	}
}

// send sends one request and records it with its outcome.
func (g *loadGenerator) send(h *host, route string, prefix int) *request {
	return g.sendWithKey(h, route, apiKey, prefix)
}

func (g *loadGenerator) sendWithKey(h *host, route, key string, prefix int) *request {
	q := &request{id: fmt.Sprintf("r%06d", g.lastID.Add(1)), route: route, key: key, host: h, sentAt: time.Now()}
	g.mu.Lock()
	g.requests = append(g.requests, q)
	g.mu.Unlock()
	defer func() { q.duration = time.Since(q.sentAt) }()
	var body io.Reader
	if routeMethods[route] == http.MethodPost {
		// net/http can't rewind a reader of unknown type, so that it never retries the
		// request by itself.
		body = io.MultiReader(strings.NewReader("body of " + q.id))
	}
	req, err := http.NewRequest(routeMethods[route], "http://"+h.CallerAddress()+"/"+route+"/"+q.id, body)
	if err != nil {
		q.err = err
		return q
	}
	req.Host = virtualHost
	if body != nil {
		req.ContentLength = int64(len("body of " + q.id))
	}
	for name, value := range map[string]string{
		"X-Request-Id": q.id, "X-Deadline-Ms": fmt.Sprint(requestTimeout.Milliseconds()), "Authorization": "Bearer " + key,
	} {
		req.Header.Set(name, value)
	}
	if q.isPrompt() {
		req.Header.Set("X-Model", model)
		req.Header.Set("X-Token-Usage", "1500,50")
		req.Header.Set("X-Prefix-Hash", fmt.Sprintf("5c1e07a%d:1000,91bd3f06:500", prefix))
	}
	resp, err := g.client.Do(req)
	if err != nil {
		q.err = err
		return q
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	q.status, q.header, q.body, q.err = resp.StatusCode, resp.Header, string(data), err
	return q
}
