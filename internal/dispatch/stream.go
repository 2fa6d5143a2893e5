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
	// streamBufferEvents bounds the events read ahead for a slow caller; when it is full,
	// reading from the engine stops.
	streamBufferEvents = 64
)

var errStalled = errors.New("the stream is stalled")

// streamItem is an event or the error that ended a stream.
type streamItem struct {
	event target.TokenEvent
	err   error
}

// streamReader reads one stream in its own goroutine, so that stalls can be detected.
type streamReader struct {
	stream target.TokenStream
	items  chan streamItem
	stop   chan struct{}
	exited chan struct{}
	// stallTimer is reused for each event; nil before the first.
	stallTimer *time.Timer
}

func newStreamReader(s target.TokenStream) *streamReader {
	r := &streamReader{stream: s, items: make(chan streamItem, streamBufferEvents), stop: make(chan struct{}), exited: make(chan struct{})}
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

// next returns the next event, or errStalled if there is none within the timeout.
func (r *streamReader) next(ctx context.Context, timeout time.Duration) (target.TokenEvent, error) {
	if r.stallTimer == nil {
		r.stallTimer = time.NewTimer(timeout)
	} else {
		r.stallTimer.Reset(timeout)
	}
	defer r.stallTimer.Stop()
	select {
	case item := <-r.items:
		return item.event, item.err
	case <-r.stallTimer.C:
		return target.TokenEvent{}, errStalled
	case <-ctx.Done():
		return target.TokenEvent{}, ctx.Err()
	}
}

// abandon stops reading without cancelling at the engine, so that the stream can be
// resumed there. The attempt's context must be cancelled as well.
func (r *streamReader) abandon() { close(r.stop) }

// close stops reading and cancels an unfinished stream at the engine. A stream is not
// safe for concurrent use, so the reading goroutine must exit first; cancel unblocks
// it.
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

// streamRelay relays the stream of one attempt to the caller, across resumes at the
// same engine.
type streamRelay struct {
	run       *completionRun
	ctx       context.Context
	cancel    context.CancelFunc // cancels the current stream
	target    *config.Target
	requestID string
	epoch     string
	// permit is nil for a caller that reconnected.
	permit *permit
	// gotToken is set once the attempt has delivered a token.
	gotToken bool
}

// relay delivers the stream. It resumes a broken or stalled stream at the engine from
// the next token. It returns false without an error if another attempt may deliver the
// rest.
func (sr *streamRelay) relay(s target.TokenStream) (bool, error) {
	r := sr.run
	_, end := r.d.observer.StartSpan(sr.ctx, "stream")
	emptyReads := 0
	for {
		nextBefore := r.assembler.next
		reader := newStreamReader(s)
		err := sr.deliver(reader)
		var aborted *callerAbortError
		if err == nil || sr.ctx.Err() != nil || errors.As(err, &aborted) {
			reader.close(sr.cancel)
			end(err)
			if err == nil {
				r.d.recordSuccess(sr.target.ID)
			}
			return err == nil, err
		}
		r.lastErr = err
		reader.abandon()
		sr.cancel()
		if r.assembler.finished {
			end(nil)
			return true, nil // only the token count is missing
		}
		if emptyReads++; r.assembler.next > nextBefore {
			emptyReads = 0
		}
		if emptyReads >= maxResumes {
			break
		}
		if s, err = sr.resume(); err != nil {
			r.lastErr = err
			break
		}
	}
	end(r.lastErr)
	return false, sr.abandonAttempt()
}

func (sr *streamRelay) resume() (target.TokenStream, error) {
	ctx, cancel := context.WithCancel(sr.ctx)
	timer := time.AfterFunc(sr.run.d.options.StallTimeout, cancel)
	s, err := sr.run.d.options.Engines.Resume(ctx, sr.target, sr.requestID, sr.run.assembler.next)
	timer.Stop()
	if err == nil && s.Epoch() != sr.epoch {
		err = errors.Errorf("the engine has restarted: its epoch is %q, the stream's %q", s.Epoch(), sr.epoch)
	}
	if err != nil {
		cancel()
		return nil, err
	}
	sr.cancel = cancel
	return s, nil
}

// abandonAttempt cancels the attempt at the engine and records its failure. It returns
// an error if the context has ended.
func (sr *streamRelay) abandonAttempt() error {
	r := sr.run
	r.tried[sr.target.ID] = true
	r.d.cancelAttempt(sr.ctx, sr.target, sr.requestID)
	if sr.permit != nil {
		r.wastedTokens += sr.permit.flight.Uncached
		r.d.recordFailure(sr.permit.queue, r.lastErr)
	}
	if sr.ctx.Err() != nil {
		return r.contextError(sr.ctx)
	}
	return nil
}

// stallTimeout returns how long the stream may deliver no event. Before the first token
// this includes the prefill.
func (sr *streamRelay) stallTimeout() time.Duration {
	timeout := sr.run.d.options.StallTimeout
	if sr.permit != nil && sr.run.assembler.next == 0 {
		timeout += time.Duration(firstTokenFactor * sr.permit.flight.PredictedTTFT * float64(time.Second))
	}
	return timeout
}

// deliver passes tokens on until the end marker. It returns nil only if the stream was
// complete.
func (sr *streamRelay) deliver(reader *streamReader) error {
	r := sr.run
	for {
		event, err := reader.next(sr.ctx, sr.stallTimeout())
		if sr.ctx.Err() != nil {
			return r.contextError(sr.ctx)
		}
		if err != nil {
			return err
		}
		if event.Usage != nil {
			sr.recordUsage(event.Usage)
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
			if err := sr.emit(event); err != nil {
				return err
			}
		}
	}
}

func (sr *streamRelay) recordUsage(u *target.Usage) {
	sr.run.result.Usage = *u
	if sr.permit == nil {
		return
	}
	sr.run.d.mu.Lock()
	defer sr.run.d.mu.Unlock()
	sr.run.d.router.Correct(sr.permit.flight, sr.epoch, u.CachedTokens)
}

// emit passes one token to the caller, unless the caller received it before it
// reconnected.
func (sr *streamRelay) emit(event target.TokenEvent) error {
	r := sr.run
	if sr.permit != nil && !sr.gotToken {
		sr.gotToken = true
		sr.permit.recordFirstToken(sr.epoch)
	}
	if r.assembler.next <= r.skipTokens {
		return nil
	}
	if r.result.TimeToFirstToken == 0 {
		r.result.TimeToFirstToken = r.d.clock().Sub(r.started)
	}
	token := Token{
		Position:     StreamPosition{EngineRequestID: sr.requestID, TargetID: sr.target.ID, Epoch: sr.epoch, Offset: r.assembler.next},
		Text:         event.Text,
		FinishReason: event.FinishReason,
	}
	if err := r.sink(token); err != nil {
		return &callerAbortError{err}
	}
	return nil
}
