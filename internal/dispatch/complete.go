package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/refusal"
	"github.com/sequoiaroad/sequoiaroad/internal/target"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
	"github.com/sequoiaroad/sequoiaroad/policy/routing"
)

const (
	// maxAttempts bounds the attempts of one completion, in addition to the retry
	// budget.
	maxAttempts = 4
	// maxResumes bounds consecutive resumes at one engine that deliver no token.
	maxResumes = 2
	// cancelTimeout bounds the call that cancels an abandoned attempt.
	cancelTimeout = 2 * time.Second
	// retryJitter is the longest random delay before a retry, so that requests that
	// failed together are not retried together.
	retryJitter = 50 * time.Millisecond
	// firstTokenFactor is how many times the predicted time to first token is added to
	// the stall timeout until the first token.
	firstTokenFactor = 3
)

// completionRun is the state of one completion.
type completionRun struct {
	d           *Dispatcher
	c           *Completion
	sink        func(Token) error
	started     time.Time
	model       *config.Model
	seed        prefix.BlockHash
	blockHashes []prefix.BlockHash
	// overRate is set if the account exceeded its rate when the request arrived.
	overRate  bool
	assembler assembler
	result    Result
	// weightsVersion is the version of the weights that produced the text so far; empty
	// if it is not known. origin is the engine that began the text.
	weightsVersion string
	origin         origin
	// possiblyExecuted is set once bytes of the request may have reached an engine.
	possiblyExecuted bool
	// skipTokens is the number of tokens that the caller received before it
	// reconnected.
	skipTokens int
	tried      map[string]bool
	// triedReset is set once tried was emptied because no other target was left.
	triedReset bool
	// wastedTokens counts the uncached prompt tokens of failed attempts.
	wastedTokens int
	// bestCachedTokens is the most prompt tokens that a usable target had cached when
	// the first target was chosen.
	bestCachedTokens int
	lastErr          error
	// lastDrained is set if the last attempt failed because the target is leaving.
	lastDrained bool
	// requestRecorded is set once the copier has recorded the use of blockHashes.
	requestRecorded bool
}

// callerAbortError means that the sink or the caller's context ended the completion.
type callerAbortError struct{ err error }

func (e *callerAbortError) Error() string { return "the caller ended the completion: " + e.err.Error() }
func (e *callerAbortError) Unwrap() error { return e.err }

func newCompletionRun(d *Dispatcher, c *Completion, m *config.Model) *completionRun {
	r := &completionRun{d: d, c: c, model: m, started: d.clock(), tried: map[string]bool{}}
	namespace := prefix.Namespace{AccountID: c.AccountID, Model: c.Model, WeightsVersion: m.WeightsVersion}
	r.seed = namespace.Seed()
	r.blockHashes = prefix.Chain(r.seed, c.Prompt)
	return r
}

func (r *completionRun) query(tried map[string]bool) *routing.Query {
	q := &routing.Query{
		Model: r.c.Model, Weights: r.model.WeightsVersion, Chain: r.blockHashes, PromptBytes: len(r.c.Prompt),
		Tried: tried, SameWeights: r.assembler.next > 0,
	}
	if q.SameWeights {
		q.Weights = r.weightsVersion
	}
	if len(r.blockHashes) == 0 {
		q.PromptHash = xxhash.Sum64(r.c.Prompt)
	}
	return q
}

// Complete implements Completer.
func (d *Dispatcher) Complete(ctx context.Context, c *Completion, sink func(Token) error) (Result, error) {
	m := d.options.Config().Model(c.Model)
	if m == nil {
		return Result{}, refusal.New(refusal.NotFound, "model %q is unknown", c.Model)
	}
	r := newCompletionRun(d, c, m)
	r.sink = sink
	if !c.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, c.Deadline)
		defer cancel()
	}
	if c.ResumeFrom != nil {
		return r.reconnect(ctx)
	}
	reserved := prefix.Tokens(len(c.Prompt)) + c.MaxOutputTokens
	r.overRate = d.chargeAccount(c.AccountID, reserved)
	result, err := r.complete(ctx)
	if err == nil || !r.possiblyExecuted {
		d.refundAccount(c.AccountID, reserved-result.Usage.PromptTokens-result.Usage.CompletionTokens)
	}
	return result, err
}

// complete makes attempts until one finishes the completion.
func (r *completionRun) complete(ctx context.Context) (Result, error) {
	for {
		done, err := r.attempt(ctx)
		if err != nil {
			return r.fail(err)
		}
		if done {
			return r.finish(), nil
		}
		if err := r.mayRetry(ctx); err != nil {
			return r.fail(err)
		}
	}
}

