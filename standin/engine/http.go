package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
)

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	e.mu.Lock()
	e.recordRequest(ReceivedRequest{
		r.Method, r.URL.Path, r.URL.RawQuery, r.Header.Clone(), r.Trailer.Clone(), string(body),
	})
	dropAfterBytes := e.faults.DropAfterBytes
	w.Header().Set(EpochHeader, e.epoch)
	if e.draining {
		w.Header().Set(DrainingHeader, "true")
	}
	e.mu.Unlock()
	if dropAfterBytes != 0 {
		w = &droppingWriter{ResponseWriter: w, remaining: max(dropAfterBytes, 0), beforeHeader: dropAfterBytes < 0}
	}
	e.mux.ServeHTTP(w, r)
}

// droppingWriter closes the connection once its byte limit is reached.
type droppingWriter struct {
	http.ResponseWriter
	remaining    int
	beforeHeader bool // closes the connection without a response
}

// WriteHeader implements http.ResponseWriter.
func (d *droppingWriter) WriteHeader(status int) {
	if d.beforeHeader {
		panic(http.ErrAbortHandler)
	}
	d.ResponseWriter.WriteHeader(status)
}

func (d *droppingWriter) Write(p []byte) (int, error) {
	if len(p) < d.remaining {
		d.remaining -= len(p)
		return d.ResponseWriter.Write(p)
	}
	if d.remaining > 0 {
		_, _ = d.ResponseWriter.Write(p[:d.remaining])
		_ = http.NewResponseController(d.ResponseWriter).Flush()
	}
	panic(http.ErrAbortHandler)
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (d *droppingWriter) Unwrap() http.ResponseWriter { return d.ResponseWriter }

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// rejection is the response to a request that the engine rejects.
type rejection struct {
	Run      string `json:"run"`
	Draining bool   `json:"draining,omitempty"`
	Error    struct {
		Message string `json:"message"`
	} `json:"error"`
}

// reject responds that the request was not executed.
func (e *Engine) reject(w http.ResponseWriter, status int, draining bool, format string, args ...any) {
	e.mu.Lock()
	e.counters.Rejected++
	e.mu.Unlock()
	body := rejection{Run: "not_run", Draining: draining}
	body.Error.Message = fmt.Sprintf(format, args...)
	writeJSON(w, status, body)
}

type completionRequest struct {
	Model               string          `json:"model"`
	Prompt              string          `json:"prompt"`
	Messages            []chatMessage   `json:"messages"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	RequestID           string          `json:"request_id"`
	CacheSalt           string          `json:"cache_salt"`
	Priority            int             `json:"priority"`
	ResumeText          string          `json:"resume_text"`
	ResumeOffset        int             `json:"resume_offset"`
	N                   json.RawMessage `json:"n"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (c *completionRequest) canonicalPrompt(chat bool) []byte {
	if !chat {
		return []byte(c.Prompt)
	}
	messages := make([]prefix.Message, len(c.Messages))
	for i, m := range c.Messages {
		messages[i] = prefix.Message{Role: m.Role, Content: m.Content}
	}
	return prefix.ChatPrompt(messages)
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var request completionRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		e.reject(w, http.StatusBadRequest, false, "the body is not valid: %v", err)
		return
	}
	s, status, err := e.newStream(&request, strings.HasPrefix(r.URL.Path, "/v1/chat/"))
	if err != nil {
		e.reject(w, status, false, "%v", err)
		return
	}
	epoch, rejected := e.accept(w, s, &request)
	if rejected {
		return
	}
	go e.run(s, epoch)
	if request.Stream {
		e.writeStream(w, r, s, s.first)
		return
	}
	e.writeCompletion(w, r, s)
}

func (e *Engine) newStream(c *completionRequest, chat bool) (*stream, int, error) {
	salt := prefix.BlockHash{}
	if c.CacheSalt != "" {
		parsed, err := prefix.ParseHash(c.CacheSalt)
		if err != nil {
			return nil, http.StatusBadRequest, err
		}
		salt = parsed
	}
	if loaded, _ := e.Loaded(c.Model, ""); !loaded {
		return nil, http.StatusNotFound, fmt.Errorf("model %q is not loaded", c.Model)
	}
	s := &stream{
		id: c.RequestID, chat: chat, model: c.Model, prompt: c.canonicalPrompt(chat), salt: salt,
		priority: c.Priority, first: c.ResumeOffset, maxTokens: max(c.MaxTokens, c.MaxCompletionTokens),
		stop: make(chan struct{}), changed: make(chan struct{}),
	}
	if s.id == "" {
		s.id = uuid.NewString()
	}
	s.chain = prefix.Chain(salt, s.prompt)
	if s.maxTokens == 0 {
		s.maxTokens = defaultMaxTokens
	}
	if s.first < 0 || s.first > s.maxTokens {
		return nil, http.StatusBadRequest, fmt.Errorf("resume_offset %d is outside 0..%d", s.first, s.maxTokens)
	}
	if !e.options.AcceptAnyResumeText && c.ResumeText != CompletionText(s.prompt, s.first, e.WeightsVersion()) {
		return nil, http.StatusBadRequest, fmt.Errorf("resume_text is not the first %d tokens", s.first)
	}
	return s, 0, nil
}

// accept registers a stream and returns the current epoch, or rejects the request and
// returns true.
func (e *Engine) accept(w http.ResponseWriter, s *stream, c *completionRequest) (string, bool) {
	e.mu.Lock()
	status, message := 0, ""
	switch {
	case e.draining:
		status, message = http.StatusServiceUnavailable, "the engine is leaving"
	case e.faults.RefuseNotRun || len(e.waiting) >= e.options.MaxWaiting:
		status, message = http.StatusServiceUnavailable, "the engine is overloaded"
	case e.streams[s.id] != nil:
		status, message = http.StatusConflict, "the request id is in use"
	}
	draining, epoch := e.draining, e.epoch
	if status == 0 {
		e.streams[s.id] = s
		e.admit(s)
	}
	e.mu.Unlock()
	if status != 0 {
		e.reject(w, status, draining, "%s", message)
		return "", true
	}
	return epoch, false
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	e.mu.Lock()
	s := e.streams[r.PathValue("id")]
	e.mu.Unlock()
	if s == nil || err != nil || offset < s.first || offset > s.maxTokens {
		e.reject(w, http.StatusNotFound, false, "the stream is not kept from this offset")
		return
	}
	e.writeStream(w, r, s, offset)
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s := e.streams[r.PathValue("id")]
	delete(e.streams, r.PathValue("id"))
	if s != nil {
		e.counters.Cancelled++
	}
	e.mu.Unlock()
	if s == nil {
		writeJSON(w, http.StatusNotFound, map[string]any{"cancelled": false})
		return
	}
	s.end(streamCancelled)
	writeJSON(w, http.StatusOK, map[string]any{"cancelled": true})
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// writeStream writes the stream's events, starting at a token index.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, s *stream, index int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	written := 0
	for {
		text, ok, state, changed := s.next(index)
		if !ok && state == streamRunning {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			}
		}
		if !ok {
			e.writeEnd(w, s, state)
			return
		}
		e.applyStreamFaults(r, written)
		writeEvent(w, e.tokenEvent(s, index, text))
		_ = flusher.Flush()
		index++
		written++
	}
}

