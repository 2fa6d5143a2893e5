package main

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"
)

// streamed is what a client got of a stream.
type streamed struct {
	status int
	events []string
	// err is nil if the stream ended as complete.
	err error
}

// stream asks a host for a stream.
func (w *world) stream(h *host, id, parts string) streamed {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.callerAddress+"/query/1", strings.NewReader("prompt"))
	if err != nil {
		return streamed{err: err}
	}
	req.Host = virtualHost
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Deadline-Ms": "6000", "Authorization": "Bearer key-of-club", "X-Model": engineModel,
		"X-Token-Usage": "1500,50", "X-Prefix-Hash": parts,
	} {
		req.Header.Set(name, value)
	}
	w.rec.note("client: %s asks %s", id, h.name)
	resp, err := h.client.Do(req)
	if err != nil {
		w.rec.note("client: %s: %v", id, err)
		return streamed{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	s := streamed{status: resp.StatusCode}
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		if event, ok := strings.CutPrefix(strings.TrimSpace(line), "id: "); ok {
			s.events = append(s.events, event)
			w.rec.note("client: %s gets event %s", id, event)
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				s.err = err
			}
			w.rec.note("client: %s: status %d, stamp %q, %d events, ends with %v", id, s.status, resp.Header.Get("X-Response-Stamp"), len(s.events), err)
			return s
		}
	}
}