// mayRetry returns an error if no further attempt is allowed, and otherwise waits for a
// random delay. Neither the retry budget nor the delay applies to a stream that the
// caller has partly received and would lose, or to a request that a leaving target
// rejected, which has cost nothing.
func (r *completionRun) mayRetry(ctx context.Context) error {
	if r.assembler.next > 0 && r.textWeights() == "" {
		return refusal.New(refusal.TargetFailed, "the weights that began the stream are not known").WithCause(r.lastErr)
	}
	budgetExempt := r.assembler.next > 0 || r.lastDrained
	if r.result.Attempts >= maxAttempts && !r.lastDrained || !budgetExempt && !r.d.takeRetry() {
		return r.noTargetError(false)
	}
	if budgetExempt {
		return nil
	}
	timer := time.NewTimer(r.d.jitter(retryJitter))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return r.contextError(ctx)
	}
}

// attempt sends the completion to one target. It returns false without an error if
// another attempt may be made.
func (r *completionRun) attempt(ctx context.Context) (bool, error) {
	p, err := r.d.acquire(ctx, r)
	if err != nil {
		return false, err
	}
	defer p.release()
	if r.result.Attempts == 0 {
		r.bestCachedTokens = p.flight.BestCached
	}
	if err := r.checkAllowed(); err != nil {
		return false, err
	}
	if !p.beginSend() {
		r.lastDrained = true
		return false, nil
	}
	return r.transmit(ctx, p)
}

// transmit sends the request and relays the response stream.
func (r *completionRun) transmit(ctx context.Context, p *permit) (bool, error) {
	r.result.Attempts++
	r.result.TargetID = p.target.ID
	r.lastDrained = false
	if r.result.Attempts > 1 {
		r.d.recordRetry(p.target.ID, r.lastErr)
	}
	request := &target.CompletionRequest{
		RequestID:    fmt.Sprintf("%s-%d", r.c.RequestID, r.result.Attempts),
		Chat:         r.c.Chat,
		Body:         r.c.Body,
		CacheSalt:    r.seed.String(),
		ResumeText:   string(r.assembler.text),
		ResumeOffset: r.assembler.next,
	}
	if r.overRate {
		request.Priority = overRatePriority
	}
	r.assembler.begin(r.result.Attempts)
	spanCtx, end := r.d.observer.StartSpan(ctx, "target")
	attemptCtx, cancel := context.WithCancel(spanCtx)
	defer cancel()
	// A target that never responds must not block the request until its deadline.
	relay := &streamRelay{run: r, ctx: ctx, cancel: cancel, target: p.target, requestID: request.RequestID, permit: p}
	timer := time.AfterFunc(relay.stallTimeout(), cancel)
	stream, err := r.d.options.Engines.Complete(attemptCtx, p.target, request)
	timer.Stop()
	end(err)
	if err != nil {
		return false, r.handleSendError(ctx, p, request.RequestID, err)
	}
	r.possiblyExecuted = true
	relay.epoch = stream.Epoch()
	if err := r.checkWeights(ctx, p.target, relay.epoch); err != nil {
		cancel()
		stream.Close()
		return false, r.handleSendError(ctx, p, request.RequestID, err)
	}
	return relay.relay(stream)
}

// checkAllowed calls AllowDispatch right before a send.
func (r *completionRun) checkAllowed() error {
	if r.c.AllowDispatch == nil {
		return nil
	}
	return r.c.AllowDispatch()
}

// handleSendError handles an attempt that returned no stream; nil allows another
// attempt.
func (r *completionRun) handleSendError(ctx context.Context, p *permit, requestID string, err error) error {
	r.lastErr = err
	r.tried[p.target.ID] = true
	var callErr *target.CallError
	isCallErr := errors.As(err, &callErr)
	if !isCallErr || !callErr.NotExecuted {
		r.possiblyExecuted = true
		r.wastedTokens += p.flight.Uncached
		r.d.cancelAttempt(ctx, p.target, requestID)
	}
	if ctx.Err() != nil {
		return r.contextError(ctx)
	}
	if isCallErr {
		r.lastDrained = callErr.NotExecuted && callErr.Draining
	}
	if isCallErr && r.assembler.next == 0 {
		// A request for which one engine has generated tokens is valid, even if another
		// engine rejects its continuation.
		switch callErr.Status {
		case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
			return refusal.New(refusal.InvalidRequest, "the engine rejected the request with status %d", callErr.Status).WithCause(err)
		}
	}
	r.d.recordFailure(p.queue, err)
	return nil
}

