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
	// maxAttempts bounds the sends of one completion, besides the retry budget.
	maxAttempts = 4
	// maxResumes bounds resumes in a row at one engine that bring no token.
	maxResumes = 2
	// cancelTimeout bounds the call that cancels an abandoned attempt.
	cancelTimeout = 2 * time.Second
	// retryJitter spreads retries, so that requests that failed together don't come
	// back together.
	retryJitter = 50 * time.Millisecond
	// firstTokenFactor is how many times the predicted time to first token may pass
	// before a silent stream counts as stalled.
	firstTokenFactor = 3
)

// run is the state of one completion.
type run struct {
	d       *Dispatcher
	c       *Completion
	sink    func(Token) error
	started time.Time
	model   *config.Model
	seed    prefix.BlockHash
	chain   []prefix.BlockHash
	// over says that the account is above its rate.
	over      bool
	assembler assembler
	result    Result
	// weights is the version of the weights that the text so far comes from; empty if
	// it is not known. origin names the engine that began the text.
	weights string
	origin  origin
	// mayHaveRun is set once bytes of the request may have reached an engine.
	mayHaveRun bool
	// skip is the number of tokens that the caller had before this call.
	skip  int
	tried map[string]bool
	// secondRound says that tried was emptied once, because no other target was left.
	secondRound bool
	// wasted counts tokens that attempts computed in vain.
	wasted     int
	bestCached int
	lastErr    error
	// lastDrained says that the last attempt failed because the target is leaving.
	lastDrained bool
	// counted says that the use of the chain was counted for KV copies.
	counted bool
}

// callerGoneError says that the sink or the caller's context ended the completion.
type callerGoneError struct{ err error }

func (e *callerGoneError) Error() string { return "the caller is gone: " + e.err.Error() }
func (e *callerGoneError) Unwrap() error { return e.err }

func newRun(d *Dispatcher, c *Completion, m *config.Model) *run {
	r := &run{d: d, c: c, model: m, started: d.clock(), tried: map[string]bool{}}
	identity := prefix.Namespace{AccountID: c.AccountID, Model: c.Model, WeightsVersion: m.WeightsVersion}
	r.seed = identity.Seed()
	r.chain = prefix.Chain(r.seed, c.Prompt)
	return r
}

