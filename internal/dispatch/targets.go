package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/sequoiaroad/sequoiaroad/internal/refusal"
	"github.com/sequoiaroad/sequoiaroad/internal/target"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

// targetState is what this host knows about one target.
type targetState struct {
	inFlight int
	leaving  bool
	report   target.LoadReport
}

func (d *Dispatcher) syncLocked() {
	document := d.options.Config().Document()
	if document.Revision == d.revision && len(d.targets) > 0 {
		return
	}
	d.revision = document.Revision
	keep := map[string]*targetState{}
	for i := range document.Targets {
		id := document.Targets[i].ID
		if keep[id] = d.targets[id]; keep[id] == nil {
			keep[id] = &targetState{}
		}
	}
	d.targets = keep
}

// acquire chooses a target and waits until the request may be sent there.
func (d *Dispatcher) acquire(_ context.Context, r *run) (*config.Target, func(), error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncLocked()
	document := d.options.Config().Document()
	var best *config.Target
	var state *targetState
	for i := range document.Targets {
		t := &document.Targets[i]
		s := d.targets[t.ID]
		if t.Kind != config.TargetEngine || !slices.Contains(t.Models, r.c.Model) || r.tried[t.ID] {
			continue
		}
		if s == nil || s.leaving || t.Leaving || s.report.Draining {
			continue
		}
		if best == nil || s.inFlight < state.inFlight {
			best, state = t, s
		}
	}
	if best == nil {
		return nil, nil, refusal.New(refusal.TargetUnavailable, "no target serves model %q", r.c.Model).WithRetryAfter(time.Second).WithCause(r.lastErr)
	}
	state.inFlight++
	return best, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		state.inFlight--
	}, nil
}

func (d *Dispatcher) observeFirstToken(string)     {}
func (d *Dispatcher) observeSuccess(string)        {}
func (d *Dispatcher) observeFailure(string, error) {}

func (d *Dispatcher) countRetry(targetID string, reason error) {
	d.mu.Lock()
	d.totals.Retries++
	d.mu.Unlock()
	text := ""
	if reason != nil {
		text = reason.Error()
	}
	d.observer.Retried(targetID, text)
}

func (d *Dispatcher) countCompletion(r *run) {
	m := Measures{
		PromptTokens:     r.result.Usage.PromptTokens,
		CachedTokens:     r.result.Usage.CachedTokens,
		OutputTokens:     r.delivered,
		TimeToFirstToken: r.result.TimeToFirstToken,
	}
	d.mu.Lock()
	d.totals.Completions++
	d.totals.PromptTokens += uint64(m.PromptTokens)
	d.totals.CachedTokens += uint64(m.CachedTokens)
	d.totals.WastedTokens += uint64(m.WastedTokens)
	d.totals.OutputTokens += uint64(m.OutputTokens)
	d.mu.Unlock()
	d.observer.CompletionDone(r.c.AccountID, m)
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
func (d *Dispatcher) Explain(string, string, []byte) Explanation { return Explanation{} }

// ChooseService implements ServiceChooser.
func (d *Dispatcher) ChooseService(service string, tried []string) (*config.Target, func(err error), error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncLocked()
	document := d.options.Config().Document()
	for i := range document.Targets {
		t := &document.Targets[i]
		if t.Kind == config.TargetService && t.Service == service && !t.Leaving &&
			!slices.Contains(tried, t.ID) && !d.targets[t.ID].leaving {
			return t, func(error) {}, nil
		}
	}
	return nil, nil, refusal.New(refusal.TargetUnavailable, "no replica of service %q is available", service)
}

// ObserveLeaving implements TargetSet.
func (d *Dispatcher) ObserveLeaving(targetIDs []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncLocked()
	for id, s := range d.targets {
		s.leaving = slices.Contains(targetIDs, id)
	}
}

// ObserveLoad implements target.Observer.
func (d *Dispatcher) ObserveLoad(targetID string, r target.LoadReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncLocked()
	if s := d.targets[targetID]; s != nil {
		s.report = r
	}
}

// ObserveCacheEvents implements target.Observer.
func (d *Dispatcher) ObserveCacheEvents(_ string, e target.CacheEvents) (string, uint64) {
	return e.Epoch, e.Sequence
}

// ObserveUnreachable implements target.Observer.
func (d *Dispatcher) ObserveUnreachable(string, error) {}
