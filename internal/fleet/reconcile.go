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
	reconcileOperator   = "fleet"
	minReconcileBackoff = 50 * time.Millisecond
	// maxReconcileBackoff bounds the random delay that spreads the attempts of hosts that
	// restart together.
	maxReconcileBackoff = 2 * time.Second
	reconcileTimeout    = 10 * time.Second
)

// runReconciler proposes the changes that keep the configuration chain consistent with
// the fleet until ctx ends: hosts that join, removal of departed members, and resolution
// of old pushes and withdrawals. An exponential random backoff avoids repeated conflicts
// with other hosts.
func (f *Fleet) runReconciler(ctx context.Context) {
	backoff := minReconcileBackoff
	for ctx.Err() == nil {
		f.sleepJittered(ctx, reconcileInterval, f.storePolled)
		f.expireSnapshots()
		if len(f.dueReconcileSteps()) == 0 {
			backoff = minReconcileBackoff
			continue
		}
		f.sleepJittered(ctx, f.jitter(backoff)+time.Millisecond, nil)
		if err := f.reconcile(ctx); err != nil && ctx.Err() == nil {
			f.log.Debug("reconciliation failed", "error", err)
			backoff = min(2*backoff, maxReconcileBackoff)
			continue
		}
		backoff = minReconcileBackoff
	}
}

// reconcileStep is one part of a reconciling change. mutate returns false if the
// document needs no change.
type reconcileStep struct {
	summary string
	mutate  func(*config.Document) bool
}

// errNoChangeDue means that another host has already made the change.
var errNoChangeDue = errors.New("no reconciling change is due")

// reconcile commits one change with all steps that are due.
func (f *Fleet) reconcile(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, reconcileTimeout)
	defer cancel()
	steps := f.dueReconcileSteps()
	if len(steps) == 0 {
		return nil
	}
	var summaries []string
	for _, s := range steps {
		summaries = append(summaries, s.summary)
	}
	mutate := func(d *config.Document) error {
		changed := false
		for _, s := range steps {
			changed = s.mutate(d) || changed
		}
		if !changed {
			return errNoChangeDue
		}
		return nil
	}
	p, err := f.commit(ctx, mutate, ProposeOptions{Operator: reconcileOperator, Summary: strings.Join(summaries, ", ")})
	if errors.Is(err, errNoChangeDue) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "reconcile")
	}
	f.broadcastCommitNotice(ctx, p)
	return nil
}

// dueReconcileSteps returns the changes that this host has to make now. Without a recent
// read of the store there are none, because the store could not accept them.
func (f *Fleet) dueReconcileSteps() []reconcileStep {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	idx := f.index.Load()
	if idx == nil || f.poll.readAt.IsZero() || now.Sub(f.poll.readAt) > 2*storeInterval {
		return nil
	}
	d := idx.Document()
	var steps []reconcileStep
	listed := f.isListed(f.self)
	if candidates := f.memberCandidates(d, now); f.memberChangeDue(d, candidates, listed, now) {
		steps = append(steps, reconcileStep{"join " + f.self.HostID, f.memberMutation(candidates)})
	}
	if !listed {
		return steps
	}
	if since, ok := f.state.OldestPending(); ok && now.Sub(since) > resolveAfter {
		steps = append(steps, reconcileStep{"resolve a pending push", func(*config.Document) bool { return true }})
	}
	if since, ok := f.withdrawals.oldestPending(); ok && now.Sub(since) > resolveAfter {
		steps = append(steps, reconcileStep{"accept withdrawals", withdrawMutation(f.withdrawals.pendingKeys())})
	}
	if departed := f.departedMembers(d, now); len(departed) > 0 {
		steps = append(steps, reconcileStep{"remove " + strings.Join(departed, " "), removeMutation(departed)})
	}
	return steps
}

// departedMembers returns the IDs of members that are not in the host list and have not
// replied for removeMemberAfter. Without a recent host list it returns none.
func (f *Fleet) departedMembers(d *config.Document, now time.Time) []string {
	if f.options.HostList == nil || f.hostListReadAt.IsZero() || now.Sub(f.hostListReadAt) > 2*hostListInterval {
		return nil
	}
	var departed []string
	for _, m := range d.Members {
		p := f.peers[m.HostID]
		if p != nil && !p.inHostList && p.timeSinceReply(now) > removeMemberAfter {
			departed = append(departed, m.HostID)
		}
	}
	return departed
}

func removeMutation(departed []string) func(*config.Document) bool {
	return func(d *config.Document) bool {
		before := len(d.Members)
		d.Members = slices.DeleteFunc(d.Members, func(m config.Member) bool { return slices.Contains(departed, m.HostID) })
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
