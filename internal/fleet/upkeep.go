package fleet

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

const (
	upkeepOperator   = "fleet"
	minUpkeepBackoff = 50 * time.Millisecond
	// maxUpkeepBackoff spreads the attempts of hosts that restart together.
	maxUpkeepBackoff = 2 * time.Second
	upkeepTimeout    = 10 * time.Second
)

// runUpkeep proposes the changes that keep the chain in order: join, removal of
// members that are gone, and settlement of old pushes and withdrawals. Collisions
// with other hosts are spread by a growing random delay.
func (f *Fleet) runUpkeep(ctx context.Context) {
	backoff := minUpkeepBackoff
	for ctx.Err() == nil {
		f.sleepJittered(ctx, upkeepInterval, f.polled)
		f.dropOldSnapshots()
		if len(f.dueRepairs()) == 0 {
			backoff = minUpkeepBackoff
			continue
		}
		f.sleepJittered(ctx, f.jitter(backoff)+time.Millisecond, nil)
		if err := f.repair(ctx); err != nil && ctx.Err() == nil {
			f.log.Debug("upkeep change failed", "error", err)
			backoff = min(2*backoff, maxUpkeepBackoff)
			continue
		}
		backoff = minUpkeepBackoff
	}
}

// repairStep is a part of an upkeep change. Mutate returns false if the document needs
// no change.
type repairStep struct {
	summary string
	mutate  func(*config.Document) bool
}

// errNothingDue means that another host has made the change.
var errNothingDue = errors.New("no upkeep change is due")

// repair commits one change with all repairs that are due.
func (f *Fleet) repair(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, upkeepTimeout)
	defer cancel()
	steps := f.dueRepairs()
	if len(steps) == 0 {
		return nil
	}
	var summaries []string
	for _, s := range steps {
		summaries = append(summaries, s.summary)
	}
	mutate := func(d *config.Document) error {
		due := false
		for _, s := range steps {
			due = s.mutate(d) || due
		}
		if !due {
			return errNothingDue
		}
		return nil
	}
	p, err := f.commit(ctx, mutate, ProposeOptions{Operator: upkeepOperator, Summary: strings.Join(summaries, ", ")})
	if errors.Is(err, errNothingDue) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "upkeep")
	}
	f.spreadCommitted(ctx, p)
	return nil
}

// dueRepairs returns what this host has to change now. Without a recent read of the
// store nothing is due, because the change could not be accepted.
func (f *Fleet) dueRepairs() []repairStep {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	x := f.index.Load()
	if x == nil || f.store.readAt.IsZero() || now.Sub(f.store.readAt) > 2*storeInterval {
		return nil
	}
	d := x.Document()
	var steps []repairStep
	listed := f.lists(f.self)
	if waiting := f.waitingHosts(d, now); f.placesDue(d, waiting, listed, now) {
		steps = append(steps, repairStep{"join " + f.self.HostID, f.placeMutation(waiting)})
	}
	if !listed {
		return steps
	}
	if since, ok := f.state.OldestPending(); ok && now.Sub(since) > resolveAfter {
		steps = append(steps, repairStep{"resolve a pending push", func(*config.Document) bool { return true }})
	}
	if since, ok := f.withdrawals.oldest(); ok && now.Sub(since) > resolveAfter {
		steps = append(steps, repairStep{"accept withdrawals", withdrawMutation(f.withdrawals.list())})
	}
	if gone := f.goneMembers(d, now); len(gone) > 0 {
		steps = append(steps, repairStep{"remove " + strings.Join(gone, " "), removeMutation(gone)})
	}
	return steps
}

// goneMembers returns members that the host list does not name and that are silent.
func (f *Fleet) goneMembers(d *config.Document, now time.Time) []string {
	if f.options.HostList == nil || f.hostListAt.IsZero() || now.Sub(f.hostListAt) > 2*hostListInterval {
		return nil
	}
	var gone []string
	for _, m := range d.Members {
		p := f.peers[m.HostID]
		if p != nil && !p.inHostList && p.silence(now) > removeAfter {
			gone = append(gone, m.HostID)
		}
	}
	return gone
}

func removeMutation(gone []string) func(*config.Document) bool {
	return func(d *config.Document) bool {
		before := len(d.Members)
		d.Members = slices.DeleteFunc(d.Members, func(m config.Member) bool { return slices.Contains(gone, m.HostID) })
		return len(d.Members) < before
	}
}

func withdrawMutation(keys []withdrawnKey) func(*config.Document) bool {
	return func(d *config.Document) bool {
		d.ClientKeys = slices.DeleteFunc(d.ClientKeys, func(c config.ClientKey) bool {
			return slices.ContainsFunc(keys, func(k withdrawnKey) bool { return k.matches(c) })
		})
		return true
	}
}
