package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

// loadTimeout bounds a question for the weights of an engine that has just answered.
const loadTimeout = time.Second

// origin is the engine, in one epoch, that began a text.
type origin struct{ targetID, epoch string }

// begin notes which engine begins the text, and with which weights. An engine that has
// not been polled since it restarted is asked, so that its stream can go on elsewhere
// if it dies.
func (r *run) begin(ctx context.Context, t *config.Target, epoch string) {
	r.origin = origin{t.ID, epoch}
	if r.weights = r.d.reportedWeights(t.ID, epoch); r.weights != "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	report, err := r.d.options.Engines.Load(ctx, t)
	if err == nil && report.Epoch == epoch {
		r.weights = report.WeightsVersion
	}
}

// textWeights returns the version of the weights that the text so far comes from,
// empty if it is not known.
func (r *run) textWeights() string {
	if r.weights == "" {
		r.weights = r.d.reportedWeights(r.origin.targetID, r.origin.epoch)
	}
	return r.weights
}

// checkWeights is called when an engine has accepted an attempt and before any of its
// tokens is used. An engine that is to continue a text must have the weights that
// began it. The last polled report does not prove that, because the engine may have
// restarted with other weights since, so that it is asked in the stream's epoch.
func (r *run) checkWeights(ctx context.Context, t *config.Target, epoch string) error {
	if r.assembler.next == 0 {
		r.begin(ctx, t, epoch)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	report, err := r.d.options.Engines.Load(ctx, t)
	if err != nil {
		return errors.WithMessagef(err, "weights of target %s", t.ID)
	}
	if report.Epoch != epoch || report.WeightsVersion != r.weights {
		return errors.Errorf("target %s has weights %q in epoch %q, the stream needs %q in epoch %q",
			t.ID, report.WeightsVersion, report.Epoch, r.weights, epoch)
	}
	return nil
}

func (d *Dispatcher) reportedWeights(targetID, epoch string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.router.Weights(targetID, epoch)
}
