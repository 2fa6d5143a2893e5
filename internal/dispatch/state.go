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

// rateMeter is a token bucket that measures whether an account exceeds its rate at this
// host. The limit over all hosts is enforced elsewhere; this one only determines the
// order of queues.
type rateMeter struct {
	level     float64
	updatedAt time.Time
}

// charge deducts the tokens and reports whether the account already exceeded its rate.
func (m *rateMeter) charge(a *config.Account, tokens int, now time.Time) bool {
	if m.updatedAt.IsZero() {
		m.level = float64(a.BurstTokens)
	} else {
		m.level += now.Sub(m.updatedAt).Seconds() * float64(a.RateTokensPerSecond)
	}
	m.updatedAt = now
	m.level = min(m.level, float64(a.BurstTokens))
	over := m.level < 0
	// The deficit is bounded, so that an account that slows down is within its rate
	// again after at most the time in which it earns one burst.
	m.level = max(m.level-float64(tokens), -float64(a.BurstTokens))
	return over
}

// chargeAccount charges a request to the account, counts it for the retry budget, and
// reports whether the account exceeds its rate.
func (d *Dispatcher) chargeAccount(accountID string, tokens int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyConfig()
	d.retryBudget.Request(&d.knobs)
	account := d.config.Account(accountID)
	if account == nil {
		return false
	}
	m := d.rateMeters[accountID]
	if m == nil {
		m = &rateMeter{}
		d.rateMeters[accountID] = m
	}
	return m.charge(account, tokens, d.clock())
}

// refundAccount returns the tokens that a request did not use.
func (d *Dispatcher) refundAccount(accountID string, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m := d.rateMeters[accountID]; m != nil && tokens > 0 {
		m.level += float64(tokens) // the next charge applies the upper bound
	}
}

// applyConfig applies a new configuration revision: it adds state for new targets and
// drops the state of removed targets and accounts. The caller holds the lock.
func (d *Dispatcher) applyConfig() {
	index := d.options.Config()
	if index == d.config {
		return
	}
	d.config = index
	document := index.Document()
	d.knobs = preset.For(document.Preset)
	d.router.Configure(document)
	d.requeueLeaving()
	for id := range d.targetQueues {
		if index.Target(id) == nil {
			delete(d.targetQueues, id)
		}
	}
	for i := range document.Targets {
		t := &document.Targets[i]
		if t.Kind == config.TargetEngine && d.targetQueues[t.ID] == nil {
			d.targetQueues[t.ID] = newTargetQueue(t.ID, &d.knobs)
		}
	}
	for id := range d.rateMeters {
		if index.Account(id) == nil {
			delete(d.rateMeters, id)
		}
	}
}

// recordFailure records that an attempt at a target failed.
func (d *Dispatcher) recordFailure(tq *targetQueue, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	var callErr *target.CallError
	if errors.As(err, &callErr) && callErr.NotExecuted {
		if callErr.Draining {
			d.router.SetDraining(tq.targetID, now)
			d.requeueLeaving()
			return
		}
		if callErr.Status != 0 {
			// The target is alive but rejects requests: reduce its load without
			// ejecting it.
			tq.limit.RecordDelay(&d.knobs, overloadRetryAfter, now)
			d.router.Refused(tq.targetID, now.Add(overloadRetryAfter))
			return
		}
	}
	if d.router.Failed(tq.targetID, now) {
		d.logger.Warn("target ejected", "target", tq.targetID, "error", err)
	}
}

func (d *Dispatcher) recordSuccess(targetID string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.Succeeded(targetID, d.clock())
}

// takeRetry reports whether the retry budget allows another attempt.
func (d *Dispatcher) takeRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retryBudget.Take()
}

// jitter returns a random duration below limit.
func (d *Dispatcher) jitter(limit time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.random.Int64N(int64(limit)))
}

func (d *Dispatcher) recordRetry(targetID string, cause error) {
	d.mu.Lock()
	d.totals.Retries++
	d.mu.Unlock()
	d.observer.Retried(targetID, FailureKind(cause))
}

// recordCompletion adds the counters of a completion to the totals.
func (d *Dispatcher) recordCompletion(accountID string, s CompletionStats) {
	d.mu.Lock()
	d.totals.Completions++
	d.totals.PromptTokens += uint64(max(s.PromptTokens, 0))
	d.totals.CachedTokens += uint64(max(s.CachedTokens, 0))
	d.totals.WastedTokens += uint64(max(s.WastedTokens, 0))
	d.totals.OutputTokens += uint64(max(s.OutputTokens, 0))
	d.mu.Unlock()
	d.observer.CompletionDone(accountID, s)
}

