package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

// propagationCheckInterval is the time between checks of the hosts' confirmations.
const propagationCheckInterval = 20 * time.Millisecond

// commitNoticeInterval is the time between commit notices to hosts of a large fleet that
// have not confirmed a revision, since this host probes only a few of them.
const commitNoticeInterval = probeInterval

// awaitPropagation sends a commit notice to all hosts and waits until each has confirmed
// the accepted revision or has expired.
func (f *Fleet) awaitPropagation(ctx context.Context, p *proposal) PropagationStatus {
	f.broadcastCommitNotice(ctx, p)
	sentAt := f.now()
	ticker := time.NewTicker(propagationCheckInterval)
	defer ticker.Stop()
	for {
		status := f.propagationStatus(p)
		if len(status.Pending) == 0 {
			return status
		}
		if p.forced && f.now().After(f.freshnessExpiry(p)) {
			return status
		}
		if f.usesGossip() && f.now().Sub(sentAt) > commitNoticeInterval {
			sentAt = f.now()
			f.broadcast(ctx, f.addressesOf(status.Pending), &commitNotice{Attempt: p.attempt}, f.onCommitNoticeReply)
		}
		select {
		case <-ctx.Done():
			return status
		case <-ticker.C:
		}
	}
}

func (f *Fleet) broadcastCommitNotice(ctx context.Context, p *proposal) {
	f.broadcast(ctx, f.peerAddresses(), &commitNotice{Attempt: p.attempt}, f.onCommitNoticeReply)
}

func (f *Fleet) onCommitNoticeReply(_ string, reply *probeReply, sentAt time.Time) {
	f.observeReply(reply, sentAt)
}

// addressesOf returns the inner addresses of those hosts that are peers.
func (f *Fleet) addressesOf(hostIDs []string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addresses []string
	for _, id := range hostIDs {
		if p := f.peers[id]; p != nil && p.member.InnerAddress != "" {
			addresses = append(addresses, p.member.InnerAddress)
		}
	}
	return addresses
}

// freshnessExpiry returns the time after which no host without the revision is fresh.
func (f *Fleet) freshnessExpiry(p *proposal) time.Time {
	return p.acceptedAt.Add(f.options.FreshnessDeadline + clockDriftMargin)
}

// propagationStatus classifies the known hosts and the members of the replaced and the
// new revision. After a forced change, a host without it may stay fresh on evidence from
// other hosts without it, so that such a host never counts as expired.
func (f *Fleet) propagationStatus(p *proposal) PropagationStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	status := PropagationStatus{Revision: p.next.Revision}
	expired := !p.forced && f.now().After(f.freshnessExpiry(p))
	for _, id := range f.affectedHosts(p) {
		switch {
		case f.hasApplied(id, p.next.Revision):
			status.Confirmed = append(status.Confirmed, id)
		case expired:
			status.Expired = append(status.Expired, id)
		default:
			status.Pending = append(status.Pending, id)
		}
	}
	return status
}

// affectedHosts returns the IDs of the known hosts and of the members of the replaced and
// the new revision, sorted.
func (f *Fleet) affectedHosts(p *proposal) []string {
	ids := []string{f.self.HostID}
	for id := range f.peers {
		ids = append(ids, id)
	}
	for _, members := range [][]config.Member{p.base.Members, p.next.Members} {
		for _, m := range members {
			ids = append(ids, m.HostID)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// hasApplied reports whether the host reported the revision or a later one as applied.
func (f *Fleet) hasApplied(hostID string, revision uint64) bool {
	if hostID == f.self.HostID {
		return f.state.Applied() >= revision
	}
	p := f.peers[hostID]
	return p != nil && p.reply.Report.Applied >= revision
}
