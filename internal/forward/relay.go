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

	"github.com/sequoiaroad/sequoiaroad/internal/httpclient"
)

const (
	// maxBufferedBytes is the size up to which a response is read completely before any
	// of it is relayed.
	maxBufferedBytes = 256 << 10
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 256 << 10
)

// bufferedResponse is a target's response that was read completely.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// relayResponse relays a response that is not a stream. A short one is read completely
// first, so that the request can be retried if the response is truncated.
func (r *Router) relayResponse(ctx context.Context, c *call, p *plan, resp *http.Response) *failure {
	held := r.responses.hold(p.client.held)
	defer held.release()
	body, err := io.ReadAll(io.LimitReader(heldReader{resp.Body, held}, maxBufferedBytes+1))
	if err == nil && len(body) <= maxBufferedBytes {
		err = r.confirmEnd(ctx, c, p, resp, false)
	}
	if err != nil {
		r.recordTruncated(ctx, c, p, err)
		f := badResponse(c, p, "the target's answer broke off", errors.Wrapf(err, "read from target %s", p.target.ID))
		f.brokenOff = true
		return f
	}
	buffered := &bufferedResponse{resp.StatusCode, resp.Header, body}
	if resp.StatusCode >= http.StatusInternalServerError {
		c.tried[p.target.ID] = true
		return &failure{status: resp.StatusCode, reason: "target failed", response: buffered}
	}
	if len(body) <= maxBufferedBytes {
		r.relayBuffered(c, buffered)
		r.recordEnd(c, p, resp)
		return nil
	}
	r.relayUnbuffered(ctx, c, p, resp, body)
	return nil
}

func (r *Router) copyHeader(c *call, from http.Header) {
	h := c.w.Header()
	r.CopyResponseHeaders(h, from)
	for _, name := range [...]string{"Content-Type", "Date"} {
		if _, ok := h[name]; !ok {
			// A nil value keeps net/http from adding its own.
			h[name] = nil
		}
	}
}

func (r *Router) relayBuffered(c *call, resp *bufferedResponse) {
	r.copyHeader(c, resp.header)
	if c.req.Method != http.MethodHead {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(resp.body)))
	}
	c.w.WriteHeader(resp.status)
	if _, err := c.w.Write(resp.body); err != nil {
		c.log.Info("failed to write the response", "error", err)
	}
}

// relayUnbuffered relays a response that is too large to buffer. If it is truncated,
// the caller's connection is aborted.
func (r *Router) relayUnbuffered(ctx context.Context, c *call, p *plan, resp *http.Response, head []byte) {
	r.copyHeader(c, resp.Header)
	c.w.WriteHeader(resp.StatusCode)
	_, err := io.Copy(c.w, io.MultiReader(bytes.NewReader(head), resp.Body))
	if err == nil {
		err = r.confirmEnd(ctx, c, p, resp, false)
	}
	if err != nil {
		r.recordTruncated(ctx, c, p, err)
		r.logFailure(c, "response truncated", &failure{status: resp.StatusCode, reason: "relay failed", cause: errors.Wrapf(err, "relay from target %s", p.target.ID)})
		panic(http.ErrAbortHandler)
	}
	r.recordEnd(c, p, resp)
}

// recordTruncated records a response whose body ended early with an error.
func (r *Router) recordTruncated(ctx context.Context, c *call, p *plan, err error) {
	switch {
	case errors.Is(err, errNoSignOfLife): // the check of the target has recorded it
	case ctx.Err() != nil:
		r.recordMissing(c, p)
	default:
		r.recordBrokenOff(c, p)
	}
}

