package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/refusal"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/preset"
	"github.com/sequoiaroad/sequoiaroad/policy/queue"
	"github.com/sequoiaroad/sequoiaroad/policy/routing"
)

const (
	// maxPrefillWaits bounds how often a request waits for another request's prefill
	// before it is queued.
	maxPrefillWaits = 3
	// prefillGrace is added to the predicted time of another request's prefill.
	prefillGrace = 2 * time.Second
	// overloadRetryAfter is the retry hint for a caller whose request no target can
	// accept.
	overloadRetryAfter = time.Second
	// overRatePriority is the engine priority of accounts above their rate. All others
	// have 0, and an engine serves lower numbers first.
	overRatePriority = 1
)

// queueOutcome is how the wait of a queued request ended.
type queueOutcome int

const (
	// outcomeSend means that the request may be sent; it counts as in flight.
	outcomeSend queueOutcome = iota
	// outcomeChooseAgain means that the target is leaving and another must be chosen.
	outcomeChooseAgain
	outcomeExpired
)

// waiter is a request in a queue. Whoever removes it from the queue sends its outcome
// exactly once.
type waiter struct {
	flight   *routing.Flight
	overRate bool
	outcome  chan queueOutcome
}

// targetQueue is the queue and the in-flight limit of one target.
type targetQueue struct {
	targetID string
	queue    *queue.Queue[*waiter]
	limit    queue.Limit
	// prefillWaiters counts requests that wait for another request's prefill.
	prefillWaiters int
}

func newTargetQueue(targetID string, k *preset.Knobs) *targetQueue {
	return &targetQueue{targetID: targetID, queue: queue.New[*waiter](k)}
}

// permit is the right to send one request to one target.
type permit struct {
	d        *Dispatcher
	queue    *targetQueue
	target   *config.Target
	flight   *routing.Flight
	overRate bool
}

// sendQueued releases queued requests while the limit allows it.
func (d *Dispatcher) sendQueued(tq *targetQueue) {
	for tq.limit.HasCapacity(&d.knobs) {
		item, ok := tq.queue.Pop(tq.limit.HasOverRateCapacity(&d.knobs))
		if !ok {
			return
		}
		tq.limit.Start(item.OverRate)
		item.Value.outcome <- outcomeSend
	}
}

// requeueLeaving makes the queued requests of leaving targets choose another target.
func (d *Dispatcher) requeueLeaving() {
	for id, tq := range d.targetQueues {
		if tq.queue.Len() == 0 || !d.router.Leaving(id) {
			continue
		}
		for _, item := range tq.queue.Clear() {
			d.router.End(item.Value.flight)
			d.wakeFirstTokenWaiters(item.Value.flight.ID())
			item.Value.outcome <- outcomeChooseAgain
		}
	}
}

// wakeFirstTokenWaiters wakes the requests that wait for a flight's first token.
func (d *Dispatcher) wakeFirstTokenWaiters(flightID uint64) {
	for _, firstToken := range d.firstTokenWaiters[flightID] {
		close(firstToken)
	}
	delete(d.firstTokenWaiters, flightID)
}

// acquire chooses a target and waits until the request may be sent there.
func (d *Dispatcher) acquire(ctx context.Context, r *completionRun) (*permit, error) {
	excluded := make(map[string]bool, len(r.tried))
	for id := range r.tried {
		excluded[id] = true
	}
	for prefillWaits := 0; ; {
		wait, err := d.enqueue(ctx, r, excluded, prefillWaits < maxPrefillWaits)
		if err != nil {
			return nil, err
		}
		if wait.prefillDone != nil {
			prefillWaits++
			d.awaitPrefill(ctx, r, wait)
			continue
		}
		if wait.waiter == nil {
			continue // the queue was full; excluded now contains the target
		}
		p, err := d.awaitTurn(ctx, r, wait)
		if p != nil || err != nil {
			return p, err
		}
	}
}

// pendingWait is what a request waits for after enqueue: its turn in a queue, or the
// prefill or copy of a shared prefix, for at most maxWait.
type pendingWait struct {
	queue         *targetQueue
	waiter        *waiter
	itemID        uint64
	prefillDone   <-chan struct{}
	prefillFlight uint64
	maxWait       time.Duration
}

