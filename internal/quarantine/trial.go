package quarantine

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/policy/quarantine"
)

const (
	// claimTimeout bounds how long a request waits for the store to grant its trial.
	claimTimeout = 500 * time.Millisecond
	// claimInterval is the interval between attempts of this host to claim the same trial.
	claimInterval = 2 * time.Second
	// claimDelayPerHost spreads the first attempts, up to maxClaimDelay, so that few hosts of a
	// large fleet ask the store before they hear of the one that succeeded.
	claimDelayPerHost = 10 * time.Millisecond
	maxClaimDelay     = 3 * time.Second
)

// errTrialTaken means that the store has an entry that ends later than the one of this host.
var errTrialTaken = errors.New("the entry was prolonged already")

// ClaimTrial reports whether the request that asks may be tried although an entry rejects
// it. The store grants one trial at a time to the whole fleet: the entry is prolonged first,
// so that all other requests with its parts are rejected until the outcome is known.
func (k *Keeper) ClaimTrial(ctx context.Context, e quarantine.Entry) bool {
	if !k.mayClaim(e.ID) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	prolonged := e.Prolonged(time.Now())
	if err := k.claim(ctx, e, prolonged); err != nil {
		k.Log.Info("trial of an entry of the quarantine is not granted", "entry", e.ID, "error", err)
		k.requestRead()
		return false
	}
	k.update(func(r *quarantine.Registry) { r.AddEntry(prolonged, time.Now()) })
	k.Log.Info("a request with parts in quarantine is tried", "entry", e.ID, "parts", quarantine.Summarize(e.Parts), "for_s", int(prolonged.Duration.Seconds()))
	k.metrics.recordTrial()
	k.enqueue(outgoing{notice: entriesNotice([]quarantine.Entry{prolonged})})
	return true
}

// mayClaim reports whether this host may claim the trial of an entry now. Only one request
// at a time may do so.
func (k *Keeper) mayClaim(id string) bool {
	hosts, _ := k.Fleet.CountHosts()
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	e, ok := k.registry.Entry(id)
	if !ok || !e.IsTrialDue(now) {
		return false
	}
	next, ok := k.nextClaim[id]
	if !ok || next.Before(e.Until) {
		next = e.Until.Add(rand.N(min(time.Duration(hosts)*claimDelayPerHost, maxClaimDelay)))
		k.nextClaim[id] = next
	}
	if now.Before(next) {
		return false
	}
	maps.DeleteFunc(k.nextClaim, func(id string, _ time.Time) bool { _, ok := k.registry.Entry(id); return !ok })
	k.nextClaim[id] = now.Add(claimInterval)
	return true
}

// claim prolongs the row of an entry, unless another host has done so.
func (k *Keeper) claim(ctx context.Context, e, prolonged quarantine.Entry) error {
	unchanged := platform.Condition{Table: Table, Key: e.ID}
	current, err := k.Store.Get(ctx, Table, e.ID)
	switch {
	case errors.Is(err, platform.ErrNotFound): // lost, or not written yet
	case err != nil:
		return err
	default:
		unchanged.Version = current.Version
		if k.endsLater(current, e) {
			return errTrialTaken
		}
	}
	unchanged.Era = current.Era
	return k.commit(ctx, []platform.Condition{unchanged}, prolonged)
}

// endsLater reports whether the row of an entry says that it was prolonged.
func (k *Keeper) endsLater(current platform.Row, e quarantine.Entry) bool {
	var value row
	if err := json.Unmarshal(current.Value, &value); err != nil {
		k.Log.Warn("row of the quarantine is replaced", "key", current.Key, "row_version", current.Version, "error", err)
		return false
	}
	return milliseconds(value.DurationMs) > e.Duration
}
