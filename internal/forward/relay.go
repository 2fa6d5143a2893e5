package forward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxBuffered is the size up to which an answer is read whole before any of it
	// is relayed.
	maxBuffered = 256 << 10
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 256 << 10
)

// bufferedAnswer is a target's answer that is held whole.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// relayPlain relays an answer that is no stream. A short answer is read whole first,
// so that one that breaks off can be repeated.
func (r *Router) relayPlain(c *call, p *plan, resp *http.Response) *failure {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBuffered+1))
	if err != nil {
		c.tried[p.target.ID] = true
		return &failure{status: http.StatusBadGateway, reason: "the target's answer broke off", cause: errors.Wrapf(err, "read from target %s", p.target.ID)}
	}
	answer := &bufferedAnswer{resp.StatusCode, resp.Header, body}
	if resp.StatusCode >= http.StatusInternalServerError {
		c.tried[p.target.ID] = true
		return &failure{status: resp.StatusCode, reason: "target failed", answered: answer}
	}
	if len(body) <= maxBuffered {
		r.relayBuffered(c, answer)
		r.done(c, p, resp.StatusCode)
		return nil
	}
	r.relayLong(c, p, resp, body)
	return nil
}

func (r *Router) copyHeader(c *call, from http.Header) {
	h := c.w.Header()
	r.CopyHeaders(h, from)
	for _, name := range [...]string{"Content-Type", "Date"} {
		if _, ok := h[name]; !ok {
			// A nil value keeps net/http from adding its own.
			h[name] = nil
		}
	}
}

func (r *Router) relayBuffered(c *call, a *bufferedAnswer) {
	r.copyHeader(c, a.header)
	if c.in.Method != http.MethodHead {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	c.w.WriteHeader(a.status)
	if _, err := c.w.Write(a.body); err != nil {
		c.log.Info("answer was not delivered", "error", err)
	}
}

// relayLong relays an answer that is too long to hold. If it breaks off, so does the
// caller's connection.
func (r *Router) relayLong(c *call, p *plan, resp *http.Response, head []byte) {
	r.copyHeader(c, resp.Header)
	c.w.WriteHeader(resp.StatusCode)
	_, err := io.Copy(c.w, io.MultiReader(bytes.NewReader(head), resp.Body))
	if err != nil {
		r.log(c, "answer broke off", &failure{status: resp.StatusCode, reason: "relay failed", cause: errors.Wrapf(err, "relay from target %s", p.target.ID)})
		panic(http.ErrAbortHandler)
	}
	r.done(c, p, resp.StatusCode)
}

// readEvent reads one event with its closing empty line. A stream that ends within
// an event gives io.ErrUnexpectedEOF.
func readEvent(reader *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(event) < maxEventBytes {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(bytes.TrimSpace(event)) > 0 {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if len(event) > maxEventBytes {
			return nil, errors.Errorf("an event has more than %d bytes", maxEventBytes)
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, nil
		}
	}
}

// eventID returns the id of an event, or "".
func eventID(event []byte) string {
	for line := range strings.SplitSeq(string(event), "\n") {
		if id, ok := strings.CutPrefix(line, "id:"); ok {
			return strings.TrimSpace(id)
		}
	}
	return ""
}

// relayStream relays a stream event by event. Nothing is relayed before the first
// whole event, so that a target that fails before it can be replaced.
func (r *Router) relayStream(ctx context.Context, c *call, p *plan, resp *http.Response, patience *patience) *failure {
	reader := bufio.NewReaderSize(resp.Body, 4<<10)
	control := http.NewResponseController(c.w)
	first := true
	for {
		event, err := readEvent(reader)
		if first {
			patience.stop()
			if err != nil && patience.ended() {
				return r.overdue(c, p)
			}
			r.firstEvent(c, p)
			first = false
		}
		if errors.Is(err, io.EOF) {
			if !c.relayed {
				r.startStream(c, resp)
			}
			r.done(c, p, resp.StatusCode)
			return nil
		}
		if err != nil {
			c.tried[p.target.ID] = true
			return r.brokenStream(ctx, p, err)
		}
		if !c.relayed {
			r.startStream(c, resp)
		}
		r.heard(p)
		if id := eventID(event); id != "" {
			c.lastEventID = id
		}
		if _, err := c.w.Write(event); err != nil {
			c.log.Info("caller took no more events", "last_event", c.lastEventID, "error", err)
			panic(http.ErrAbortHandler)
		}
		if err := control.Flush(); err != nil {
			c.log.Info("caller took no more events", "last_event", c.lastEventID, "error", err)
			panic(http.ErrAbortHandler)
		}
	}
}

func (r *Router) brokenStream(ctx context.Context, p *plan, err error) *failure {
	f := &failure{status: http.StatusBadGateway, reason: "the target's stream broke off", cause: errors.Wrapf(err, "read from target %s", p.target.ID)}
	if ctx.Err() != nil {
		f.status, f.reason = http.StatusGatewayTimeout, "the time limit passed within the stream"
	}
	return f
}

func (r *Router) heard(p *plan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.RecordActivity(p.target, time.Now())
}

func (r *Router) startStream(c *call, resp *http.Response) {
	r.copyHeader(c, resp.Header)
	c.w.WriteHeader(resp.StatusCode)
	c.relayed = true
}

func (r *Router) firstEvent(c *call, p *plan) {
	r.mu.Lock()
	r.balancer.RecordPrefillDone(p.target, p.read, time.Now())
	r.mu.Unlock()
	c.firstEvent = time.Since(c.started)
	r.measures.firstEvent(c, c.firstEvent)
}

// done counts a request that was answered.
func (r *Router) done(c *call, p *plan, status int) {
	r.measures.answered(c, status, time.Since(c.started))
	c.log.Info("answered", "route", c.route.Name, "config", c.config.Version, "target", p.target.ID, "status", status, "sends", c.sends,
		"first_event_ms", c.firstEvent.Milliseconds(), "elapsed_ms", time.Since(c.started).Milliseconds())
}
