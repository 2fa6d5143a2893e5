package dispatch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/refusal"
	"github.com/sequoiaroad/sequoiaroad/internal/target"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
	"github.com/sequoiaroad/sequoiaroad/policy/preset"
	"github.com/sequoiaroad/sequoiaroad/policy/routing"
)

// meter is a token bucket that tells whether an account sends more than its rate
// through this host. The limit over all hosts is enforced elsewhere; this one only
// orders queues.
type meter struct {
	level float64
	at    time.Time
}

// over reports whether the account is above its rate, and charges the tokens.
func (m *meter) over(a *config.Account, tokens int, now time.Time) bool {
	if m.at.IsZero() {
		m.level = float64(a.BurstTokens)
	} else {
		m.level += now.Sub(m.at).Seconds() * float64(a.RateTokensPerSecond)
	}
	m.at = now
	m.level = min(m.level, float64(a.BurstTokens))
	over := m.level < 0
	// The debt is bounded, so that an account is within its rate again at most one
	// burst's time after it slows down.
	m.level = max(m.level-float64(tokens), -float64(a.BurstTokens))
	return over
}

// charge counts a request for the account and reports whether it is above its rate.
func (d *Dispatcher) charge(accountID string, tokens int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follow()
	d.retries.Request(&d.knobs)
	a := d.applied.Account(accountID)
	if a == nil {
		return false
	}
	m := d.accounts[accountID]
	if m == nil {
		m = &meter{}
		d.accounts[accountID] = m
	}
	return m.over(a, tokens, d.clock())
}

// refund gives back the tokens that a request did not use.
func (d *Dispatcher) refund(accountID string, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m := d.accounts[accountID]; m != nil && tokens > 0 {
		m.level += float64(tokens) // the next charge applies the upper bound
	}
}

// follow applies a new revision: state is kept for what is configured and dropped for
// the rest. The caller holds the lock.
func (d *Dispatcher) follow() {
	x := d.options.Config()
	if x == d.applied {
		return
	}
	d.applied = x
	document := x.Document()
	d.knobs = preset.For(document.Preset)
	d.router.Configure(document)
	d.requeueLeaving()
	for id := range d.targetQueues {
		if x.Target(id) == nil {
			delete(d.targetQueues, id)
		}
	}
	for i := range document.Targets {
		t := &document.Targets[i]
		if t.Kind == config.TargetEngine && d.targetQueues[t.ID] == nil {
			d.targetQueues[t.ID] = newTargetQueue(t.ID, &d.knobs)
		}
	}
	for id := range d.accounts {
		if x.Account(id) == nil {
			delete(d.accounts, id)
		}
	}
}

// failed records that an attempt at a target failed.
func (d *Dispatcher) failed(l *targetQueue, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	var call *target.CallError
	if errors.As(err, &call) && call.NotExecuted {
		if call.Draining {
			d.router.SetDraining(l.targetID, now)
			d.requeueLeaving()
			return
		}
		if call.Status != 0 {
			// The target is alive and refuses work: send less, but don't eject it.
			l.limit.RecordDelay(&d.knobs, overloadRetryAfter, now)
			d.router.Refused(l.targetID, now.Add(overloadRetryAfter))
			return
		}
	}
	if d.router.Failed(l.targetID, now) {
		d.logger.Warn("target ejected", "target", l.targetID, "error", err)
	}
}

func (d *Dispatcher) succeeded(targetID string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.Succeeded(targetID, d.clock())
}

// takeRetry reports whether the retry budget allows another attempt.
func (d *Dispatcher) takeRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retries.Take()
}

// jitter returns a random part of a duration.
func (d *Dispatcher) jitter(limit time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.random.Int64N(int64(limit)))
}

func (d *Dispatcher) countRetry(targetID string, reason error) {
	d.mu.Lock()
	d.totals.Retries++
	d.mu.Unlock()
	d.observer.Retried(targetID, FailureKind(reason))
}

// count adds the measures of a completion.
func (d *Dispatcher) count(accountID string, m CompletionStats) {
	d.mu.Lock()
	d.totals.Completions++
	d.totals.PromptTokens += uint64(max(m.PromptTokens, 0))
	d.totals.CachedTokens += uint64(max(m.CachedTokens, 0))
	d.totals.WastedTokens += uint64(max(m.WastedTokens, 0))
	d.totals.OutputTokens += uint64(max(m.OutputTokens, 0))
	d.mu.Unlock()
	d.observer.CompletionDone(accountID, m)
}

// cancelAttempt tells an engine, without waiting, that an attempt is abandoned.
func (d *Dispatcher) cancelAttempt(ctx context.Context, t *config.Target, id string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	go func() {
		defer cancel()
		if err := d.options.Engines.Cancel(ctx, t, id); err != nil {
			d.logger.Debug("cancel failed", "target", t.ID, "request", id, "error", err)
		}
	}()
}

