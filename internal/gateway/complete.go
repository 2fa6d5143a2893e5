package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sequoiaroad/sequoiaroad/internal/dispatch"
	"github.com/sequoiaroad/sequoiaroad/internal/quota"
	"github.com/sequoiaroad/sequoiaroad/internal/refusal"
	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
)

const (
	lastEventIDHeader = "Last-Event-ID"
	// maxWholeBytes bounds an answer that is not streamed.
	maxWholeBytes = 16 << 20
)

// complete answers a completion request.
func (c *call) complete(chat bool) error {
	if err := c.admit(); err != nil {
		return err
	}
	if err := c.setDeadline(); err != nil {
		return err
	}
	data, err := c.readBody()
	if err != nil {
		return err
	}
	parsed, err := c.parseCompletion(data, chat)
	if err != nil {
		return err
	}
	run := &completionRun{call: c, request: parsed, created: time.Now().Unix()}
	run.ids = eventIDs{secret: c.g.options.StreamSecret, accountID: c.accountID(), fingerprint: parsed.fingerprint}
	if run.resume, err = run.resumePosition(); err != nil {
		return err
	}
	if run.reservation, err = c.reserve(run.tokensToReserve()); err != nil {
		return err
	}
	return run.serve()
}

func (c *call) reserve(tokens int64) (quota.Reservation, error) {
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	ctx, span := c.span(ctx, "limit")
	defer span.End()
	return c.g.options.Limiter.Reserve(ctx, c.accountID(), tokens)
}

// completionRun is the execution of one completion.
type completionRun struct {
	*call
	request *completionRequest
	ids     eventIDs
	resume  *dispatch.StreamPosition
	// reservation is nil after a renewal that found no tokens.
	reservation quota.Reservation
	created     int64
	// offset counts the tokens that the caller has or that were taken for it in this
	// call, which began at start.
	offset int
	start  int
	// finish is the reason on the last token.
	finish string
	// sinkErr is the error that ended the completion from this side.
	sinkErr error
	// allowed says that an attempt was allowed, after which a refusal of a further
	// attempt can't prove that the request did not run.
	allowed atomic.Bool
	ring    *eventRing
	written chan struct{} // closed when the ring's writer has ended
	chunk   chunkEncoder
}

// resumePosition reads Last-Event-ID; nil without one.
func (r *completionRun) resumePosition() (*dispatch.StreamPosition, error) {
	id := r.r.Header.Get(lastEventIDHeader)
	if id == "" {
		return nil, nil
	}
	if !r.request.stream {
		return nil, invalid("%s needs stream to be true", lastEventIDHeader)
	}
	position, ok := r.ids.parse(id)
	if !ok || position.Offset > r.request.maxTokens {
		return nil, refusal.New(refusal.StreamNotResumable, "%s is not of a stream of this account and body", lastEventIDHeader)
	}
	r.offset, r.start = position.Offset, position.Offset
	return &position, nil
}

func (r *completionRun) tokensToReserve() int64 {
	return r.request.reservedTokens() - int64(r.start)
}

func (r *completionRun) serve() error {
	ctx, cancel := context.WithDeadline(r.r.Context(), r.deadline)
	defer cancel()
	ctx, unwatch := r.g.watchKey(ctx, r.call)
	defer unwatch()
	ctx, span := r.span(ctx, "completion")
	defer span.End()

	var whole strings.Builder
	sink := func(t dispatch.Token) error {
		r.sinkErr = r.deliver(ctx, t, &whole)
		return r.sinkErr
	}
	result, err := r.g.options.Completer.Complete(ctx, r.completion(), sink)
	err = r.judge(ctx, err)
	r.settle(result, err)
	if r.request.stream {
		return r.endStream(result, err)
	}
	if err != nil {
		return err
	}
	r.writeJSON(http.StatusOK, r.wholeBody(whole.String(), result))
	return nil
}

// deliver takes a token for the caller.
func (r *completionRun) deliver(ctx context.Context, t dispatch.Token, whole *strings.Builder) error {
	if err := r.takeToken(t); err != nil {
		return err
	}
	if r.request.stream {
		return r.writeToken(ctx, t)
	}
	if whole.Len()+len(t.Text) > maxWholeBytes {
		return refusal.New(refusal.TargetFailed, "the answer is longer than %d bytes", maxWholeBytes).WithExecution(refusal.ExecutionUnknown)
	}
	whole.WriteString(t.Text)
	return nil
}

func (r *completionRun) completion() *dispatch.Completion {
	return &dispatch.Completion{
		RequestID: r.id, AccountID: r.accountID(), Model: r.request.model, Chat: r.request.chat,
		Body: r.request.body, Prompt: r.request.prompt, MaxOutputTokens: r.request.maxTokens,
		Deadline: r.deadline, ResumeFrom: r.resume,
		AllowDispatch: r.allowDispatch,
	}
}

// allowDispatch is the last check before an attempt is sent.
func (r *completionRun) allowDispatch() error {
	if r.allowed.Load() {
		// A further attempt goes on with what the first one was charged for, however
		// long ago that was.
		if err := r.mayDispatch(nil); err != nil {
			return refusal.From(err).WithExecution(refusal.ExecutionUnknown)
		}
		return nil
	}
	if err := r.renewReservation(); err != nil {
		return err
	}
	if err := r.mayDispatch(r.reservation); err != nil {
		return err
	}
	r.allowed.Store(true)
	return nil
}

