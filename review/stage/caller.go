package stage

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Request is a request of a caller.
type Request struct {
	Method, Path, Key string
	// Body is sent with its length; nil sends none.
	Body   io.Reader
	Length int64
	Header map[string]string
	// Deadline is how long the caller waits.
	Deadline time.Duration
}

// Result is the outcome of a request.
type Result struct {
	ID     string
	SentAt time.Time
	Status int
	Stamp  string
	Body   string
	// Err means that the channel ended without a complete answer, or that the caller's time
	// was up.
	Err error
	// TimedOut means that the caller's time was up.
	TimedOut bool
}

// Complete reports whether the caller got a whole answer.
func (r *Result) Complete() bool { return r.Err == nil }

// Caller sends requests to one host over kept channels.
type Caller struct {
	stage  *Stage
	host   *Host
	client *http.Client
}

var lastID atomic.Int64

// NewCaller returns a caller with channels of its own.
func (s *Stage) NewCaller(h *Host) *Caller {
	return &Caller{s, h, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true, IdleConnTimeout: 10 * time.Second}}}
}

// Send sends a request under a new id and waits for the end of the answer.
func (c *Caller) Send(q Request) Result {
	out := Result{ID: fmt.Sprintf("request-%05d", lastID.Add(1)), SentAt: time.Now()}
	body := q.Body
	if body != nil {
		body = struct{ io.Reader }{body} // keeps net/http from sending it again
	}
	req, err := http.NewRequest(q.Method, "http://"+c.host.CallerAddress()+q.Path, body)
	if err != nil {
		out.Err = err
		return out
	}
	req.ContentLength = q.Length
	req.Host = VirtualHost
	req.Header.Set("X-Request-Id", out.ID)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(q.Deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+q.Key)
	for name, value := range q.Header {
		req.Header.Set(name, value)
	}
	c.stage.Note("caller: %s %s %s to %s, %d bytes, prefix %.60s", out.ID, q.Method, q.Path, c.host.ID, q.Length, q.Header["X-Prefix-Hash"])
	client := *c.client
	client.Timeout = q.Deadline + 500*time.Millisecond
	c.receive(&client, req, &out)
	c.stage.Note("caller: %s ended after %d ms: status %d, stamp %q, %d bytes, error %v", out.ID, time.Since(out.SentAt).Milliseconds(), out.Status, out.Stamp, len(out.Body), out.Err)
	return out
}

func (c *Caller) receive(client *http.Client, req *http.Request, out *Result) {
	resp, err := client.Do(req)
	if err == nil {
		defer func() { _ = resp.Body.Close() }()
		out.Status, out.Stamp = resp.StatusCode, resp.Header.Get("X-Response-Stamp")
		var text strings.Builder
		_, err = io.Copy(&text, resp.Body)
		out.Body = text.String()
	}
	out.Err = err
	var timeout interface{ Timeout() bool }
	out.TimedOut = errors.As(err, &timeout) && timeout.Timeout()
}
