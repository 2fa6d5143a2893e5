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
	// maxUnstreamedBytes bounds the text of a response that is not streamed.
	maxUnstreamedBytes = 16 << 20
)

// serveCompletion serves a completion request.
func (c *call) serveCompletion(chat bool) error {
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
	run.eventIDs = eventIDs{secret: c.gateway.options.StreamSecret, accountID: c.accountID(), fingerprint: parsed.fingerprint}
	if run.resumeFrom, err = run.resumePosition(); err != nil {
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
	ctx, span := c.startSpan(ctx, "limit")
	defer span.End()
	return c.gateway.options.Limiter.Reserve(ctx, c.accountID(), tokens)
}

// completionRun is the execution of one completion.
type completionRun struct {
	*call
	request    *completionRequest
	eventIDs   eventIDs
	resumeFrom *dispatch.StreamPosition
	// reservation is nil after a renewal that was refused.
	reservation quota.Reservation
	created     int64
	// offset is the number of tokens that were accepted, including the startOffset tokens
	// that a resuming caller already has.
	offset      int
	startOffset int
	// finishReason is that of the last accepted token.
	finishReason string
	// sinkErr is the error with which the gateway ended the completion.
	sinkErr error
	// dispatchAllowed is set once an attempt was allowed. From then on the refusal of a
	// further attempt does not prove that the request was not executed.
	dispatchAllowed atomic.Bool
	ring            *eventRing
	writerDone      chan struct{} // closed when the ring's writer has ended
	encoder         chunkEncoder
}

// resumePosition returns the position in the Last-Event-ID header, or nil without one.
func (run *completionRun) resumePosition() (*dispatch.StreamPosition, error) {
	id := run.r.Header.Get(lastEventIDHeader)
	if id == "" {
		return nil, nil
	}
	if !run.request.stream {
		return nil, invalidRequest("%s needs stream to be true", lastEventIDHeader)
	}
	position, ok := run.eventIDs.parse(id)
	if !ok || position.Offset > run.request.maxTokens {
		return nil, refusal.New(refusal.StreamNotResumable, "%s is not of a stream of this account and body", lastEventIDHeader)
	}
	run.offset, run.startOffset = position.Offset, position.Offset
	return &position, nil
}

func (run *completionRun) tokensToReserve() int64 {
	return run.request.reservedTokens() - int64(run.startOffset)
}

func (run *completionRun) serve() error {
	ctx, cancel := context.WithDeadline(run.r.Context(), run.deadline)
	defer cancel()
	ctx, release := run.gateway.cancelOnWithdrawal(ctx, run.call)
	defer release()
	ctx, span := run.startSpan(ctx, "completion")
	defer span.End()

	var output strings.Builder
	sink := func(t dispatch.Token) error {
		run.sinkErr = run.deliver(ctx, t, &output)
		return run.sinkErr
	}
	result, err := run.gateway.options.Completer.Complete(ctx, run.dispatchRequest(), sink)
	err = run.finalError(ctx, err)
	run.settle(result, err)
	if run.request.stream {
		return run.endStream(result, err)
	}
	if err != nil {
		return err
	}
	run.writeJSON(http.StatusOK, run.unstreamedBody(output.String(), result))
	return nil
}

// deliver checks a token, then writes it to the stream or appends it to output.
func (run *completionRun) deliver(ctx context.Context, t dispatch.Token, output *strings.Builder) error {
	if err := run.acceptToken(t); err != nil {
		return err
	}
	if run.request.stream {
		return run.writeToken(ctx, t)
	}
	if output.Len()+len(t.Text) > maxUnstreamedBytes {
		return refusal.New(refusal.TargetFailed, "the answer is longer than %d bytes", maxUnstreamedBytes).WithExecution(refusal.ExecutionUnknown)
	}
	output.WriteString(t.Text)
	return nil
}

func (run *completionRun) dispatchRequest() *dispatch.Completion {
	return &dispatch.Completion{
		RequestID: run.id, AccountID: run.accountID(), Model: run.request.model, Chat: run.request.chat,
		Body: run.request.body, Prompt: run.request.prompt, MaxOutputTokens: run.request.maxTokens,
		Deadline: run.deadline, ResumeFrom: run.resumeFrom,
		AllowDispatch: run.allowDispatch,
	}
}

// allowDispatch is the last check before an attempt is sent.
func (run *completionRun) allowDispatch() error {
	if run.dispatchAllowed.Load() {
		// A further attempt uses the reservation of the first one, even if it has expired.
		if err := run.checkDispatch(nil); err != nil {
			return refusal.From(err).WithExecution(refusal.ExecutionUnknown)
		}
		return nil
	}
	if err := run.renewReservation(); err != nil {
		return err
	}
	if err := run.checkDispatch(run.reservation); err != nil {
		return err
	}
	run.dispatchAllowed.Store(true)
	return nil
}

// renewReservation reserves the tokens again if the reservation has expired during a wait
// in the queue. Tokens then count at the time of their use, and a long queue does not
// cause refusals.
func (run *completionRun) renewReservation() error {
	if run.reservation != nil {
		if run.reservation.Valid() {
			return nil
		}
		run.reservation.Settle(0)
	}
	reservation, err := run.reserve(run.tokensToReserve())
	run.reservation = reservation
	return err
}

// checkDispatch returns a refusal if the request must no longer be sent: its deadline has
// passed, its reservation has expired, the configuration is not fresh or the key was
// withdrawn.
func (c *call) checkDispatch(reservation quota.Reservation) error {
	if err := c.checkDeadline(); err != nil {
		return err
	}
	if reservation != nil && !reservation.Valid() {
		return refusal.New(refusal.Overloaded, "the request waited longer than its token reservation")
	}
	if c.key != nil {
		if err := c.checkFresh(); err != nil {
			return err
		}
	}
	return c.checkKey()
}

// acceptToken checks that a token is the next one and that the key is still valid.
func (run *completionRun) acceptToken(t dispatch.Token) error {
	if t.Position.Offset != run.offset+1 {
		return refusal.New(refusal.TargetFailed, "the answer has a gap").WithExecution(refusal.ExecutionUnknown).
			WithCause(errors.Errorf("token %d follows token %d", t.Position.Offset, run.offset))
	}
	if err := run.checkKey(); err != nil {
		return refusal.From(err).WithExecution(refusal.ExecutionUnknown)
	}
	run.offset++
	run.finishReason = t.FinishReason
	return nil
}

// finalError returns the refusal that the caller receives, or nil after a complete
// response. A request that may have been executed is never reported as not executed.
//
// A complete response ends with a token that has a finish reason. A response without one
// is a failure, unless a caller resumes after all tokens and therefore receives none.
func (run *completionRun) finalError(ctx context.Context, err error) error {
	switch {
	case run.sinkErr != nil:
		err = run.sinkErr
	case err == nil && run.finishReason == "" && run.offset < run.request.maxTokens:
		err = refusal.New(refusal.TargetFailed, "the answer has no last token").WithExecution(refusal.ExecutionUnknown)
	case err == nil:
		return nil
	}
	var withdrawn *refusal.Error
	refused := refusal.From(err)
	if errors.As(context.Cause(ctx), &withdrawn) {
		execution := refused.Execution
		if !run.dispatchAllowed.Load() {
			execution = refusal.NotExecuted
		}
		refused = withdrawn.WithExecution(execution).WithCause(err)
	}
	if refused.Execution == refusal.NotExecuted && run.offset > run.startOffset {
		refused = refused.WithExecution(refusal.ExecutionUnknown)
	}
	return refused
}

// settle returns unused tokens to the client account. A request that was not executed has
// used none. Otherwise the engine's counts apply; without them, the estimate for the
// prompt and the number of accepted tokens.
func (run *completionRun) settle(result dispatch.Result, err error) {
	reservation := run.reservation
	if reservation == nil {
		return
	}
	if err != nil && refusal.From(err).Execution == refusal.NotExecuted {
		reservation.Settle(0)
		return
	}
	promptTokens := result.Usage.PromptTokens
	if promptTokens == 0 {
		promptTokens = prefix.Tokens(len(run.request.prompt))
	}
	outputTokens := run.offset - run.startOffset
	if run.resumeFrom == nil {
		outputTokens = max(outputTokens, result.Usage.CompletionTokens) // counts from the first token
	}
	reservation.Settle(min(int64(promptTokens+outputTokens), run.tokensToReserve()))
}

// startStream sends the response headers. It is called with the first event, so that an
// earlier refusal is sent with its own status.
func (run *completionRun) startStream() {
	h := run.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	run.w.WriteHeader(http.StatusOK)
	run.ring, run.writerDone = newEventRing(), make(chan struct{})
	run.gateway.openStreams.Add(1)
	go func() {
		defer close(run.writerDone)
		run.ring.writeTo(run.w, run.gateway.options.WriteTimeout)
	}()
}

func (run *completionRun) writeToken(ctx context.Context, t dispatch.Token) error {
	first := run.ring == nil
	if first {
		run.startStream()
	}
	event, err := run.encodeToken(t, first)
	if err != nil {
		return err
	}
	return run.ring.put(ctx, event)
}

// encodeEvent returns a server-sent event without an id. The data must not contain line
// breaks.
func encodeEvent(name string, data []byte) []byte {
	var event []byte
	if name != "" {
		event = append(append(event, "event: "...), name...)
		event = append(event, '\n')
	}
	event = append(append(event, "data: "...), data...)
	return append(event, "\n\n"...)
}

// endStream writes the final events of a complete response, or an error event.
func (run *completionRun) endStream(result dispatch.Result, err error) error {
	if run.ring == nil {
		if err != nil {
			return err
		}
		run.startStream() // the caller resumed after the last token
	}
	defer run.gateway.openStreams.Add(-1)
	if err == nil {
		run.ring.close(run.finalEvents(result), false)
		<-run.writerDone
		return nil
	}
	refused := refusal.From(err)
	run.recordRefusal(refused)
	data, marshalErr := json.Marshal(run.errorBody(refused))
	if marshalErr != nil {
		data = []byte(`{"error":{"code":"target_failed","run":"unknown"}}`)
	}
	run.ring.close(encodeEvent("error", data), refused.Code == refusal.KeyWithdrawn)
	<-run.writerDone
	return nil
}

func (run *completionRun) finalEvents(result dispatch.Result) []byte {
	var events []byte
	if run.request.includeUsage {
		if data, err := json.Marshal(run.usageChunk(result)); err == nil {
			events = encodeEvent("", data)
		}
	}
	return append(events, encodeEvent("", []byte("[DONE]"))...)
}
