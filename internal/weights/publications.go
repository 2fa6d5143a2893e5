package weights

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/internal/view"
	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

// recordRetryDelay follows a failed record of a publication.
const recordRetryDelay = time.Second

// recorded is the newest version of a model whose publication this host has recorded.
type recorded struct {
	version int64
	busy    bool
	retryAt time.Time
}

// recordPublication records in the store when the desired version was published, so that
// hosts that start later know how long older weights have been outdated. It does not
// delay the rollout.
func (c *Controller) recordPublication(ctx context.Context, desired topology.DesiredWeights, running *sync.WaitGroup) {
	r := c.recorded[desired.Model]
	if r == nil {
		r = &recorded{}
		c.recorded[desired.Model] = r
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.version >= desired.Version || r.busy || c.Clock().Before(r.retryAt) {
		return
	}
	row, known := c.View.Publications(desired.Model)
	if !known {
		return
	}
	r.busy = true
	running.Go(func() {
		err := c.writePublications(ctx, desired.Model, row)
		c.mu.Lock()
		defer c.mu.Unlock()
		r.busy = false
		if err != nil {
			c.Log.Warn("failed to record when weights were published", "model", desired.Model, "weights", desired.Version, "error", err)
			r.retryAt = c.Clock().Add(recordRetryDelay)
			return
		}
		r.version = desired.Version
	})
}

// writePublications writes the row unless it already has the newest version. The write
// is conditional, so that a late one does not replace a newer row.
func (c *Controller) writePublications(ctx context.Context, model string, row view.Publications) error {
	stored, err := c.Store.Get(ctx, view.PublicationsTable, model)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	var before view.Publications
	if err == nil {
		if err := json.Unmarshal(stored.Value, &before); err != nil {
			c.Log.Warn("row of publications is replaced", "model", model, "error", err)
		}
	}
	if newestVersion(before) >= newestVersion(row) {
		return nil
	}
	value, err := json.Marshal(row)
	if err != nil {
		return errors.Wrap(err, "encode publications")
	}
	_, err = c.Store.Commit(ctx,
		[]platform.Condition{{Table: view.PublicationsTable, Key: model, Version: stored.Version}},
		[]platform.Write{{Table: view.PublicationsTable, Key: model, Value: value}})
	return err
}

func newestVersion(p view.Publications) int64 {
	var newest int64
	for _, v := range p.Versions {
		newest = max(newest, v.Version)
	}
	return newest
}
