package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

// loadReportTimeout bounds a load request to an engine that has just responded.
const loadReportTimeout = time.Second

// origin identifies the engine and epoch that began a text.
type origin struct{ targetID, epoch string }

// recordOrigin records which engine begins the text, and with which weights. It
// requests a load report from an engine that has not been polled since it restarted, so
// that another engine can continue the stream if this one fails.
func (r *completionRun) recordOrigin(ctx context.Context, t *config.Target, epoch string) {
	r.origin = origin{t.ID, epoch}
	if r.weightsVersion = r.d.reportedWeights(t.ID, epoch); r.weightsVersion != "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, loadReportTimeout)
	defer cancel()
	report, err := r.d.options.Engines.Load(ctx, t)
	if err == nil && report.Epoch == epoch {
		r.weightsVersion = report.WeightsVersion
	}
}

// textWeights returns the version of the weights that produced the text so far, empty
// if it is not known.
func (r *completionRun) textWeights() string {
	if r.weightsVersion == "" {
		r.weightsVersion = r.d.reportedWeights(r.origin.targetID, r.origin.epoch)
	}
	return r.weightsVersion
}

// checkWeights is called when an engine has accepted an attempt and before any of its
// tokens is used. An engine that continues a text must have the weights that began it.
// The last polled report does not prove that, because the engine may have restarted
// with other weights since; checkWeights therefore requests a new report, which must be
// of the stream's epoch.
func (r *completionRun) checkWeights(ctx context.Context, t *config.Target, epoch string) error {
	if r.assembler.next == 0 {
		r.recordOrigin(ctx, t, epoch)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, loadReportTimeout)
	defer cancel()
	report, err := r.d.options.Engines.Load(ctx, t)
	if err != nil {
		return errors.WithMessagef(err, "weights of target %s", t.ID)
	}
	if report.Epoch != epoch || report.WeightsVersion != r.weightsVersion {
		return errors.Errorf("target %s has weights %q in epoch %q, the stream needs %q in epoch %q",
			t.ID, report.WeightsVersion, report.Epoch, r.weightsVersion, epoch)
	}
	return nil
}

func (d *Dispatcher) reportedWeights(targetID, epoch string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.router.Weights(targetID, epoch)
}