// applyStreamFaults closes or stalls the connection if the active faults require it.
func (e *Engine) applyStreamFaults(r *http.Request, written int) {
	f := e.currentFaults()
	if f.DropAfterTokens > 0 && written >= f.DropAfterTokens {
		panic(http.ErrAbortHandler)
	}
	if f.StallAfterTokens > 0 && written >= f.StallAfterTokens {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// writeEnd writes the usage and the end marker, or closes the connection if the stream
// was cancelled or the engine crashed.
func (e *Engine) writeEnd(w http.ResponseWriter, s *stream, state streamState) {
	if state != streamComplete {
		panic(http.ErrAbortHandler)
	}
	writeEvent(w, map[string]any{"id": e.responseID(s), "choices": []any{}, "usage": s.usage()})
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func (s *stream) usage() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return map[string]int{
		"prompt_tokens": prefix.Tokens(len(s.prompt)), "completion_tokens": s.maxTokens,
		"cached_tokens": s.cachedTokens,
	}
}

func (e *Engine) responseID(s *stream) string {
	if e.currentFaults().WrongID {
		return "other-" + s.id
	}
	return s.id
}

func (e *Engine) tokenEvent(s *stream, index int, text string) map[string]any {
	choice := map[string]any{"index": 0, "finish_reason": nil}
	if index == s.maxTokens-1 {
		choice["finish_reason"] = "length"
	}
	object := "text_completion"
	if s.chat {
		choice["delta"] = map[string]string{"content": text}
		object = "chat.completion.chunk"
	} else {
		choice["text"] = text
	}
	return map[string]any{
		"id": e.responseID(s), "object": object, "model": s.model, "offset": index, "choices": []any{choice},
	}
}

func writeEvent(w io.Writer, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		return
	}
	_, _ = w.Write(slices.Concat([]byte("data: "), data, []byte("\n\n")))
}

// writeCompletion waits for the end of the stream and writes its text as one response.
func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, s *stream) {
	var text strings.Builder
	for index := s.first; ; {
		tokenText, ok, state, changed := s.next(index)
		switch {
		case ok:
			text.WriteString(tokenText)
			index++
			continue
		case state == streamRunning:
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			}
		case state != streamComplete:
			panic(http.ErrAbortHandler)
		}
		break
	}
	choice := map[string]any{"index": 0, "finish_reason": "length"}
	if s.chat {
		choice["message"] = map[string]string{"role": "assistant", "content": text.String()}
	} else {
		choice["text"] = text.String()
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"id": e.responseID(s), "model": s.model, "choices": []any{choice}, "usage": s.usage(),
	})
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	response := struct {
		Epoch    string       `json:"epoch"`
		Reset    bool         `json:"reset"`
		Sequence uint64       `json:"sequence"`
		Events   []cacheEvent `json:"events"`
	}{Epoch: e.epoch}
	available := false
	if r.URL.Query().Get("epoch") == e.epoch {
		response.Events, response.Sequence, available = e.cache.eventsAfter(after, time.Now().Add(-e.options.EventDelay))
	}
	if !available {
		response.Reset, response.Sequence, response.Events = true, e.cache.sequence, e.cache.snapshot()
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, response)
}
