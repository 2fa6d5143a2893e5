package fleet

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

// The place of the configuration chain in the table service.
const (
	tableConfig   = "config"
	rowCurrent    = "current"
	historyPrefix = "history/"
	// hostListRole is the role of this system's hosts in the host list.
	hostListRole = "router"
)

// runProber probes the hosts that are due, at once after a new revision.
func (f *Fleet) runProber(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	defer func() { _ = group.Wait() }()
	for ctx.Err() == nil {
		for _, target := range f.probeTargets() {
			started := group.TryGo(func() error {
				f.probePeer(ctx, target)
				return nil
			})
			if !started {
				f.endProbe(target)
			}
		}
		if f.bounded() {
			f.sleepJittered(ctx, boundedTick, nil)
		} else {
			f.sleepJittered(ctx, probeInterval, f.probeNow)
		}
	}
}

// probeTargets returns the hosts without a running probe and marks them as probed.
func (f *Fleet) probeTargets() []config.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshSelf()
	if f.boundedLocked() {
		return f.boundedTargets(f.now())
	}
	var targets []config.Member
	for _, p := range f.peers {
		if p.probing || p.member.InnerAddress == "" {
			continue
		}
		p.probing = true
		targets = append(targets, p.member)
	}
	return targets
}

func (f *Fleet) endProbe(target config.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.peers[target.HostID]; p != nil {
		p.probing = false
	}
}

func (f *Fleet) probePeer(ctx context.Context, target config.Member) {
	defer f.endProbe(target)
	message, sentUpTo, timeout := f.newProbe(target)
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	reply := &probeReply{}
	sentAt := f.now()
	err := f.options.Caller.Call(callCtx, target.InnerAddress, message, reply)
	cancel()
	if err != nil {
		f.log.Debug("probe failed", "host", target.HostID, "error", err)
		f.noteFailure(target)
		return
	}
	reply.complete(target)
	f.observe(reply, sentAt)
	f.completeGossip(reply, sentUpTo)
	if reply.Report.Applied > f.applied() {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		f.fetchFrom(ctx, target.InnerAddress)
	}
}

func (f *Fleet) applied() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Applied()
}

// fetchFrom applies a peer's document if it is newer.
func (f *Fleet) fetchFrom(ctx context.Context, address string) {
	reply := &fetchReply{}
	if err := f.options.Caller.Call(ctx, address, &fetch{Above: f.applied()}, reply); err != nil {
		f.log.Debug("fetch failed", "address", address, "error", err)
		return
	}
	if len(reply.Document) == 0 {
		return
	}
	d, err := config.Decode(reply.Document)
	if err != nil {
		f.log.Error("a peer's document is invalid", "address", address, "error", err)
		return
	}
	f.apply(d, "peer")
}

// runStorePoller reads the current row when a read is due, until ctx ends.
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

// reliesOnPeers reports whether this host needs no read of the store now. In a large
// fleet a host that is no member lives on relayed evidence and reads the store only
// now and then, when its evidence is old, or when it is to change the member list.
func (f *Fleet) reliesOnPeers() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	x := f.index.Load()
	if x == nil || !f.boundedLocked() || f.lists(f.self) {
		return false
	}
	if now.Sub(f.state.EvidenceAt()) > relayedEvidenceBound || now.Sub(f.store.polledAt) > outsiderStoreInterval {
		return false
	}
	d := x.Document()
	return !f.placesDue(d, f.waitingHosts(d, now), false, now)
}

// pollStore scans for a change of the current row since the last version seen, so
// that an unchanged document is not transferred again. An empty result proves that
// the last revision seen is still the newest.
func (f *Fleet) pollStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	f.mu.Lock()
	seen := f.store
	sentAt := f.now()
	f.store.polledAt = sentAt
	f.mu.Unlock()
	if seen.version == 0 {
		_, _, err := f.readCurrent(ctx)
		return err
	}
	rows, err := f.options.Store.Scan(ctx, tableConfig, rowCurrent, seen.version, 1)
	if err != nil {
		return errors.Wrap(err, "scan current row")
	}
	for _, row := range rows {
		if row.Key != rowCurrent {
			continue
		}
		_, err := f.acceptRow(row, sentAt)
		return err
	}
	f.storeRead(seen.revision, seen.version, sentAt)
	return nil
}

// readCurrent reads and applies the current row.
func (f *Fleet) readCurrent(ctx context.Context) (platform.Row, *config.Document, error) {
	sentAt := f.now()
	row, err := f.options.Store.Get(ctx, tableConfig, rowCurrent)
	if err != nil {
		return platform.Row{}, nil, errors.Wrap(err, "read current row")
	}
	d, err := f.acceptRow(row, sentAt)
	return row, d, err
}

func (f *Fleet) acceptRow(row platform.Row, sentAt time.Time) (*config.Document, error) {
	d, err := config.Decode(row.Value)
	if err != nil {
		return nil, errors.Wrap(err, "current row")
	}
	f.apply(d, "store")
	f.storeRead(d.Revision, row.Version, sentAt)
	return d, nil
}

// storeRead records a read of the current row as evidence.
func (f *Fleet) storeRead(revision, version uint64, sentAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.store.readAt = sentAt
	if version >= f.store.version {
		f.store.version, f.store.revision = version, revision
	}
	f.state.ObserveStoreRead(revision, sentAt)
	f.publishLocked()
	signal(f.polled)
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
			f.noteHostList(hosts)
		} else {
			f.log.Debug("host list failed", "error", err)
		}
		f.sleepJittered(ctx, hostListInterval, nil)
	}
}
