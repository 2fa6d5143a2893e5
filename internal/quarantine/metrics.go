package quarantine

import (
	"context"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/sequoiaroad/sequoiaroad/policy/quarantine"
)

// The outcomes of a crash that this host or a peer has seen.
const (
	outcomeAdded     = "added"     // parts were put in quarantine
	outcomeExplained = "explained" // enough targets crashed, but more specific parts explain it
	outcomeRecorded  = "recorded"  // neither
)

// metrics holds the instruments of a keeper.
type metrics struct {
	crashes metric.Int64Counter
	cleared metric.Int64Counter
	trials  metric.Int64Counter
}

func newMetrics(meter metric.Meter) (*metrics, error) {
	m := &metrics{}
	var err error
	if m.crashes, err = meter.Int64Counter("sequoiaroad_quarantine_crashes", metric.WithDescription("Attempts that a target did not survive, seen by this host or a peer, by outcome.")); err != nil {
		return nil, errors.Wrap(err, "create metric")
	}
	if m.trials, err = meter.Int64Counter("sequoiaroad_quarantine_trials", metric.WithDescription("Requests of this host that were tried although their parts are in quarantine.")); err != nil {
		return nil, errors.Wrap(err, "create metric")
	}
	m.cleared, err = meter.Int64Counter("sequoiaroad_quarantine_cleared", metric.WithDescription("Suspected parts that a target completed."))
	return m, errors.Wrap(err, "create metric")
}

func (m *metrics) recordCrash(o *quarantine.Outcome) {
	outcome := outcomeRecorded
	switch {
	case len(o.Added) > 0:
		outcome = outcomeAdded
	case len(o.Explained) > 0:
		outcome = outcomeExplained
	}
	m.crashes.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

func (m *metrics) recordCleared(parts int) { m.cleared.Add(context.Background(), int64(parts)) }

func (m *metrics) recordTrial() { m.trials.Add(context.Background(), 1) }