// renewReservation reserves again after a long wait in the queue, so that tokens count
// when they are used and a wait of the system's own making refuses nothing.
func (r *completionRun) renewReservation() error {
	if r.reservation != nil {
		if r.reservation.Valid() {
			return nil
		}
		r.reservation.Settle(0)
	}
	renewed, err := r.reserve(r.tokensToReserve())
	r.reservation = renewed
	return err
}

func (c *call) mayDispatch(reservation quota.Reservation) error {
	if err := c.beforeDeadline(); err != nil {
		return err
	}
	if reservation != nil && !reservation.Valid() {
		return refusal.New(refusal.Overloaded, "the request waited longer than its token reservation")
	}
	if c.key != nil {
		if err := c.fresh(); err != nil {
			return err
		}
	}
	return c.keyValid()
}

// takeToken checks that a token is the next one and that the key is still valid.
func (r *completionRun) takeToken(t dispatch.Token) error {
	if t.Position.Offset != r.offset+1 {
		return refusal.New(refusal.TargetFailed, "the answer has a gap").WithExecution(refusal.ExecutionUnknown).
			WithCause(errors.Errorf("token %d follows token %d", t.Position.Offset, r.offset))
	}
	if err := r.keyValid(); err != nil {
		return refusal.From(err).WithExecution(refusal.ExecutionUnknown)
	}
	r.offset++
	r.finish = t.FinishReason
	return nil
}

// judge turns the outcome into the refusal that the caller sees. A request that may
// have run is never reported as not run.
//
// A whole answer has a last token with a finish reason. A caller that resumes after all
// tokens gets none; any other answer without one is a failure.
func (r *completionRun) judge(ctx context.Context, err error) error {
	switch {
	case r.sinkErr != nil:
		err = r.sinkErr
	case err == nil && r.finish == "" && r.offset < r.request.maxTokens:
		err = refusal.New(refusal.TargetFailed, "the answer has no last token").WithExecution(refusal.ExecutionUnknown)
	case err == nil:
		return nil
	}
	var withdrawn *refusal.Error
	answer := refusal.From(err)
	if errors.As(context.Cause(ctx), &withdrawn) {
		run := answer.Execution
		if !r.allowed.Load() {
			run = refusal.NotExecuted
		}
		answer = withdrawn.WithExecution(run).WithCause(err)
	}
	if answer.Execution == refusal.NotExecuted && r.offset > r.start {
		answer = answer.WithExecution(refusal.ExecutionUnknown)
	}
	return answer
}

// settle gives unused tokens back. A request that did not run used none; otherwise the
// engine's count applies, or the prompt's estimate and the tokens seen.
func (r *completionRun) settle(result dispatch.Result, err error) {
	reservation := r.reservation
	if reservation == nil {
		return
	}
	if err != nil && refusal.From(err).Execution == refusal.NotExecuted {
		reservation.Settle(0)
		return
	}
	prompt := result.Usage.PromptTokens
	if prompt == 0 {
		prompt = prefix.Tokens(len(r.request.prompt))
	}
	seen := r.offset - r.start
	if r.resume == nil {
		seen = max(seen, result.Usage.CompletionTokens) // counts from the first token
	}
	reservation.Settle(min(int64(prompt+seen), r.tokensToReserve()))
}

// startStream sends the headers with the first event, so that a refusal before it has
// its own status.
func (r *completionRun) startStream() {
	h := r.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	r.w.WriteHeader(http.StatusOK)
	r.ring, r.written = newEventRing(), make(chan struct{})
	r.g.openStreams.Add(1)
	go func() {
		defer close(r.written)
		r.ring.drainTo(r.w, r.g.options.WriteTimeout)
	}()
}

func (r *completionRun) writeToken(ctx context.Context, t dispatch.Token) error {
	first := r.ring == nil
	if first {
		r.startStream()
	}
	event, err := r.encodeToken(t, first)
	if err != nil {
		return err
	}
	return r.ring.put(ctx, event)
}

// encodeEvent returns a server-sent event without id; data has no line breaks.
func encodeEvent(name string, data []byte) []byte {
	var event []byte
	if name != "" {
		event = append(append(event, "event: "...), name...)
		event = append(event, '\n')
	}
	event = append(append(event, "data: "...), data...)
	return append(event, "\n\n"...)
}

// endStream writes the end marker after a whole answer, or an error event.
func (r *completionRun) endStream(result dispatch.Result, err error) error {
	if r.ring == nil {
		if err != nil {
			return err
		}
		r.startStream() // a resumed stream that had all its tokens
	}
	defer r.g.openStreams.Add(-1)
	if err == nil {
		r.ring.close(r.lastEvents(result), false)
		<-r.written
		return nil
	}
	answer := refusal.From(err)
	r.logRefusal(answer)
	data, marshalErr := json.Marshal(r.errorBody(answer))
	if marshalErr != nil {
		data = []byte(`{"error":{"code":"target_failed","run":"unknown"}}`)
	}
	r.ring.close(encodeEvent("error", data), answer.Code == refusal.KeyWithdrawn)
	<-r.written
	return nil
}

func (r *completionRun) lastEvents(result dispatch.Result) []byte {
	var events []byte
	if r.request.includeUsage {
		if data, err := json.Marshal(r.usageChunk(result)); err == nil {
			events = encodeEvent("", data)
		}
	}
	return append(events, encodeEvent("", []byte("[DONE]"))...)
}
