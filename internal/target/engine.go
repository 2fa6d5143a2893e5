package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
)

// epochHeader carries the engine's epoch in each response.
const epochHeader = "X-Engine-Epoch"

const (
	cancelTimeout = 2 * time.Second
	// maxReportBytes bounds load reports and lists of cache events.
	maxReportBytes = 32 << 20
)

// HTTPEngineClient is an EngineClient over HTTP.
type HTTPEngineClient struct {
	client *http.Client
}

// NewEngineClient returns a client that reuses connections.
func NewEngineClient() *HTTPEngineClient { return NewWrappedEngineClient(nil) }

// NewWrappedEngineClient is NewEngineClient with a wrapper for its transport; nil means
// none.
func NewWrappedEngineClient(wrap func(http.RoundTripper) http.RoundTripper) *HTTPEngineClient {
	return &HTTPEngineClient{newHTTPClient(wrapTransport(newTransport(true), wrap))}
}

// engineFields are the fields of the engine protocol, which callers must not set.
var engineFields = []string{"request_id", "cache_salt", "priority", "resume_text", "resume_offset", "stream", "stream_options"}

// RemoveEngineFields removes the fields that only a router may set.
func RemoveEngineFields(body map[string]any) {
	for _, name := range engineFields {
		delete(body, name)
	}
}

func encodeEngineBody(r *CompletionRequest) ([]byte, error) {
	body := maps.Clone(r.Body)
	if body == nil {
		body = map[string]any{}
	}
	RemoveEngineFields(body)
	body["request_id"] = r.RequestID
	body["cache_salt"] = r.CacheSalt
	body["priority"] = r.Priority
	body["stream"] = true
	if r.ResumeOffset > 0 {
		body["resume_text"] = r.ResumeText
		body["resume_offset"] = r.ResumeOffset
	}
	return json.Marshal(body)
}

// Complete starts a completion; the response is always streamed.
func (c *HTTPEngineClient) Complete(ctx context.Context, t *config.Target, r *CompletionRequest) (TokenStream, error) {
	body, err := encodeEngineBody(r)
	if err != nil {
		return nil, &CallError{Step: StepSend, Target: t.ID, NotExecuted: true, Err: err}
	}
	path := "/v1/completions"
	if r.Chat {
		path = "/v1/chat/completions"
	}
	return c.openStream(ctx, t, http.MethodPost, path, body, r.RequestID)
}

// Resume continues a stream that the engine keeps.
func (c *HTTPEngineClient) Resume(ctx context.Context, t *config.Target, requestID string, offset int) (TokenStream, error) {
	path := "/v1/streams/" + url.PathEscape(requestID) + "?offset=" + strconv.Itoa(offset)
	return c.openStream(ctx, t, http.MethodGet, path, nil, requestID)
}

func (c *HTTPEngineClient) openStream(ctx context.Context, t *config.Target, method, path string, body []byte, requestID string) (TokenStream, error) {
	ctx, stop := context.WithCancel(ctx)
	response, err := c.send(ctx, t, method, path, body)
	if err != nil {
		stop()
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		defer stop()
		return nil, newStatusError(t.ID, response)
	}
	return &httpTokenStream{
		engine: c, target: t, requestID: requestID, response: response, stop: stop,
		events: newSSEReader(response.Body), epoch: response.Header.Get(epochHeader),
	}, nil
}

// send returns a response, or a *CallError.
func (c *HTTPEngineClient) send(ctx context.Context, t *config.Target, method, path string, body []byte) (*http.Response, error) {
	tracker, ctx := newWriteTracker(ctx, nil)
	request, err := http.NewRequestWithContext(ctx, method, t.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, &CallError{Step: StepSend, Target: t.ID, NotExecuted: true, Err: stripURL(err)}
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, newSendError(t.ID, tracker, err)
	}
	return response, nil
}

// Cancel ends a request at the engine. A request that the engine does not have counts
// as cancelled.
func (c *HTTPEngineClient) Cancel(ctx context.Context, t *config.Target, requestID string) error {
	response, err := c.send(ctx, t, http.MethodDelete, "/v1/streams/"+url.PathEscape(requestID), nil)
	if err != nil {
		return err
	}
	if response.StatusCode == http.StatusOK || response.StatusCode == http.StatusNotFound {
		_ = response.Body.Close()
		return nil
	}
	return newStatusError(t.ID, response)
}

type loadBody struct {
	Epoch                string `json:"epoch"`
	Running              int    `json:"running"`
	Waiting              int    `json:"waiting"`
	PendingPrefillTokens int    `json:"pending_prefill_tokens"`
	Draining             bool   `json:"draining"`
	WeightsVersion       string `json:"weights_version"`
	MeasuredAtMs         int64  `json:"measured_at_ms"`
}

// Load requests the engine's load report.
func (c *HTTPEngineClient) Load(ctx context.Context, t *config.Target) (LoadReport, error) {
	var b loadBody
	if err := c.getJSON(ctx, t, "/v1/load", &b); err != nil {
		return LoadReport{}, err
	}
	return LoadReport{
		Epoch: b.Epoch, WeightsVersion: b.WeightsVersion, Running: b.Running, Waiting: b.Waiting,
		PendingPrefillTokens: b.PendingPrefillTokens, Draining: b.Draining, MeasuredAt: time.UnixMilli(b.MeasuredAtMs),
	}, nil
}