// readEvent reads one event including the empty line that ends it, and takes its bytes from
// the budget. For a stream that ends within an event, it returns that part and
// io.ErrUnexpectedEOF.
func readEvent(reader *bufio.Reader, held *hold) ([]byte, error) {
	var event []byte
	for {
		line, err := reader.ReadSlice('\n')
		if full := held.take(len(line)); full != nil {
			return event, full
		}
		event = append(event, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(event) < maxEventBytes {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(bytes.TrimSpace(event)) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return event, err
		}
		if len(event) > maxEventBytes {
			return event, errors.Errorf("event exceeds %d bytes", maxEventBytes)
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
// complete event, so that until then the request can be sent to another target.
func (r *Router) relayStream(ctx context.Context, c *call, p *plan, resp *http.Response, w *watchdog) *failure {
	reader := bufio.NewReaderSize(resp.Body, 4<<10)
	held := r.responses.hold(p.client.held)
	defer held.release()
	first, relayed := true, false
	for {
		held.release() // the event before was relayed
		event, err := readEvent(reader, held)
		if err != nil {
			c.progress.RecordPartial(event)
		}
		if first {
			w.stop()
			if err != nil {
				if f := w.takeAbort(c, p); f != nil {
					return f
				}
			}
			r.recordFirstEvent(c, p)
			first = false
		}
		if errors.Is(err, io.EOF) {
			if err = r.confirmEnd(ctx, c, p, resp, true); err == nil {
				if !c.responseStarted {
					r.startStream(c, resp)
				}
				r.recordEnd(c, p, resp)
				return nil
			}
		}
		if err != nil {
			c.tried[p.target.ID] = true
			f := r.streamFailure(ctx, p, err)
			f.began, f.brokenOff = !relayed, true
			if f.began && ctx.Err() == nil && !errors.Is(err, errNoSignOfLife) {
				r.recordCrash(c, p)
				return f
			}
			r.recordTruncated(ctx, c, p, err)
			return f
		}
		if !relayed && c.responseStarted && c.isRepetition(event) {
			return badResponse(c, p, reasonNotResumed, errors.Errorf("target %s sent event %q after %q", p.target.ID, eventID(event), c.lastEventID))
		}
		if !c.responseStarted {
			r.startStream(c, resp)
		}
		relayed = true
		r.recordActivity(p)
		c.writeEvent(event)
	}
}

// writeEvent writes an event to the caller at once. It aborts the request if that fails.
func (c *call) writeEvent(event []byte) {
	if id := eventID(event); id != "" {
		c.lastEventID = id
	}
	c.progress.RecordRelayed(event)
	_, err := c.w.Write(event)
	if err == nil {
		err = http.NewResponseController(c.w).Flush()
	}
	if err != nil {
		c.log.Info("failed to write an event to the caller", "last_event", c.lastEventID, "error", err)
		panic(http.ErrAbortHandler)
	}
}

const reasonNotResumed = "the next target did not go on with the stream"

// goesOnWith reports whether a response can go on with the stream that the caller has
// received in part. Anything else, such as the text of an error, must not get into it.
func (c *call) goesOnWith(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && resp.Header.Get("Content-Type") == c.contentType
}

// isRepetition reports whether the first event of a resumed stream is one that the caller
// has already received.
func (c *call) isRepetition(event []byte) bool {
	last, err := strconv.ParseInt(c.lastEventID, 10, 64)
	if err != nil {
		return false
	}
	id, err := strconv.ParseInt(eventID(event), 10, 64)
	return err == nil && id <= last
}

func (r *Router) streamFailure(ctx context.Context, p *plan, err error) *failure {
	f := &failure{status: http.StatusBadGateway, reason: "the target's stream broke off", cause: errors.Wrapf(err, "read from target %s", p.target.ID)}
	if ctx.Err() != nil {
		f.status, f.reason = http.StatusGatewayTimeout, r.endReason("the time limit passed within the stream")
	}
	return f
}

func (r *Router) recordActivity(p *plan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.RecordActivity(p.target, time.Now())
}

func (r *Router) startStream(c *call, resp *http.Response) {
	r.copyHeader(c, resp.Header)
	c.w.WriteHeader(resp.StatusCode)
	c.responseStarted, c.contentType = true, resp.Header.Get("Content-Type")
}

func (r *Router) recordFirstEvent(c *call, p *plan) {
	r.mu.Lock()
	r.balancer.RecordPrefillDone(p.target, p.prefillDone, time.Now())
	r.mu.Unlock()
	c.firstEventLatency = time.Since(c.started)
	r.metrics.recordFirstEvent(c, c.firstEventLatency)
}

// recordEnd records a response that was relayed to its end.
func (r *Router) recordEnd(c *call, p *plan, resp *http.Response) {
	if resp.StatusCode == http.StatusOK && len(c.parts) > 0 && !httpclient.IsUnframed(resp) {
		r.Quarantine.RecordCompletion(c.parts)
	}
	r.metrics.recordResponse(c, resp.StatusCode, time.Since(c.started))
	c.log.Info("answered", "route", c.route.Name, "config", c.config.Version, "target", p.target.ID, "status", resp.StatusCode, "sends", c.sends,
		"first_event_ms", c.firstEventLatency.Milliseconds(), "elapsed_ms", time.Since(c.started).Milliseconds())
}
