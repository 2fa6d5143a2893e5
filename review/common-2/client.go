package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const clientTimeout = 3 * time.Second

var requestCount atomic.Int64

// answer is what a client got; status is 0 without an answer.
type answer struct {
	id     string
	sentAt time.Time
	status int
	stamp  string
}

// send sends one request with a key to a host and records the answer.
func (w *world) send(h *host, method, path, key string) answer {
	a := answer{id: fmt.Sprintf("%s-r%05d", h.name, requestCount.Add(1)), sentAt: time.Now()}
	req, err := http.NewRequest(method, "http://"+h.callerAddress+path, strings.NewReader("body of "+a.id))
	if err != nil {
		return a
	}
	if method == http.MethodGet {
		req.Body, req.ContentLength = http.NoBody, 0
	}
	req.Host = virtualHost
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(clientTimeout.Milliseconds()))
	req.Header["User-Agent"] = nil
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := h.client.Do(req)
	if err != nil {
		w.rec.note("client: %s %s %s with key %q to %s: %v", a.id, method, path, key, h.name, err)
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	a.status, a.stamp = resp.StatusCode, resp.Header.Get("X-Response-Stamp")
	w.rec.note("client: %s %s %s with key %q to %s: status %d, stamp %q, body error %v", a.id, method, path, key, h.name, a.status, a.stamp, err)
	return a
}
