package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/target"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

const (
	// defaultStallTimeout is far above the 26 ms between tokens of a healthy engine.
	defaultStallTimeout = 5 * time.Second
	// streamBuffer bounds the events read ahead for a slow caller; when it is full,
	// reading from the engine stops.
	streamBuffer = 64
)

var errStalled = errors.New("the stream is stalled")

// streamItem is an event or the error that ended a stream.
type streamItem struct {
	event target.TokenEvent
	err   error
}

// streamReader reads one stream in its own goroutine, so that a stall can be seen.
type streamReader struct {
	stream target.TokenStream
	items  chan streamItem
	stop   chan struct{}
	exited chan struct{}
	// silence is reused for each event; nil before the first.
	silence *time.Timer
}

func newStreamReader(s target.TokenStream) *streamReader {
	r := &streamReader{stream: s, items: make(chan streamItem, streamBuffer), stop: make(chan struct{}), exited: make(chan struct{})}
	go r.read()
	return r
}

func (r *streamReader) read() {
	defer close(r.exited)
	for {
		event, err := r.stream.Next()
		select {
		case r.items <- streamItem{event, err}:
		case <-r.stop:
			return
		}
		if err != nil || event.Done {
			return
		}
	}
}

// next returns the next event, or errStalled after the given silence.
func (r *streamReader) next(ctx context.Context, silence time.Duration) (target.TokenEvent, error) {
	if r.silence == nil {
		r.silence = time.NewTimer(silence)
	} else {
		r.silence.Reset(silence)
	}
	defer r.silence.Stop()
	select {
	case item := <-r.items:
		return item.event, item.err
	case <-r.silence.C:
		return target.TokenEvent{}, errStalled
	case <-ctx.Done():
		return target.TokenEvent{}, ctx.Err()
	}
}

// abandon stops reading without a cancel at the engine, so that the stream can be
// resumed there. The attempt's context must be cancelled as well.
func (r *streamReader) abandon() { close(r.stop) }

// close stops reading and cancels an unfinished stream at the engine. A stream is not
// safe for concurrent use, so the reader has to end first; cancel ends a blocked read.
func (r *streamReader) close(cancel context.CancelFunc) {
	close(r.stop)
	cancel()
	timer := time.NewTimer(cancelTimeout)
	defer timer.Stop()
	select {
	case <-r.exited:
	case <-timer.C:
	}
	r.stream.Close()
}

// follower delivers the stream of one attempt, across resumes at its engine.
type follower struct {
	run       *run
	ctx       context.Context
	cancel    context.CancelFunc // of the stream in use
	target    *config.Target
	requestID string
	epoch     string
	// permit is nil for a caller that reconnected.
	permit *permit
	// first says that the attempt has brought a token.
	first bool
}

// follow delivers the stream. A broken or stalled stream is resumed at the engine from
// the next token. False without an error leaves the rest to another attempt.
func (f *follower) follow(s target.TokenStream) (bool, error) {
	r := f.run
	_, end := r.d.observer.StartSpan(f.ctx, "stream")
	silent := 0
	for {
		before := r.assembler.next
		reader := newStreamReader(s)
		err := f.deliver(reader)
		var gone *callerGoneError
		if err == nil || f.ctx.Err() != nil || errors.As(err, &gone) {
			reader.close(f.cancel)
			end(err)
			if err == nil {
				r.d.succeeded(f.target.ID)
			}
			return err == nil, err
		}
		r.lastErr = err
		reader.abandon()
		f.cancel()
		if r.assembler.finished {
			end(nil)
			return true, nil // only the token count is missing
		}
		if silent++; r.assembler.next > before {
			silent = 0
		}
		if silent >= maxResumes {
			break
		}
		if s, err = f.resume(); err != nil {
			r.lastErr = err
			break
		}
	}
	end(r.lastErr)
	return false, f.lost()
}

func (f *follower) resume() (target.TokenStream, error) {
	ctx, cancel := context.WithCancel(f.ctx)
	timer := time.AfterFunc(f.run.d.options.StallTimeout, cancel)
	s, err := f.run.d.options.Engines.Resume(ctx, f.target, f.requestID, f.run.assembler.next)
	timer.Stop()
	if err == nil && s.Epoch() != f.epoch {
		err = errors.Errorf("the engine has restarted: epoch %q, not %q", s.Epoch(), f.epoch)
	}
	if err != nil {
		cancel()
		return nil, err
	}
	f.cancel = cancel
	return s, nil
}

// lost gives the attempt up.
func (f *follower) lost() error {
	r := f.run
	r.tried[f.target.ID] = true
	r.d.cancelAttempt(f.ctx, f.target, f.requestID)
	if f.permit != nil {
		r.wasted += f.permit.flight.Uncached
		r.d.failed(f.permit.queue, r.lastErr)
	}
	if f.ctx.Err() != nil {
		return r.ended(f.ctx)
	}
	return nil
}

// silence is how long the stream may be silent now.
func (f *follower) silence() time.Duration {
	limit := f.run.d.options.StallTimeout
	if f.permit != nil && f.run.assembler.next == 0 {
		limit += time.Duration(firstTokenFactor * f.permit.flight.PredictedTTFT * float64(time.Second))
	}
	return limit
}

// deliver passes tokens on until the end marker. It returns nil only if the stream was
// complete.
func (f *follower) deliver(reader *streamReader) error {
	r := f.run
	for {
		event, err := reader.next(f.ctx, f.silence())
		if f.ctx.Err() != nil {
			return r.ended(f.ctx)
		}
		if err != nil {
			return err
		}
		if event.Usage != nil {
			f.usage(event.Usage)
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
		if isNext {
			if err := f.emit(event); err != nil {
				return err
			}
		}
	}
}

func (f *follower) usage(u *target.Usage) {
	f.run.result.Usage = *u
	if f.permit == nil {
		return
	}
	f.run.d.mu.Lock()
	defer f.run.d.mu.Unlock()
	f.run.d.router.Correct(f.permit.flight, f.epoch, u.CachedTokens)
}

// emit passes one token to the caller, unless the caller had it before it reconnected.
func (f *follower) emit(event target.TokenEvent) error {
	r := f.run
	if f.permit != nil && !f.first {
		f.first = true
		f.permit.firstToken(f.epoch)
	}
	if r.assembler.next <= r.skip {
		return nil
	}
	if r.result.TimeToFirstToken == 0 {
		r.result.TimeToFirstToken = r.d.clock().Sub(r.started)
	}
	token := Token{
		Position:     StreamPosition{EngineRequestID: f.requestID, TargetID: f.target.ID, Epoch: f.epoch, Offset: r.assembler.next},
		Text:         event.Text,
		FinishReason: event.FinishReason,
	}
	if err := r.sink(token); err != nil {
		return &callerGoneError{err}
	}
	return nil
}
