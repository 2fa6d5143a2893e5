package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

// inForceInterval is the time between looks at the hosts' confirmations.
const inForceInterval = 20 * time.Millisecond

// confirmInterval is the time between questions to hosts of a large fleet that have not
// confirmed a revision; probes reach only a few of them.
const confirmInterval = probeInterval

// awaitInForce tells all hosts about an accepted revision and waits until each has
// confirmed it or is stale.
func (f *Fleet) awaitInForce(ctx context.Context, p *proposal) PropagationStatus {
	f.spreadCommitted(ctx, p)
	spreadAt := f.now()
	ticker := time.NewTicker(inForceInterval)
	defer ticker.Stop()
	for {
		report := f.inForce(p)
		if len(report.Pending) == 0 {
			return report
		}
		if p.forced && f.now().After(f.expiry(p)) {
			return report
		}
		if f.bounded() && f.now().Sub(spreadAt) > confirmInterval {
			spreadAt = f.now()
			f.spread(ctx, f.addressesOf(report.Pending), &committed{Attempt: p.attempt}, f.observeAnswer)
		}
		select {
		case <-ctx.Done():
			return report
		case <-ticker.C:
		}
	}
}

func (f *Fleet) spreadCommitted(ctx context.Context, p *proposal) {
	f.spread(ctx, f.peerAddresses(), &committed{Attempt: p.attempt}, f.observeAnswer)
}

func (f *Fleet) observeAnswer(_ string, reply *probeReply, sentAt time.Time) {
	f.observe(reply, sentAt)
}

// addressesOf returns the addresses of the peers among the hosts.
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

// expiry is the time from which no host without the revision is fresh.
func (f *Fleet) expiry(p *proposal) time.Time {
	return p.acceptedAt.Add(f.options.FreshnessDeadline + driftMargin)
}

// limitsInForce classifies the known hosts and the members of both revisions. After a
// forced change a host without it may stay fresh on the evidence of other hosts
// without it, so that it does not expire.
func (f *Fleet) inForce(p *proposal) PropagationStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	report := PropagationStatus{Revision: p.next.Revision}
	expired := !p.forced && f.now().After(f.expiry(p))
	for _, id := range f.concerned(p) {
		switch {
		case f.confirms(id, p.next.Revision):
			report.Confirmed = append(report.Confirmed, id)
		case expired:
			report.Expired = append(report.Expired, id)
		default:
			report.Pending = append(report.Pending, id)
		}
	}
	return report
}

func (f *Fleet) concerned(p *proposal) []string {
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

func (f *Fleet) confirms(hostID string, revision uint64) bool {
	if hostID == f.self.HostID {
		return f.state.Applied() >= revision
	}
	p := f.peers[hostID]
	return p != nil && p.reply.Report.Applied >= revision
}