// reconnect continues a stream for a caller that reconnected. It reads the engine's
// copy from the start, because another engine needs the whole text to continue the
// stream if this one fails. If the engine no longer keeps the start, it reads from the
// caller's offset.
func (r *completionRun) reconnect(ctx context.Context) (Result, error) {
	position := r.c.ResumeFrom
	notResumable := refusal.New(refusal.StreamNotResumable, "the engine does not keep the stream").WithExecution(refusal.ExecutionUnknown)
	t := r.d.options.Config().Target(position.TargetID)
	if t == nil {
		return Result{}, notResumable
	}
	if err := r.checkAllowed(); err != nil {
		return Result{}, refusal.From(err).WithExecution(refusal.ExecutionUnknown)
	}
	r.possiblyExecuted = true
	r.skipTokens = position.Offset
	r.result.Attempts, r.result.TargetID = 1, t.ID
	for _, offset := range []int{0, position.Offset} {
		streamCtx, cancel := context.WithCancel(ctx)
		s, err := r.d.options.Engines.Resume(streamCtx, t, position.EngineRequestID, offset)
		if err == nil && s.Epoch() != position.Epoch {
			// The request id is the same, but the engine has restarted since.
			err = errors.Errorf("the engine has epoch %q, but the stream began in epoch %q", s.Epoch(), position.Epoch)
		}
		if err != nil {
			cancel()
			r.lastErr = err
			continue
		}
		r.assembler = assembler{attempt: 1, next: offset}
		r.recordOrigin(ctx, t, s.Epoch())
		relay := &streamRelay{run: r, ctx: ctx, cancel: cancel, target: t, requestID: position.EngineRequestID, epoch: position.Epoch}
		done, err := relay.relay(s)
		cancel()
		switch {
		case err != nil:
			return r.fail(err)
		case done:
			return r.summary(), nil
		case offset == 0 && r.assembler.next >= position.Offset && r.textWeights() != "":
			return r.complete(ctx)
		}
		break
	}
	return Result{}, notResumable.WithCause(r.lastErr)
}

// contextError returns the error for a completion whose context has ended.
func (r *completionRun) contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.New(refusal.DeadlineUnreachable, "the deadline has passed").WithCause(ctx.Err())
	}
	return &callerAbortError{ctx.Err()}
}

// noTargetError returns the refusal of a request that no target can take.
func (r *completionRun) noTargetError(queuesFull bool) error {
	if queuesFull {
		return refusal.New(refusal.Overloaded, "the queues of all targets of model %q are full", r.c.Model).
			WithRetryAfter(overloadRetryAfter).WithCause(r.lastErr)
	}
	if r.possiblyExecuted {
		return refusal.New(refusal.TargetFailed, "no target of model %q completed the request", r.c.Model).WithCause(r.lastErr)
	}
	return refusal.New(refusal.TargetUnavailable, "no target of model %q is available", r.c.Model).
		WithRetryAfter(overloadRetryAfter).WithCause(r.lastErr)
}

// deadlineError returns the refusal of a request whose first token is expected after
// its deadline.
func (r *completionRun) deadlineError(predicted time.Duration) error {
	return refusal.New(refusal.DeadlineUnreachable, "the first token is expected in %v, after the deadline", predicted.Round(time.Millisecond))
}

// fail converts the error to a refusal that states whether the request may have been
// executed.
func (r *completionRun) fail(err error) (Result, error) {
	var refused *refusal.Error
	if !errors.As(err, &refused) {
		refused = refusal.New(refusal.TargetFailed, "the request was cancelled").WithCause(err)
	}
	execution := refusal.NotExecuted
	if r.possiblyExecuted {
		execution = refusal.ExecutionUnknown
	}
	return r.result, refused.WithExecution(execution)
}

// summary returns the result of a completion that received its last token.
func (r *completionRun) summary() Result {
	r.result.Usage.CompletionTokens = r.assembler.next
	if r.result.Usage.PromptTokens == 0 {
		r.result.Usage.PromptTokens = prefix.Tokens(len(r.c.Prompt))
	}
	return r.result
}

// finish records the counters of a completion that received its last token.
func (r *completionRun) finish() Result {
	result := r.summary()
	r.d.recordCompletion(r.c.AccountID, CompletionStats{
		PromptTokens:     result.Usage.PromptTokens,
		CachedTokens:     result.Usage.CachedTokens,
		WastedTokens:     r.wastedTokens + max(0, r.bestCachedTokens-result.Usage.CachedTokens),
		OutputTokens:     result.Usage.CompletionTokens,
		TimeToFirstToken: result.TimeToFirstToken,
	})
	return result
}
