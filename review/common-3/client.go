package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// newID returns an id for a request.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// answer is what a client got.
type answer struct {
	id string
	// asked is the method and path of the request.
	asked  string
	host   string
	sentAt time.Time
	// endedAt is when the answer ended.
	endedAt time.Time
	status  int
	stamp   string
	body    string
	// whole means that the answer has ended as a complete one.
	whole bool
	// leaving means that the answer says that its replica leaves.
	leaving bool
	err     error
}

// send sends one request on a channel of its own.
func (h *host) send(method, path string, header map[string]string) answer {
	a := answer{id: newID(), asked: method + " " + path, host: h.id, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = bytes.NewReader(bytes.Repeat([]byte("b"), 600))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.address(clientPort)+path, body)
	if err != nil {
		a.err = err
		return a
	}
	req.Host = clientHost
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Deadline-Ms", "6000")
	req.Header.Set("Authorization", "Bearer "+clientKey)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.stamp, a.leaving = resp.StatusCode, resp.Header.Get("X-Response-Stamp"), resp.Header.Get("Server-Leaving") == "1"
	data, err := io.ReadAll(resp.Body)
	a.body, a.err, a.whole, a.endedAt = string(data), err, err == nil, time.Now()
	return a
}

// promptHeader returns the headers of a request with a prompt that shares nothing.
func promptHeader() map[string]string {
	return map[string]string{
		"X-Model": modelName, "X-Token-Usage": "383,40",
		"X-Prefix-Hash": fmt.Sprintf("%08x:55,%08x:291", rand.Uint32(), rand.Uint32()),
	}
}

// lastEvent returns the number of the last event of a stream.
func (a *answer) lastEvent() int {
	last := 0
	for line := range strings.Lines(a.body) {
		if id, ok := strings.CutPrefix(strings.TrimSpace(line), "id: "); ok {
			if n, err := strconv.Atoi(id); err == nil {
				last = n
			}
		}
	}
	return last
}

func (a *answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("request %s (%s) at %s: status %d, %d bytes, not whole: %v", a.id, a.asked, a.host, a.status, len(a.body), a.err)
	}
	return fmt.Sprintf("request %s (%s) at %s: status %d, %d bytes, whole", a.id, a.asked, a.host, a.status, len(a.body))
}
