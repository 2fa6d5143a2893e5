package weights

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/internal/view"
	"github.com/sequoiaroad/sequoiaroad/policy/rollout"
	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

const (
	// recordRetryDelay follows a failed record of a publication.
	recordRetryDelay = time.Second
	// maxRecorders is the number of hosts that record a publication, one after the
	// other, so that it does not depend on one host.
	maxRecorders = 4
	// maxComparisonDelay spreads the other hosts that compare their record with the store.
	maxComparisonDelay = time.Second
)

// record is what this host has done about the newest publication of a model.
type record struct {
	version int64
	busy    bool
	// dueAt is when this host compares its record with the store.
	dueAt time.Time
}

// recordPublications records in the store when the desired versions were published, and
// reads what other hosts have recorded, so that hosts that start later know how long
// older weights have been outdated. It depends neither on a rollout nor on the lease.
func (c *Controller) recordPublications(ctx context.Context, running *sync.WaitGroup) {
	for _, desired := range c.View.Snapshot().DesiredWeights {
		c.recordPublication(ctx, desired, running)
	}
}

func (c *Controller) recordPublication(ctx context.Context, desired topology.DesiredWeights, running *sync.WaitGroup) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.records[desired.Model]
	now := c.Clock()
	if r == nil || r.version < desired.Version && !r.busy {
		r = &record{version: desired.Version, dueAt: c.comparisonTime(now)}
		c.records[desired.Model] = r
	}
	if r.busy || r.dueAt.IsZero() || now.Before(r.dueAt) {
		return
	}
	r.busy = true
	running.Go(func() {
		err := c.syncPublications(ctx, desired.Model)
		c.mu.Lock()
		defer c.mu.Unlock()
		r.busy, r.dueAt = false, time.Time{}
		if err != nil {
			c.Log.Warn("failed to record when weights were published", "model", desired.Model, "weights", desired.Version, "error", err)
			r.dueAt = c.Clock().Add(recordRetryDelay)
		}
	})
}

// comparisonTime returns when this host compares the newest publication that it knows with the
// store; zero if its hub tells it. Each host that has no hub must do so: it may have received
// the version late, since it was frozen, and would take older weights for newly outdated.
func (c *Controller) comparisonTime(now time.Time) time.Time {
	if position := c.takeoverPosition(); position < maxRecorders {
		return now.Add(rollout.TakeoverDelay(position))
	}
	if !c.Fleet.ReadsForItself() {
		return time.Time{}
	}
	return now.Add(rand.N(maxComparisonDelay))
}

// syncPublications reads the row of a model and adds what this host knows better. The
// write is conditional, so that a late one does not replace a newer row.
func (c *Controller) syncPublications(ctx context.Context, model string) error {
	stored, err := c.Store.Get(ctx, view.PublicationsTable, model)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	var row view.Publications
	if err == nil {
		if err := json.Unmarshal(stored.Value, &row); err != nil {
			c.Log.Warn("row of publications is replaced", "model", model, "error", err)
		}
	}
	merged, changed, err := c.View.MergePublications(model, row)
	if err != nil || !changed {
		return err
	}
	value, err := json.Marshal(merged)
	if err != nil {
		return errors.Wrap(err, "encode publications")
	}
	_, err = c.Store.Commit(ctx,
		[]platform.Condition{{Table: view.PublicationsTable, Key: model, Version: stored.Version, Era: stored.Era}},
		[]platform.Write{{Table: view.PublicationsTable, Key: model, Value: value}})
	return err
}
