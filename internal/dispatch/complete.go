package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/refusal"
	"github.com/sequoiaroad/sequoiaroad/internal/target"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
)

const (
	// maxAttempts bounds the sends of one completion, besides the retry budget.
	maxAttempts = 4
	// maxResumes bounds resumes in a row at one engine that bring no token.
	maxResumes = 2
	// cancelTimeout bounds the call that cancels an abandoned attempt.
	cancelTimeout = 2 * time.Second
)

// run is the state of one completion.
type run struct {
	d         *Dispatcher
	c         *Completion
	sink      func(Token) error
	started   time.Time
	model     *config.Model
	seed      prefix.BlockHash
	chain     []prefix.BlockHash
	assembler assembler
	result    Result
	// mayHaveRun is set once bytes of the request may have reached an engine.
	mayHaveRun bool
	// delivered is the number of tokens that the caller has.
	delivered int
	tried     map[string]bool
	lastErr   error
}

// errCallerGone wraps the error of the sink or of the caller's context.
var errCallerGone = errors.New("the caller is gone")

// Complete implements Completer.
func (d *Dispatcher) Complete(ctx context.Context, c *Completion, sink func(Token) error) (Result, error) {
	r := &run{d: d, c: c, sink: sink, started: d.clock(), tried: map[string]bool{}}
	r.model = d.options.Config().Model(c.Model)
	if r.model == nil {
		return Result{}, refusal.New(refusal.NotFound, "model %q is unknown", c.Model)
	}
	identity := prefix.Identity{AccountID: c.AccountID, Model: c.Model, WeightsVersion: r.model.WeightsVersion}
	r.seed = identity.Seed()
	r.chain = prefix.Chain(r.seed, c.Prompt)
	if !c.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, c.Deadline)
		defer cancel()
	}
	if c.ResumeFrom != nil {
		return r.reconnect(ctx)
	}
	return r.complete(ctx)
}

// complete makes attempts until one finishes the completion.
func (r *run) complete(ctx context.Context) (Result, error) {
	for {
		if r.result.Attempts >= maxAttempts {
			return r.fail(r.targetFailure())
		}
		done, err := r.attempt(ctx)
		if err != nil {
			return r.fail(err)
		}
		if done {
			return r.finish()
		}
	}
}

// attempt sends the completion to one target. It returns false without an error if
// another attempt may be made.
func (r *run) attempt(ctx context.Context) (bool, error) {
	t, release, err := r.d.acquire(ctx, r)
	if err != nil {
		return false, err
	}
	defer release()
	if err := r.allow(); err != nil {
		return false, err
	}
	r.result.Attempts++
	r.result.TargetID = t.ID
	if r.result.Attempts > 1 {
		r.d.countRetry(t.ID, r.lastErr)
	}
	request := &target.CompletionRequest{
		RequestID:    fmt.Sprintf("%s-%d", r.c.RequestID, r.result.Attempts),
		Chat:         r.c.Chat,
		Body:         r.c.Body,
		CacheSalt:    r.seed.String(),
		ResumeText:   string(r.assembler.text),
		ResumeOffset: r.assembler.next,
	}
	r.assembler.begin(r.result.Attempts)
	attemptContext, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := r.d.options.Engines.Complete(attemptContext, t, request)
	if err != nil {
		return false, r.sendFailed(ctx, t, err)
	}
	r.mayHaveRun = true
	return r.follow(ctx, cancel, t, request.RequestID, stream)
}

// allow asks the gate right before a send.
func (r *run) allow() error {
	if r.c.AllowDispatch == nil {
		return nil
	}
	return r.c.AllowDispatch()
}

// sendFailed classifies an attempt that brought no stream; nil allows another one.
func (r *run) sendFailed(ctx context.Context, t *config.Target, err error) error {
	r.lastErr = err
	r.tried[t.ID] = true
	var call *target.CallError
	isCall := errors.As(err, &call)
	if !isCall || !call.NotRun {
		r.mayHaveRun = true
	}
	if ctx.Err() != nil {
		return r.ended(ctx)
	}
	if isCall && call.NotRun && call.Status >= 400 && call.Status < 500 && !call.Draining && call.Status != 429 {
		return refusal.New(refusal.InvalidRequest, "the engine rejected the request with status %d", call.Status).WithCause(err)
	}
	r.d.observeFailure(t.ID, err)
	return nil
}

