package weights

import (
	"context"
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/leaserow"
	"github.com/sequoiaroad/sequoiaroad/policy/lease"
	"github.com/sequoiaroad/sequoiaroad/policy/rollout"
)

// hold makes sure that this host holds the lease; false if it does not.
func (d *Duty) hold(ctx context.Context) bool {
	now := d.Clock()
	if d.held != nil && d.isFenced(d.held.Row.FencingToken) {
		d.held = nil
	}
	if d.held != nil && now.Add(renewBefore).Before(d.held.ExpiresAt) {
		return true
	}
	if now.Before(d.nextLook) {
		return d.held != nil && d.held.MayAct(now, orderNeed)
	}
	if d.held != nil {
		held, err := d.row.Renew(ctx, *d.held, d.params)
		if err == nil {
			d.held = &held
			return true
		}
		d.nextLook = now.Add(tick * 4)
		if errors.Is(err, leaserow.ErrHeld) || now.After(d.held.ExpiresAt) {
			d.Log.Warn("weights lease lost", "fence", d.held.Row.FencingToken, "error", err)
			d.held = nil
		}
		return d.held != nil && d.held.MayAct(d.Clock(), orderNeed)
	}
	return d.seek(ctx, now)
}

func (d *Duty) isFenced(number uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return number <= d.fenced
}

// seek takes the lease if no other host makes progress.
func (d *Duty) seek(ctx context.Context, now time.Time) bool {
	if d.blockedSince.IsZero() {
		d.blockedSince = now
	}
	d.mu.Lock()
	if d.progress.After(d.blockedSince) {
		d.blockedSince = d.progress
	}
	d.mu.Unlock()
	if now.Sub(d.blockedSince) < rollout.TakeoverDelay(d.position()) {
		return false
	}
	d.nextLook = now.Add(observeInterval)
	held, err := d.row.TryAcquire(ctx, d.params)
	if err != nil {
		if !errors.Is(err, leaserow.ErrHeld) {
			d.Log.Warn("weights lease was not read", "error", err)
		}
		return false
	}
	d.held = &held
	d.Log.Info("weights lease taken", "fence", held.Row.FencingToken)
	return held.MayAct(d.Clock(), orderNeed)
}

// position is this host's place among the live hosts by id.
func (d *Duty) position() int {
	ids := []string{d.HostID}
	for _, h := range d.Fleet.Live() {
		ids = append(ids, h.ID)
	}
	sort.Strings(ids)
	return sort.SearchStrings(ids, d.HostID)
}

// stepDown gives up a lease whose fencing number an engine refused.
func (d *Duty) stepDown(held lease.Held) {
	d.Log.Warn("an engine has seen a newer fencing number", "fence", held.Row.FencingToken)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fenced = max(d.fenced, held.Row.FencingToken)
}
