package weights

import (
	"context"
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/leasestore"
	"github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/policy/lease"
	"github.com/sequoiaroad/sequoiaroad/policy/rollout"
)

// observeEra reads the lease row once in each era of the store, so that the time for which
// no process may acquire the lease has passed when weights are published. It also lets this
// host compare its record of publications with the store again, which may have lost it.
func (c *Controller) observeEra(ctx context.Context) {
	era, now := c.View.Era(), c.Clock()
	if era == c.observedEra || now.Before(c.observeEraAt) || c.View.StoreUnreachable() {
		return
	}
	if c.takeoverPosition() < maxObservers {
		if err := c.row.Observe(ctx); err != nil {
			c.observeEraAt = now.Add(leaseCheckInterval)
			c.Log.Warn("failed to read the weights lease", "era", era, "error", err)
			return
		}
	}
	c.observedEra = era
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.records)
}

// ensureLease acquires or renews the lease as needed, and reports whether this host may
// act on it.
func (c *Controller) ensureLease(ctx context.Context) bool {
	now := c.Clock()
	if c.held != nil && c.isFenced(c.held.Row.FencingToken) {
		c.held = nil
	}
	if c.held != nil && now.Add(renewMargin).Before(c.held.ExpiresAt) {
		return true
	}
	if now.Before(c.nextLeaseCheck) {
		return c.held != nil && c.held.MayAct(now, orderDeliveryTime)
	}
	if c.held != nil {
		held, err := c.renew(ctx)
		if err == nil {
			c.held = &held
			return true
		}
		c.nextLeaseCheck = now.Add(reconcileInterval * 4)
		if errors.Is(err, leasestore.ErrHeld) || now.After(c.held.ExpiresAt) {
			c.Log.Warn("weights lease lost", "fence", c.held.Row.FencingToken, "error", err)
			c.held = nil
		}
		return c.held != nil && c.held.MayAct(c.Clock(), orderDeliveryTime)
	}
	return c.tryAcquireLease(ctx, now)
}

// renew extends the held lease, or acquires it anew if the store was restored.
func (c *Controller) renew(ctx context.Context) (lease.Held, error) {
	held, err := c.row.Renew(ctx, *c.held, c.params)
	if !errors.Is(err, platform.ErrRestored) {
		return held, err
	}
	held, err = c.row.Reacquire(ctx, *c.held, c.params)
	if err == nil {
		c.Log.Info("weights lease acquired anew: the store was restored", "fence", held.Row.FencingToken, "before", c.held.Row.FencingToken, "era", held.Row.Era)
	}
	return held, err
}

func (c *Controller) isFenced(token uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return token <= c.highestFenced
}

// tryAcquireLease acquires the lease if no other host makes progress.
func (c *Controller) tryAcquireLease(ctx context.Context, now time.Time) bool {
	if c.stalledSince.IsZero() {
		c.stalledSince = now
	}
	c.mu.Lock()
	if c.lastProgress.After(c.stalledSince) {
		c.stalledSince = c.lastProgress
	}
	c.mu.Unlock()
	if now.Sub(c.stalledSince) < rollout.TakeoverDelay(c.takeoverPosition()) {
		return false
	}
	c.nextLeaseCheck = now.Add(leaseCheckInterval)
	held, err := c.row.TryAcquire(ctx, c.params)
	if err != nil {
		if !errors.Is(err, leasestore.ErrHeld) {
			c.Log.Warn("failed to acquire the weights lease", "error", err)
		}
		return false
	}
	c.held = &held
	c.Log.Info("weights lease acquired", "fence", held.Row.FencingToken)
	return held.MayAct(c.Clock(), orderDeliveryTime)
}

// takeoverPosition returns this host's index among the live hosts in ID order.
// maxObservers is the number of hosts that read the lease before they need it. The others
// would come after them.
const maxObservers = 4

func (c *Controller) takeoverPosition() int {
	ids := []string{c.HostID}
	for _, h := range c.Fleet.Live() {
		ids = append(ids, h.ID)
	}
	sort.Strings(ids)
	return sort.SearchStrings(ids, c.HostID)
}

// recordFenced gives up a lease whose fencing token an engine rejected.
func (c *Controller) recordFenced(held lease.Held) {
	c.Log.Warn("engine rejected an order: it has accepted a newer fencing token", "fence", held.Row.FencingToken)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.highestFenced = max(c.highestFenced, held.Row.FencingToken)
}