// follow delivers a stream. A broken or stalled stream is resumed at the engine;
// false without an error leaves it to another attempt.
func (r *run) follow(ctx context.Context, cancel context.CancelFunc, t *config.Target, id string, s target.TokenStream) (bool, error) {
	silent := 0
	for {
		before := r.assembler.next
		reader := newStreamReader(s)
		err := r.deliver(ctx, t, id, reader)
		switch {
		case err == nil:
			reader.close()
			cancel()
			r.d.observeSuccess(t.ID)
			return true, nil
		case errors.Is(err, errCallerGone) || ctx.Err() != nil:
			reader.close()
			cancel()
			return false, err
		}
		r.lastErr = err
		reader.abandon()
		cancel()
		if r.assembler.next == before {
			silent++
		} else {
			silent = 0
		}
		if silent >= maxResumes {
			break
		}
		var resumeContext context.Context
		resumeContext, cancel = context.WithCancel(ctx)
		s, err = r.d.options.Engines.Resume(resumeContext, t, id, r.assembler.next)
		if err != nil {
			cancel()
			r.lastErr = err
			break
		}
	}
	r.tried[t.ID] = true
	r.d.observeFailure(t.ID, r.lastErr)
	r.d.cancelAttempt(ctx, t, id)
	if ctx.Err() != nil {
		return false, r.ended(ctx)
	}
	return false, nil
}

// deliver passes tokens on until the end marker. It returns nil only if the stream
// was complete.
func (r *run) deliver(ctx context.Context, t *config.Target, id string, reader *streamReader) error {
	for {
		event, err := reader.next(ctx, r.d.options.StallTimeout)
		if ctx.Err() != nil {
			return r.ended(ctx)
		}
		if err != nil {
			return err
		}
		if event.Usage != nil {
			r.result.Usage = *event.Usage
			continue
		}
		if event.Done {
			if !r.assembler.finished {
				return errors.New("the stream ended before its last token")
			}
			return nil
		}
		isNext, err := r.assembler.accept(r.result.Attempts, event)
		if err != nil {
			return err
		}
		if !isNext {
			continue
		}
		if err := r.emit(t, id, reader.stream.Epoch(), event); err != nil {
			return err
		}
	}
}

// emit passes one token to the caller.
func (r *run) emit(t *config.Target, id, epoch string, event target.TokenEvent) error {
	if r.delivered == 0 {
		r.result.TimeToFirstToken = r.d.clock().Sub(r.started)
		r.d.observeFirstToken(t.ID)
	}
	position := StreamPosition{EngineRequestID: id, TargetID: t.ID, Epoch: epoch, Offset: r.assembler.next}
	r.delivered++
	if err := r.sink(Token{Position: position, Text: event.Text, FinishReason: event.FinishReason}); err != nil {
		return errors.WithMessage(errCallerGone, err.Error())
	}
	return nil
}

// reconnect continues a stream for a caller that came back.
func (r *run) reconnect(ctx context.Context) (Result, error) {
	from := r.c.ResumeFrom
	t := r.d.options.Config().Target(from.TargetID)
	if t == nil {
		return Result{}, refusal.New(refusal.StreamNotResumable, "the stream's target has gone").WithRun(refusal.Unknown)
	}
	if err := r.allow(); err != nil {
		return r.fail(err)
	}
	r.mayHaveRun = true
	r.result.Attempts, r.result.TargetID = 1, t.ID
	r.assembler = assembler{attempt: 1, next: from.Offset}
	streamContext, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := r.d.options.Engines.Resume(streamContext, t, from.EngineRequestID, from.Offset)
	if err == nil && s.Epoch() != from.Epoch {
		cancel()
		err = errors.Errorf("the engine's epoch is %q, the stream's %q", s.Epoch(), from.Epoch)
	}
	if err != nil {
		return Result{}, refusal.New(refusal.StreamNotResumable, "the engine does not keep the stream").WithRun(refusal.Unknown).WithCause(err)
	}
	done, err := r.follow(ctx, cancel, t, from.EngineRequestID, s)
	if err != nil {
		return r.fail(err)
	}
	if !done {
		return Result{}, refusal.New(refusal.StreamNotResumable, "the engine lost the stream").WithRun(refusal.Unknown).WithCause(r.lastErr)
	}
	return r.finish()
}

// ended says why the context of a completion ended.
func (r *run) ended(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.New(refusal.DeadlineUnreachable, "the deadline has passed").WithCause(ctx.Err())
	}
	return errors.WithMessage(errCallerGone, ctx.Err().Error())
}

func (r *run) targetFailure() error {
	return refusal.New(refusal.TargetFailed, "no engine completed the request").WithCause(r.lastErr)
}

// fail returns the error as a refusal whose run state is true.
func (r *run) fail(err error) (Result, error) {
	var known *refusal.Refusal
	if !errors.As(err, &known) {
		known = refusal.New(refusal.TargetFailed, "the request was cancelled").WithCause(err)
	}
	state := refusal.NotRun
	if r.mayHaveRun {
		state = refusal.Unknown
	}
	return r.result, known.WithRun(state)
}

// finish counts a completion that reached its last token.
func (r *run) finish() (Result, error) {
	r.d.countCompletion(r)
	return r.result, nil
}
