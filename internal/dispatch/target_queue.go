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
	// maxPrefillWaits bounds how often a request waits for another one's prefill
	// before it queues anyway.
	maxPrefillWaits = 3
	// prefillGrace is added to the predicted time of another request's prefill.
	prefillGrace = 2 * time.Second
	// overloadRetryAfter is the hint for a caller that found all queues full.
	overloadRetryAfter = time.Second
	// overRatePriority is the engine's priority for accounts above their rate; 0 is
	// for all others, and a lower number goes first.
	overRatePriority = 1
)

// answer ends the wait of a queued request.
type answer int

const (
	// answerSend lets the request be sent; it holds a place in flight.
	answerSend answer = iota
	// answerChooseAgain says that the target is leaving.
	answerChooseAgain
	answerExpired
)

// waiter is a request in a queue. Its answer is sent exactly once, by whoever takes it
// out of the queue.
type waiter struct {
	flight *routing.Flight
	over   bool
	answer chan answer
}

// targetQueue is the queue and the limit of one target.
type targetQueue struct {
	targetID string
	queue    *queue.Queue[*waiter]
	limit    queue.Limit
	// prefillWaiters counts requests that wait for another one's prefill.
	prefillWaiters int
}

func newTargetQueue(targetID string, k *preset.Knobs) *targetQueue {
	return &targetQueue{targetID: targetID, queue: queue.New[*waiter](k)}
}

// permit is the right to send one request to one target.
type permit struct {
	d      *Dispatcher
	queue  *targetQueue
	target *config.Target
	flight *routing.Flight
	over   bool
}

// sendQueued lets requests go while the limit allows it.
func (d *Dispatcher) sendQueued(l *targetQueue) {
	for l.limit.HasCapacity(&d.knobs) {
		item, ok := l.queue.Pop(l.limit.HasOverRateCapacity(&d.knobs))
		if !ok {
			return
		}
		l.limit.Start(item.OverRate)
		item.Value.answer <- answerSend
	}
}

// requeueLeaving sends the queued requests of leaving targets elsewhere.
func (d *Dispatcher) requeueLeaving() {
	for id, l := range d.targetQueues {
		if l.queue.Len() == 0 || !d.router.Leaving(id) {
			continue
		}
		for _, item := range l.queue.Clear() {
			d.router.End(item.Value.flight)
			d.wake(item.Value.flight.ID())
			item.Value.answer <- answerChooseAgain
		}
	}
}

// wake tells those who wait for a flight's first token to go on.
func (d *Dispatcher) wake(flight uint64) {
	for _, waiting := range d.prefills[flight] {
		close(waiting)
	}
	delete(d.prefills, flight)
}

// acquire chooses a target and waits until the request may be sent there.
func (d *Dispatcher) acquire(ctx context.Context, r *run) (*permit, error) {
	avoid := make(map[string]bool, len(r.tried))
	for id := range r.tried {
		avoid[id] = true
	}
	for waits := 0; ; {
		step, err := d.enqueue(ctx, r, avoid, waits < maxPrefillWaits)
		if err != nil {
			return nil, err
		}
		if step.prefill != nil {
			waits++
			d.awaitPrefill(ctx, r, step)
			continue
		}
		if step.waiter == nil {
			continue // the queue was full; avoid names the target now
		}
		p, err := d.awaitTurn(ctx, r, step)
		if p != nil || err != nil {
			return p, err
		}
	}
}

// queued is the state after enqueue: in a queue, or waiting for a prefill.
type queued struct {
	queue    *targetQueue
	waiter   *waiter
	itemID   uint64
	prefill  <-chan struct{}
	computes uint64
	patience time.Duration
}