type cacheEventsBody struct {
	Epoch    string `json:"epoch"`
	Reset    bool   `json:"reset"`
	Sequence uint64 `json:"sequence"`
	Events   []struct {
		Sequence uint64 `json:"sequence"`
		Hash     string `json:"hash"`
		Stored   bool   `json:"stored"`
	} `json:"events"`
}

// CacheEvents requests the cache events after a sequence number of an epoch.
func (c *HTTPEngineClient) CacheEvents(ctx context.Context, t *config.Target, epoch string, after uint64) (CacheEvents, error) {
	query := url.Values{"epoch": {epoch}, "after": {strconv.FormatUint(after, 10)}}
	var b cacheEventsBody
	if err := c.getJSON(ctx, t, "/v1/cache/events?"+query.Encode(), &b); err != nil {
		return CacheEvents{}, err
	}
	events := CacheEvents{Epoch: b.Epoch, Reset: b.Reset, Sequence: b.Sequence, Events: make([]CacheEvent, 0, len(b.Events))}
	for _, e := range b.Events {
		hash, err := prefix.ParseHash(e.Hash)
		if err != nil {
			return CacheEvents{}, &CallError{Step: StepResponse, Target: t.ID, Status: http.StatusOK, Err: err}
		}
		events.Events = append(events.Events, CacheEvent{Sequence: e.Sequence, Hash: hash, Stored: e.Stored})
	}
	return events, nil
}

func (c *HTTPEngineClient) getJSON(ctx context.Context, t *config.Target, path string, result any) error {
	response, err := c.send(ctx, t, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return newStatusError(t.ID, response)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(result); err != nil {
		return &CallError{Step: StepResponse, Target: t.ID, Status: response.StatusCode, Err: errors.Wrap(err, "decode")}
	}
	return nil
}

// httpTokenStream reads the events of one attempt.
type httpTokenStream struct {
	engine    *HTTPEngineClient
	target    *config.Target
	requestID string
	response  *http.Response
	stop      context.CancelFunc
	events    *sseReader
	epoch     string
	// chunk is reused for each event.
	chunk  chunkBody
	done   bool
	closed bool
}

// Epoch implements TokenStream.
func (s *httpTokenStream) Epoch() string { return s.epoch }

const doneMarker = "[DONE]"

type chunkBody struct {
	ID      string `json:"id"`
	Offset  int    `json:"offset"`
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		CachedTokens     int `json:"cached_tokens"`
	} `json:"usage"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

// reset clears the chunk and keeps its memory. It clears the choices explicitly,
// because the decoder does not clear the elements of a slice that it reuses.
func (c *chunkBody) reset() {
	choices := c.Choices[:cap(c.Choices)]
	clear(choices)
	*c = chunkBody{Choices: choices[:0]}
}

// Next returns the next event. Events of other requests are dropped.
func (s *httpTokenStream) Next() (TokenEvent, error) {
	for {
		data, err := s.events.next()
		if err == io.EOF {
			err = errors.Wrap(io.ErrUnexpectedEOF, "the stream ended without its end marker")
		}
		if err != nil {
			return TokenEvent{}, s.streamError(err)
		}
		if string(data) == doneMarker {
			s.done = true
			return TokenEvent{Done: true}, nil
		}
		chunk := &s.chunk
		chunk.reset()
		if err := json.Unmarshal(data, chunk); err != nil {
			return TokenEvent{}, s.streamError(errors.Wrap(err, "decode event"))
		}
		if chunk.Error != nil {
			return TokenEvent{}, s.streamError(errors.Errorf("the engine reports: %.200s", chunk.Error.Message))
		}
		if chunk.ID == s.requestID {
			return chunk.tokenEvent(), nil
		}
	}
}

func (c *chunkBody) tokenEvent() TokenEvent {
	e := TokenEvent{Offset: c.Offset}
	if c.Usage != nil {
		e.Usage = &Usage{c.Usage.PromptTokens, c.Usage.CompletionTokens, c.Usage.CachedTokens}
	}
	if len(c.Choices) > 0 {
		first := c.Choices[0]
		e.Text = first.Text + first.Delta.Content
		if first.FinishReason != nil {
			e.FinishReason = *first.FinishReason
		}
	}
	return e
}

func (s *httpTokenStream) streamError(err error) error {
	return &CallError{Step: StepStream, Target: s.target.ID, Status: http.StatusOK, Err: stripURL(err)}
}

// Close implements TokenStream. It cancels the request in the background, so that the
// caller need not wait.
func (s *httpTokenStream) Close() {
	if s.closed {
		return
	}
	s.closed = true
	s.stop()
	_ = s.response.Body.Close()
	if s.done {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = s.engine.Cancel(ctx, s.target, s.requestID) // an engine that has stopped runs nothing
	}()
}
