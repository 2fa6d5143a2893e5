package fleet

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

// Table and keys of the configuration chain in the table service.
const (
	configTable   = "config"
	currentKey    = "current"
	historyPrefix = "history/"
	// routerRole is the role of this system's hosts in the host list.
	routerRole = "router"
)

// runProber probes the hosts whose probes are due until ctx ends. In a small fleet it
// also probes all hosts immediately after a new revision.
func (f *Fleet) runProber(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	defer func() { _ = group.Wait() }()
	for ctx.Err() == nil {
		for _, member := range f.peersToProbe() {
			started := group.TryGo(func() error {
				f.probePeer(ctx, member)
				return nil
			})
			if !started {
				f.endProbe(member)
			}
		}
		if f.usesGossip() {
			f.sleepJittered(ctx, gossipTick, nil)
		} else {
			f.sleepJittered(ctx, probeInterval, f.probeNow)
		}
	}
}

// peersToProbe returns the hosts whose probes are due and marks them as being probed.
// In a small fleet these are all hosts without a running probe.
func (f *Fleet) peersToProbe() []config.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updateOwnRecord()
	if f.usesGossipLocked() {
		return f.gossipPeersToProbe(f.now())
	}
	var members []config.Member
	for _, p := range f.peers {
		if p.probing || p.member.InnerAddress == "" {
			continue
		}
		p.probing = true
		members = append(members, p.member)
	}
	return members
}

func (f *Fleet) endProbe(member config.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.peers[member.HostID]; p != nil {
		p.probing = false
	}
}

// probePeer probes a host and records the outcome. It fetches the host's document if its
// revision is higher than the applied one.
func (f *Fleet) probePeer(ctx context.Context, member config.Member) {
	defer f.endProbe(member)
	message, sentUpTo, timeout := f.newProbe(member)
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	reply := &probeReply{}
	sentAt := f.now()
	err := f.options.Caller.Call(callCtx, member.InnerAddress, message, reply)
	cancel()
	if err != nil {
		f.log.Debug("probe failed", "host", member.HostID, "error", err)
		f.recordProbeFailure(member)
		return
	}
	reply.restoreOmitted(member)
	f.observeReply(reply, sentAt)
	f.handleGossipReply(reply, sentUpTo)
	if reply.Report.Applied > f.appliedRevision() {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		f.fetchFrom(ctx, member.InnerAddress)
	}
}

func (f *Fleet) appliedRevision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Applied()
}

// fetchFrom fetches a peer's document and applies it if it is newer.
func (f *Fleet) fetchFrom(ctx context.Context, address string) {
	reply := &fetchReply{}
	if err := f.options.Caller.Call(ctx, address, &fetchRequest{Above: f.appliedRevision()}, reply); err != nil {
		f.log.Debug("fetch failed", "address", address, "error", err)
		return
	}
	if len(reply.Document) == 0 {
		return
	}
	d, err := config.Decode(reply.Document)
	if err != nil {
		f.log.Error("received an invalid document from a peer", "address", address, "error", err)
		return
	}
	f.apply(d, "peer")
}

// runStorePoller reads the current row whenever a read is due, until ctx ends.
func (f *Fleet) runStorePoller(ctx context.Context) {
	for ctx.Err() == nil {
		if f.reliesOnPeers() {
			f.sleepJittered(ctx, storeCheckInterval, nil)
			continue
		}
		if err := f.pollStore(ctx); err != nil && ctx.Err() == nil {
			f.log.Debug("store poll failed", "error", err)
		}
		f.sleepJittered(ctx, storeInterval, nil)
	}
}

// reliesOnPeers reports whether this host need not read the store now. In a large fleet,
// a non-member uses evidence relayed by its peers. It reads the store only every
// nonMemberStoreInterval, when its evidence is too old, or when it has to change the
// member list.
func (f *Fleet) reliesOnPeers() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	idx := f.index.Load()
	if idx == nil || !f.usesGossipLocked() || f.isListed(f.self) {
		return false
	}
	if now.Sub(f.state.EvidenceAt()) > maxRelayedEvidenceAge || now.Sub(f.poll.polledAt) > nonMemberStoreInterval {
		return false
	}
	d := idx.Document()
	return !f.memberChangeDue(d, f.memberCandidates(d, now), false, now)
}

// pollStore scans for a newer version of the current row than the last one read, so that
// an unchanged document is not transferred again. An empty result proves that the last
// revision read is still the newest.
func (f *Fleet) pollStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	f.mu.Lock()
	last := f.poll
	sentAt := f.now()
	f.poll.polledAt = sentAt
	f.mu.Unlock()
	if last.version == 0 {
		_, _, err := f.readCurrent(ctx)
		return err
	}
	rows, err := f.options.Store.Scan(ctx, configTable, currentKey, last.version, 1)
	if err != nil {
		return errors.Wrap(err, "scan current row")
	}
	for _, row := range rows {
		if row.Key != currentKey {
			continue
		}
		_, err := f.applyRow(row, sentAt)
		return err
	}
	f.recordStoreRead(last.revision, last.version, sentAt)
	return nil
}

// readCurrent reads and applies the current row.
func (f *Fleet) readCurrent(ctx context.Context) (platform.Row, *config.Document, error) {
	sentAt := f.now()
	row, err := f.options.Store.Get(ctx, configTable, currentKey)
	if err != nil {
		return platform.Row{}, nil, errors.Wrap(err, "read current row")
	}
	d, err := f.applyRow(row, sentAt)
	return row, d, err
}

// applyRow applies the document of the current row, which was requested at sentAt.
func (f *Fleet) applyRow(row platform.Row, sentAt time.Time) (*config.Document, error) {
	d, err := config.Decode(row.Value)
	if err != nil {
		return nil, errors.Wrap(err, "current row")
	}
	f.apply(d, "store")
	f.recordStoreRead(d.Revision, row.Version, sentAt)
	return d, nil
}

// recordStoreRead records a read of the current row as freshness evidence.
func (f *Fleet) recordStoreRead(revision, version uint64, sentAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.poll.readAt = sentAt
	if version >= f.poll.version {
		f.poll.version, f.poll.revision = version, revision
	}
	f.state.ObserveStoreRead(revision, sentAt)
	f.publishFreshUntilLocked()
	signal(f.storePolled)
}

// runHostListPoller reads the platform's host list until ctx ends.
func (f *Fleet) runHostListPoller(ctx context.Context) {
	if f.options.HostList == nil {
		<-ctx.Done()
		return
	}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		hosts, err := f.options.HostList.Hosts(callCtx)
		cancel()
		if err == nil {
			f.applyHostList(hosts)
		} else {
			f.log.Debug("failed to read the host list", "error", err)
		}
		f.sleepJittered(ctx, hostListInterval, nil)
	}
}