// Explain implements Explainer.
func (d *Dispatcher) Explain(accountID, model string, prompt []byte) Explanation {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follow()
	e := Explanation{Policy: d.router.PolicyName()}
	m := d.applied.Model(model)
	if m == nil {
		e.Reason = "the model is unknown"
		return e
	}
	r := newRun(d, &Completion{AccountID: accountID, Model: model, Prompt: prompt}, m)
	var all []routing.TargetCandidate
	e.Chosen, e.Reason, all = d.router.Explain(r.query(nil), d.clock())
	if e.Chosen == "" {
		e.Reason = "no target can take the request"
	}
	for i := range all {
		e.Candidates = append(e.Candidates, candidate(&all[i]))
	}
	return e
}

func candidate(c *routing.TargetCandidate) Candidate {
	const msPerSecond = 1000
	return Candidate{
		Target: c.TargetID, CachedTokens: int(c.Cached), UncachedTokens: int(c.Uncached),
		NetworkMs: c.Network * msPerSecond, QueueMs: c.Queue * msPerSecond,
		PrefillMs: c.Prefill * msPerSecond, LoadMs: c.WeightsLoad * msPerSecond,
		TotalMs: c.Total() * msPerSecond, Excluded: c.Excluded.String(),
	}
}

// choice describes the router's last choice. The caller holds the lock.
func (d *Dispatcher) choice(decision *routing.Decision) Choice {
	c := Choice{
		TargetID: decision.TargetID, Reason: decision.Reason, Cached: decision.Cached, Uncached: decision.Uncached,
	}
	all := d.router.Candidates()
	slices.SortStableFunc(all, func(a, b routing.TargetCandidate) int {
		return cmp.Or(cmp.Compare(a.Excluded, b.Excluded), cmp.Compare(a.Total(), b.Total()))
	})
	for i := range min(len(all), maxTracedCandidates) {
		c.Candidates = append(c.Candidates, candidate(&all[i]))
	}
	return c
}

// ChooseService implements ServiceChooser.
func (d *Dispatcher) ChooseService(service string, tried []string) (*config.Target, func(err error), error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follow()
	avoid := make(map[string]bool, len(tried))
	for _, id := range tried {
		avoid[id] = true
	}
	id, ok := d.router.ChooseService(service, avoid, d.clock())
	if ok && len(tried) > 0 {
		d.observer.Retried(id, kindService)
	}
	if !ok {
		return nil, nil, refusal.New(refusal.TargetUnavailable, "no replica of service %q is available", service).
			WithRetryAfter(overloadRetryAfter)
	}
	done := false
	return d.applied.Target(id), func(err error) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if !done {
			done = true
			d.router.ServiceDone(id, err != nil, d.clock())
		}
	}, nil
}

// ObserveLeaving implements TargetSet.
func (d *Dispatcher) ObserveLeaving(targetIDs []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follow()
	d.router.SetLeaving(targetIDs)
	d.requeueLeaving()
}

// ObserveLoad implements target.Observer.
func (d *Dispatcher) ObserveLoad(targetID string, r target.LoadReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follow()
	d.router.ObserveLoad(targetID, r.Epoch, r.WeightsVersion, r.Draining, routing.Report{
		Running: r.Running, Waiting: r.Waiting, PendingPrefillTokens: r.PendingPrefillTokens, MeasuredAt: r.MeasuredAt,
	}, d.clock())
	if r.Draining {
		d.requeueLeaving()
	}
}

// ObserveWeightsLoadStart records that a target was ordered to load weights; see
// routing.Router.SetLoading.
func (d *Dispatcher) ObserveWeightsLoadStart(targetID, model, version string, atMost time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follow()
	d.router.SetLoading(targetID, model, version, d.clock().Add(atMost))
}

// ObserveWeightsLoadEnd records that a target no longer loads weights.
func (d *Dispatcher) ObserveWeightsLoadEnd(targetID string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follow()
	d.router.ClearLoading(targetID)
}

// ObserveCacheEvents implements target.Observer.
func (d *Dispatcher) ObserveCacheEvents(targetID string, e target.CacheEvents) (string, uint64) {
	batch := prefix.Batch{Epoch: e.Epoch, Reset: e.Reset, Sequence: e.Sequence, Events: make([]prefix.Event, len(e.Events))}
	for i, event := range e.Events {
		batch.Events[i] = prefix.Event(event)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follow()
	return d.router.Apply(targetID, batch)
}

// ObserveUnreachable implements target.Observer.
func (d *Dispatcher) ObserveUnreachable(targetID string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follow()
	d.router.ObserveUnreachable(targetID, d.clock())
	d.logger.Debug("target does not answer polls", "target", targetID, "error", err)
}