func (r *run) query(avoid map[string]bool) *routing.Query {
	q := &routing.Query{
		Model: r.c.Model, Weights: r.model.WeightsVersion, Chain: r.chain, PromptBytes: len(r.c.Prompt),
		Tried: avoid, SameWeights: r.assembler.next > 0,
	}
	if q.SameWeights {
		q.Weights = r.weights
	}
	if len(r.chain) == 0 {
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
	r := newRun(d, c, m)
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
	r.over = d.charge(c.AccountID, reserved)
	result, err := r.complete(ctx)
	if err == nil || !r.mayHaveRun {
		d.refund(c.AccountID, reserved-result.Usage.PromptTokens-result.Usage.CompletionTokens)
	}
	return result, err
}

// complete makes attempts until one finishes the completion.
func (r *run) complete(ctx context.Context) (Result, error) {
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

// mayRetry returns an error if no further attempt may be made. A stream that the caller
// has a part of, and a request that a leaving target sent back, need no budget: the
// first would be lost, and the second has cost nothing.
func (r *run) mayRetry(ctx context.Context) error {
	if r.assembler.next > 0 && r.textWeights() == "" {
		return refusal.New(refusal.TargetFailed, "the weights that began the stream are not known").WithCause(r.lastErr)
	}
	exempt := r.assembler.next > 0 || r.lastDrained
	if r.result.Attempts >= maxAttempts && !r.lastDrained || !exempt && !r.d.takeRetry() {
		return r.noTarget(false)
	}
	if exempt {
		return nil
	}
	timer := time.NewTimer(r.d.jitter(retryJitter))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return r.ended(ctx)
	}
}

// attempt sends the completion to one target. It returns false without an error if
// another attempt may be made.
func (r *run) attempt(ctx context.Context) (bool, error) {
	p, err := r.d.acquire(ctx, r)
	if err != nil {
		return false, err
	}
	defer p.release()
	if r.result.Attempts == 0 {
		r.bestCached = p.flight.BestCached
	}
	if err := r.allow(); err != nil {
		return false, err
	}
	if !p.send() {
		r.lastDrained = true
		return false, nil
	}
	return r.transmit(ctx, p)
}

// transmit makes the call and follows its stream.
func (r *run) transmit(ctx context.Context, p *permit) (bool, error) {
	r.result.Attempts++
	r.result.TargetID = p.target.ID
	r.lastDrained = false
	if r.result.Attempts > 1 {
		r.d.countRetry(p.target.ID, r.lastErr)
	}
	request := &target.CompletionRequest{
		RequestID:    fmt.Sprintf("%s-%d", r.c.RequestID, r.result.Attempts),
		Chat:         r.c.Chat,
		Body:         r.c.Body,
		CacheSalt:    r.seed.String(),
		ResumeText:   string(r.assembler.text),
		ResumeOffset: r.assembler.next,
	}
	if r.over {
		request.Priority = overRatePriority
	}
	r.assembler.begin(r.result.Attempts)
	spanContext, end := r.d.observer.StartSpan(ctx, "target")
	attemptContext, cancel := context.WithCancel(spanContext)
	defer cancel()
	// A target that never answers must not hold the request until its deadline.
	f := &follower{run: r, ctx: ctx, cancel: cancel, target: p.target, requestID: request.RequestID, permit: p}
	timer := time.AfterFunc(f.silence(), cancel)
	stream, err := r.d.options.Engines.Complete(attemptContext, p.target, request)
	timer.Stop()
	end(err)
	if err != nil {
		return false, r.sendFailed(ctx, p, request.RequestID, err)
	}
	r.mayHaveRun = true
	f.epoch = stream.Epoch()
	if err := r.checkWeights(ctx, p.target, f.epoch); err != nil {
		cancel()
		stream.Close()
		return false, r.sendFailed(ctx, p, request.RequestID, err)
	}
	return f.follow(stream)
}

// allow asks the gate right before a send.
func (r *run) allow() error {
	if r.c.AllowDispatch == nil {
		return nil
	}
	return r.c.AllowDispatch()
}

// sendFailed classifies an attempt that brought no stream; nil allows another one.
func (r *run) sendFailed(ctx context.Context, p *permit, requestID string, err error) error {
	r.lastErr = err
	r.tried[p.target.ID] = true
	var call *target.CallError
	isCall := errors.As(err, &call)
	if !isCall || !call.NotExecuted {
		r.mayHaveRun = true
		r.wasted += p.flight.Uncached
		r.d.cancelAttempt(ctx, p.target, requestID)
	}
	if ctx.Err() != nil {
		return r.ended(ctx)
	}
	if isCall {
		r.lastDrained = call.NotExecuted && call.Draining
	}
	if isCall && r.assembler.next == 0 {
		// A request that one engine has begun to answer is not at fault if another
		// engine rejects its continuation.
		switch call.Status {
		case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
			return refusal.New(refusal.InvalidRequest, "the engine rejected the request with status %d", call.Status).WithCause(err)
		}
	}
	r.d.failed(p.queue, err)
	return nil
}

// reconnect continues a stream for a caller that came back. The engine's copy is read
// from the start: only with the whole text can another engine go on if this one fails.
// If the engine no longer keeps the start, it is read from the caller's offset.
func (r *run) reconnect(ctx context.Context) (Result, error) {
	from := r.c.ResumeFrom
	lost := refusal.New(refusal.StreamNotResumable, "the engine does not keep the stream").WithExecution(refusal.ExecutionUnknown)
	t := r.d.options.Config().Target(from.TargetID)
	if t == nil {
		return Result{}, lost
	}
	if err := r.allow(); err != nil {
		return Result{}, refusal.From(err).WithExecution(refusal.ExecutionUnknown)
	}
	r.mayHaveRun = true
	r.skip = from.Offset
	r.result.Attempts, r.result.TargetID = 1, t.ID
	for _, offset := range []int{0, from.Offset} {
		streamContext, cancel := context.WithCancel(ctx)
		s, err := r.d.options.Engines.Resume(streamContext, t, from.EngineRequestID, offset)
		if err == nil && s.Epoch() != from.Epoch {
			// The request id is the same, but the engine has restarted since.
			err = errors.Errorf("the engine's epoch is %q, the stream's %q", s.Epoch(), from.Epoch)
		}
		if err != nil {
			cancel()
			r.lastErr = err
			continue
		}
		r.assembler = assembler{attempt: 1, next: offset}
		r.begin(ctx, t, s.Epoch())
		f := &follower{run: r, ctx: ctx, cancel: cancel, target: t, requestID: from.EngineRequestID, epoch: from.Epoch}
		done, err := f.follow(s)
		cancel()
		switch {
		case err != nil:
			return r.fail(err)
		case done:
			return r.summary(), nil
		case offset == 0 && r.assembler.next >= from.Offset && r.textWeights() != "":
			return r.complete(ctx)
		}
		break
	}
	return Result{}, lost.WithCause(r.lastErr)
}

// ended says why the context of a completion ended.
func (r *run) ended(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.New(refusal.DeadlineUnreachable, "the deadline has passed").WithCause(ctx.Err())
	}
	return &callerGoneError{ctx.Err()}
}

func (r *run) noTarget(full bool) error {
	if full {
		return refusal.New(refusal.Overloaded, "the queues of all targets of model %q are full", r.c.Model).
			WithRetryAfter(overloadRetryAfter).WithCause(r.lastErr)
	}
	if r.mayHaveRun {
		return refusal.New(refusal.TargetFailed, "no target of model %q completed the request", r.c.Model).WithCause(r.lastErr)
	}
	return refusal.New(refusal.TargetUnavailable, "no target of model %q is available", r.c.Model).
		WithRetryAfter(overloadRetryAfter).WithCause(r.lastErr)
}

func (r *run) unreachable(predicted time.Duration) error {
	return refusal.New(refusal.DeadlineUnreachable, "the first token is expected in %v, after the deadline", predicted.Round(time.Millisecond))
}

// fail returns the error as a refusal whose run state is true.
func (r *run) fail(err error) (Result, error) {
	var known *refusal.Error
	if !errors.As(err, &known) {
		known = refusal.New(refusal.TargetFailed, "the request was cancelled").WithCause(err)
	}
	state := refusal.NotExecuted
	if r.mayHaveRun {
		state = refusal.ExecutionUnknown
	}
	return r.result, known.WithExecution(state)
}

// summary returns the result of a completion that reached its last token.
func (r *run) summary() Result {
	r.result.Usage.CompletionTokens = r.assembler.next
	if r.result.Usage.PromptTokens == 0 {
		r.result.Usage.PromptTokens = prefix.Tokens(len(r.c.Prompt))
	}
	return r.result
}

// finish counts a completion that reached its last token.
func (r *run) finish() Result {
	result := r.summary()
	r.d.count(r.c.AccountID, CompletionStats{
		PromptTokens:     result.Usage.PromptTokens,
		CachedTokens:     result.Usage.CachedTokens,
		WastedTokens:     r.wasted + max(0, r.bestCached-result.Usage.CachedTokens),
		OutputTokens:     result.Usage.CompletionTokens,
		TimeToFirstToken: result.TimeToFirstToken,
	})
	return result
}