// cancelAttempt cancels an abandoned attempt at its engine in the background.
func (d *Dispatcher) cancelAttempt(ctx context.Context, t *config.Target, requestID string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	go func() {
		defer cancel()
		if err := d.options.Engines.Cancel(ctx, t, requestID); err != nil {
			d.logger.Debug("failed to cancel attempt", "target", t.ID, "request", requestID, "error", err)
		}
	}()
}

// Explain implements Explainer.
func (d *Dispatcher) Explain(accountID, model string, prompt []byte) Explanation {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyConfig()
	explanation := Explanation{Policy: d.router.PolicyName()}
	m := d.config.Model(model)
	if m == nil {
		explanation.Reason = "the model is unknown"
		return explanation
	}
	r := newCompletionRun(d, &Completion{AccountID: accountID, Model: model, Prompt: prompt}, m)
	var candidates []routing.TargetCandidate
	explanation.Chosen, explanation.Reason, candidates = d.router.Explain(r.query(nil), d.clock())
	if explanation.Chosen == "" {
		explanation.Reason = "no target can take the request"
	}
	for i := range candidates {
		explanation.Candidates = append(explanation.Candidates, newCandidate(&candidates[i]))
	}
	return explanation
}

func newCandidate(c *routing.TargetCandidate) Candidate {
	const msPerSecond = 1000
	return Candidate{
		Target: c.TargetID, CachedTokens: int(c.Cached), UncachedTokens: int(c.Uncached),
		NetworkMs: c.Network * msPerSecond, QueueMs: c.Queue * msPerSecond,
		PrefillMs: c.Prefill * msPerSecond, LoadMs: c.WeightsLoad * msPerSecond,
		TotalMs: c.Total() * msPerSecond, Excluded: c.Excluded.String(),
	}
}

// describeChoice returns the router's last decision with its best candidates. The
// caller holds the lock.
func (d *Dispatcher) describeChoice(decision *routing.Decision) Choice {
	c := Choice{
		TargetID: decision.TargetID, Reason: decision.Reason, Cached: decision.Cached, Uncached: decision.Uncached,
	}
	candidates := d.router.Candidates()
	slices.SortStableFunc(candidates, func(a, b routing.TargetCandidate) int {
		return cmp.Or(cmp.Compare(a.Excluded, b.Excluded), cmp.Compare(a.Total(), b.Total()))
	})
	for i := range min(len(candidates), maxTracedCandidates) {
		c.Candidates = append(c.Candidates, newCandidate(&candidates[i]))
	}
	return c
}

// ChooseService implements ServiceChooser.
func (d *Dispatcher) ChooseService(service string, tried []string) (*config.Target, func(err error), error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyConfig()
	excluded := make(map[string]bool, len(tried))
	for _, id := range tried {
		excluded[id] = true
	}
	id, ok := d.router.ChooseService(service, excluded, d.clock())
	if ok && len(tried) > 0 {
		d.observer.Retried(id, kindService)
	}
	if !ok {
		return nil, nil, refusal.New(refusal.TargetUnavailable, "no replica of service %q is available", service).
			WithRetryAfter(overloadRetryAfter)
	}
	reported := false
	return d.config.Target(id), func(err error) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if !reported {
			reported = true
			d.router.ServiceDone(id, err != nil, d.clock())
		}
	}, nil
}

// ObserveLeaving implements LeavingObserver.
func (d *Dispatcher) ObserveLeaving(targetIDs []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyConfig()
	d.router.SetLeaving(targetIDs)
	d.requeueLeaving()
}

// ObserveLoad implements target.Observer.
func (d *Dispatcher) ObserveLoad(targetID string, r target.LoadReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyConfig()
	d.router.ObserveLoad(targetID, r.Epoch, r.WeightsVersion, r.Draining, routing.Report{
		Running: r.Running, Waiting: r.Waiting, PendingPrefillTokens: r.PendingPrefillTokens, MeasuredAt: r.MeasuredAt,
	}, d.clock())
	if r.Draining {
		d.requeueLeaving()
	}
}

// ObserveWeightsLoadStart records that a target was ordered to load weights, which
// takes at most timeout; see routing.Router.SetLoading.
func (d *Dispatcher) ObserveWeightsLoadStart(targetID, model, version string, timeout time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyConfig()
	d.router.SetLoading(targetID, model, version, d.clock().Add(timeout))
}

// ObserveWeightsLoadEnd records that a target no longer loads weights.
func (d *Dispatcher) ObserveWeightsLoadEnd(targetID string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyConfig()
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
	d.applyConfig()
	return d.router.Apply(targetID, batch)
}

// ObserveUnreachable implements target.Observer.
func (d *Dispatcher) ObserveUnreachable(targetID string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyConfig()
	d.router.ObserveUnreachable(targetID, d.clock())
	d.logger.Debug("target does not respond to polls", "target", targetID, "error", err)
}