func (d *Dispatcher) enqueue(ctx context.Context, r *run, avoid map[string]bool, mayWait bool) (queued, error) {
	spanContext, end := d.observer.StartSpan(ctx, "route")
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follow()
	now := d.clock()
	if ctx.Err() != nil {
		end(ctx.Err())
		return queued{}, r.ended(ctx)
	}
	query := r.query(avoid)
	decision, ok := d.router.Choose(query, now)
	if !ok && len(r.tried) > 0 && !r.secondRound {
		// All targets have failed once. One may have recovered, above all if the model
		// has a single replica.
		r.secondRound = true
		clear(r.tried)
		clear(avoid)
		query.Tried = nil
		decision, ok = d.router.Choose(query, now)
	}
	if !ok {
		err := r.noTarget(len(avoid) > len(r.tried))
		end(err)
		return queued{}, err
	}
	d.observer.Routed(spanContext, func() Choice { return d.choice(&decision) })
	end(nil)
	predicted := time.Duration(decision.PredictedTTFT * float64(time.Second))
	if !decision.Calibrated {
		predicted = 0 // a default is no ground to refuse a request
	}
	if !r.c.Deadline.IsZero() && now.Add(predicted).After(r.c.Deadline) {
		return queued{}, r.unreachable(predicted)
	}
	l := d.targetQueues[decision.TargetID]
	if decision.WaitFor != 0 && mayWait && l.prefillWaiters < d.knobs.QueueItems {
		waiting := make(chan struct{})
		d.prefills[decision.WaitFor] = append(d.prefills[decision.WaitFor], waiting)
		l.prefillWaiters++
		return queued{queue: l, prefill: waiting, computes: decision.WaitFor, patience: time.Duration(decision.PredictedTTFT*float64(time.Second)) + prefillGrace}, nil
	}
	if step, ok := d.offerCopy(r, &decision, l, mayWait, now); ok {
		return step, nil
	}
	w := &waiter{flight: d.router.Begin(query, decision, now), over: r.over, answer: make(chan answer, 1)}
	d.nextItem++
	item := queue.Item[*waiter]{
		ID: d.nextItem, Account: r.c.AccountID, Tokens: decision.Uncached, Deadline: r.c.Deadline, OverRate: r.over, Value: w,
	}
	if err := l.queue.Push(item, now, predicted); err != nil {
		d.router.End(w.flight)
		if errors.Is(err, queue.ErrDeadline) {
			return queued{}, r.unreachable(predicted)
		}
		r.lastErr = err
		avoid[decision.TargetID] = true
		return queued{}, nil
	}
	d.sendQueued(l)
	return queued{queue: l, waiter: w, itemID: item.ID}, nil
}

// awaitPrefill waits until another request has computed the shared prefix.
func (d *Dispatcher) awaitPrefill(ctx context.Context, r *run, q queued) {
	_, end := d.observer.StartSpan(ctx, "queue")
	defer end(nil)
	timer := time.NewTimer(q.patience)
	defer timer.Stop()
	select {
	case <-q.prefill:
	case <-timer.C:
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	q.queue.prefillWaiters--
	d.dropPrefillWait(q)
}

func (d *Dispatcher) dropPrefillWait(q queued) {
	waiting := d.prefills[q.computes]
	for i, c := range waiting {
		if c == q.prefill {
			d.prefills[q.computes] = append(waiting[:i], waiting[i+1:]...)
			break
		}
	}
	if len(d.prefills[q.computes]) == 0 {
		delete(d.prefills, q.computes)
	}
}

// awaitTurn waits in the queue. It returns nil without an error if another target must
// be chosen.
func (d *Dispatcher) awaitTurn(ctx context.Context, r *run, q queued) (*permit, error) {
	_, end := d.observer.StartSpan(ctx, "queue")
	var got answer
	select {
	case got = <-q.waiter.answer:
	case <-ctx.Done():
		d.mu.Lock()
		if q.queue.queue.Remove(r.c.AccountID, q.itemID) {
			d.router.End(q.waiter.flight)
			d.wake(q.waiter.flight.ID())
			d.mu.Unlock()
			end(ctx.Err())
			return nil, r.ended(ctx)
		}
		d.mu.Unlock()
		got = <-q.waiter.answer
	}
	end(nil)
	switch got {
	case answerChooseAgain:
		return nil, nil
	case answerExpired:
		return nil, refusal.New(refusal.DeadlineUnreachable, "the deadline passed in the queue")
	}
	p := &permit{d: d, queue: q.queue, flight: q.waiter.flight, over: q.waiter.over}
	if p.target = d.options.Config().Target(q.queue.targetID); p.target == nil || ctx.Err() != nil {
		p.release()
		if ctx.Err() != nil {
			return nil, r.ended(ctx)
		}
		return nil, nil
	}
	return p, nil
}

// send records that the request is being sent. It returns false if the target has
// begun to leave since the choice.
func (p *permit) send() bool {
	p.d.mu.Lock()
	defer p.d.mu.Unlock()
	p.d.follow()
	if p.d.router.Leaving(p.queue.targetID) {
		return false
	}
	p.d.router.Send(p.flight, p.d.clock())
	return true
}

// firstToken records the end of the prefill.
func (p *permit) firstToken(epoch string) {
	p.d.mu.Lock()
	defer p.d.mu.Unlock()
	now := p.d.clock()
	p.queue.limit.RecordDelay(&p.d.knobs, p.flight.QueueDelay(now), now)
	p.d.router.FirstToken(p.flight, epoch, now)
	p.d.wake(p.flight.ID())
}

// release ends the request at the target.
func (p *permit) release() {
	p.d.mu.Lock()
	defer p.d.mu.Unlock()
	p.queue.limit.End(p.over)
	p.d.router.End(p.flight)
	p.d.wake(p.flight.ID())
	p.d.sendQueued(p.queue)
}
