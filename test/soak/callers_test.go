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

// request is one attempt of a caller and what came of it.
type request struct {
	id, kind string
	sentAt   time.Time
	took     time.Duration
	status   int // zero without an answer
	header   http.Header
	body     string
	err      error
}

// callers send requests to all hosts over connections that they keep open.
type callers struct {
	in     *installation
	client *http.Client
	nextID atomic.Int64

	mu   sync.Mutex
	sent []*request
}

func newCallers(in *installation) *callers {
	return &callers{in: in, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true},
		Timeout:   timeLimit + 2*time.Second,
	}}
}

// kinds are the routes with a method for each.
var kinds = map[string]string{"order": http.MethodPost, "status": http.MethodGet, "brief": http.MethodPost, "query": http.MethodPost}

// run sends requests at a rate until stop is closed, and waits for the answers.
func (c *callers) run(seed uint64, perSecond int, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(seed, 1))
	names := []string{"order", "status", "brief", "query"}
	var running sync.WaitGroup
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for {
		select {
		case <-stop:
			running.Wait()
			return
		case <-tick.C:
		}
		n, kind := c.in.nodes[random.IntN(len(c.in.nodes))], names[random.IntN(len(names))]
		part := random.IntN(8)
		running.Go(func() { c.send(n, kind, part) })
	}
}

// send makes one request and keeps its record.
func (c *callers) send(n *node, kind string, part int) *request {
	q := &request{id: fmt.Sprintf("r%06d", c.nextID.Add(1)), kind: kind, sentAt: time.Now()}
	c.mu.Lock()
	c.sent = append(c.sent, q)
	c.mu.Unlock()
	defer func() { q.took = time.Since(q.sentAt) }()
	var body io.Reader
	if kinds[kind] == http.MethodPost {
		// A reader of unknown type keeps net/http from sending the request again.
		body = io.MultiReader(strings.NewReader("body of " + q.id))
	}
	r, err := http.NewRequest(kinds[kind], "http://"+n.CallerAddress()+"/"+kind+"/"+q.id, body)
	if err != nil {
		q.err = err
		return q
	}
	r.Host = virtualHost
	if body != nil {
		r.ContentLength = int64(len("body of " + q.id))
	}
	for name, value := range map[string]string{
		"X-Request-Id": q.id, "X-Deadline-Ms": fmt.Sprint(timeLimit.Milliseconds()), "Authorization": "Bearer " + key,
	} {
		r.Header.Set(name, value)
	}
	if kind == "brief" || kind == "query" {
		r.Header.Set("X-Model", model)
		r.Header.Set("X-Token-Usage", "1500,50")
		r.Header.Set("X-Prefix-Hash", fmt.Sprintf("5c1e07a%d:1000,91bd3f06:500", part))
	}
	resp, err := c.client.Do(r)
	if err != nil {
		q.err = err
		return q
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	q.status, q.header, q.body, q.err = resp.StatusCode, resp.Header, string(data), err
	return q
}