// enqueue chooses a target and queues the request there, unless the request should
// first wait for a prefill or copy. The result is empty if the queue was full.
func (d *Dispatcher) enqueue(ctx context.Context, r *completionRun, excluded map[string]bool, mayAwaitPrefill bool) (pendingWait, error) {
	spanCtx, end := d.observer.StartSpan(ctx, "route")
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyConfig()
	now := d.clock()
	if ctx.Err() != nil {
		end(ctx.Err())
		return pendingWait{}, r.contextError(ctx)
	}
	query := r.query(excluded)
	decision, ok := d.router.Choose(query, now)
	if !ok && len(r.tried) > 0 && !r.triedReset {
		// All targets have failed once. One may have recovered, which matters most if
		// the model has a single replica.
		r.triedReset = true
		clear(r.tried)
		clear(excluded)
		query.Tried = nil
		decision, ok = d.router.Choose(query, now)
	}
	if !ok {
		err := r.noTargetError(len(excluded) > len(r.tried))
		end(err)
		return pendingWait{}, err
	}
	d.observer.Routed(spanCtx, func() Choice { return d.describeChoice(&decision) })
	end(nil)
	predicted := time.Duration(decision.PredictedTTFT * float64(time.Second))
	if !decision.Calibrated {
		predicted = 0 // a default cost is no reason to reject a request
	}
	if !r.c.Deadline.IsZero() && now.Add(predicted).After(r.c.Deadline) {
		return pendingWait{}, r.deadlineError(predicted)
	}
	tq := d.targetQueues[decision.TargetID]
	if decision.WaitFor != 0 && mayAwaitPrefill && tq.prefillWaiters < d.knobs.QueueItems {
		firstToken := make(chan struct{})
		d.firstTokenWaiters[decision.WaitFor] = append(d.firstTokenWaiters[decision.WaitFor], firstToken)
		tq.prefillWaiters++
		return pendingWait{queue: tq, prefillDone: firstToken, prefillFlight: decision.WaitFor, maxWait: time.Duration(decision.PredictedTTFT*float64(time.Second)) + prefillGrace}, nil
	}
	if wait, ok := d.tryCopy(r, &decision, tq, mayAwaitPrefill, now); ok {
		return wait, nil
	}
	w := &waiter{flight: d.router.Begin(query, decision, now), overRate: r.overRate, outcome: make(chan queueOutcome, 1)}
	d.lastItemID++
	item := queue.Item[*waiter]{
		ID: d.lastItemID, Account: r.c.AccountID, Tokens: decision.Uncached, Deadline: r.c.Deadline, OverRate: r.overRate, Value: w,
	}
	if err := tq.queue.Push(item, now, predicted); err != nil {
		d.router.End(w.flight)
		if errors.Is(err, queue.ErrDeadline) {
			return pendingWait{}, r.deadlineError(predicted)
		}
		r.lastErr = err
		excluded[decision.TargetID] = true
		return pendingWait{}, nil
	}
	d.sendQueued(tq)
	return pendingWait{queue: tq, waiter: w, itemID: item.ID}, nil
}

// awaitPrefill waits until the shared prefix is computed or copied, or the wait times
// out.
func (d *Dispatcher) awaitPrefill(ctx context.Context, r *completionRun, wait pendingWait) {
	_, end := d.observer.StartSpan(ctx, "queue")
	defer end(nil)
	timer := time.NewTimer(wait.maxWait)
	defer timer.Stop()
	select {
	case <-wait.prefillDone:
	case <-timer.C:
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	wait.queue.prefillWaiters--
	d.removeFirstTokenWaiter(wait)
}

func (d *Dispatcher) removeFirstTokenWaiter(wait pendingWait) {
	waiters := d.firstTokenWaiters[wait.prefillFlight]
	for i, c := range waiters {
		if c == wait.prefillDone {
			d.firstTokenWaiters[wait.prefillFlight] = append(waiters[:i], waiters[i+1:]...)
			break
		}
	}
	if len(d.firstTokenWaiters[wait.prefillFlight]) == 0 {
		delete(d.firstTokenWaiters, wait.prefillFlight)
	}
}

// awaitTurn waits until the queue releases the request. It returns nil without an error
// if another target must be chosen.
func (d *Dispatcher) awaitTurn(ctx context.Context, r *completionRun, wait pendingWait) (*permit, error) {
	_, end := d.observer.StartSpan(ctx, "queue")
	var outcome queueOutcome
	select {
	case outcome = <-wait.waiter.outcome:
	case <-ctx.Done():
		d.mu.Lock()
		if wait.queue.queue.Remove(r.c.AccountID, wait.itemID) {
			d.router.End(wait.waiter.flight)
			d.wakeFirstTokenWaiters(wait.waiter.flight.ID())
			d.mu.Unlock()
			end(ctx.Err())
			return nil, r.contextError(ctx)
		}
		d.mu.Unlock()
		outcome = <-wait.waiter.outcome
	}
	end(nil)
	switch outcome {
	case outcomeChooseAgain:
		return nil, nil
	case outcomeExpired:
		return nil, refusal.New(refusal.DeadlineUnreachable, "the deadline passed in the queue")
	}
	p := &permit{d: d, queue: wait.queue, flight: wait.waiter.flight, overRate: wait.waiter.overRate}
	if p.target = d.options.Config().Target(wait.queue.targetID); p.target == nil || ctx.Err() != nil {
		p.release()
		if ctx.Err() != nil {
			return nil, r.contextError(ctx)
		}
		return nil, nil
	}
	return p, nil
}

// beginSend records that the request is being sent. It returns false if the target has
// started to leave since it was chosen.
func (p *permit) beginSend() bool {
	p.d.mu.Lock()
	defer p.d.mu.Unlock()
	p.d.applyConfig()
	if p.d.router.Leaving(p.queue.targetID) {
		return false
	}
	p.d.router.Send(p.flight, p.d.clock())
	return true
}

// recordFirstToken records the end of the prefill.
func (p *permit) recordFirstToken(epoch string) {
	p.d.mu.Lock()
	defer p.d.mu.Unlock()
	now := p.d.clock()
	p.queue.limit.RecordDelay(&p.d.knobs, p.flight.QueueDelay(now), now)
	p.d.router.FirstToken(p.flight, epoch, now)
	p.d.wakeFirstTokenWaiters(p.flight.ID())
}

// release ends the request at the target and sends queued requests in its place.
func (p *permit) release() {
	p.d.mu.Lock()
	defer p.d.mu.Unlock()
	p.queue.limit.End(p.overRate)
	p.d.router.End(p.flight)
	p.d.wakeFirstTokenWaiters(p.flight.ID())
	p.d.sendQueued(p.queue)
}
