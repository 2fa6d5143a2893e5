package host

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/clock"
	"github.com/sequoiaroad/sequoiaroad/internal/fleet"
	"github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

const (
	// snapshotName identifies the routing state in the snapshot exchange between hosts.
	snapshotName = "routing"
	// snapshotObjectPrefix is followed by the availability zone: hosts of one zone route to
	// mostly the same targets, and a replacement host with a new id finds the object too.
	snapshotObjectPrefix = "snapshots/routing/"
	// peerSnapshotWait is how long a starting host waits for a peer's snapshot before it
	// reads the object store. After a restart of all hosts no peer has one.
	peerSnapshotWait = time.Second
	// snapshotInterval is the mean time between two snapshots of a zone in the object
	// store. A snapshot has up to 1.3 MB, so a host that wrote one in each interval would
	// use 44 KB/s.
	snapshotInterval = 30 * time.Second
	snapshotTimeout  = 5 * time.Second
)

// restoreSnapshot restores routing state from a peer or from the object store. The
// dispatcher checks its cache entries against the engines' epochs.
func (h *Host) restoreSnapshot(data []byte) error {
	if err := h.dispatcher.Restore(data); err != nil {
		return err
	}
	h.snapshotRestored.Store(true)
	return nil
}

// runSnapshots restores the routing state from the object store if no peer has provided
// it, and then writes it there periodically.
func (h *Host) runSnapshots(ctx context.Context) error {
	if clock.Sleep(ctx, peerSnapshotWait) && !h.snapshotRestored.Load() {
		if err := h.readSnapshotObject(ctx); err != nil {
			h.logger.Info("no routing snapshot in the object store", "error", err)
		}
	}
	for clock.Sleep(ctx, jittered(h.snapshotDelay())) {
		if err := h.writeSnapshotObject(ctx); err != nil {
			h.logger.Debug("routing snapshot was not written", "error", err)
		}
	}
	return nil
}

// snapshotDelay returns the mean time between two snapshots of this host. The live hosts
// of a zone write the same object and share the writes.
func (h *Host) snapshotDelay() time.Duration {
	return snapshotInterval * time.Duration(countLiveInZone(h.fleet.Hosts(), h.self))
}

// countLiveInZone counts the live hosts in the zone of self, including self.
func countLiveInZone(hosts []fleet.HostStatus, self config.Member) int {
	count := 1
	for _, other := range hosts {
		if other.Live && other.Member.Zone == self.Zone && other.Member.HostID != self.HostID {
			count++
		}
	}
	return count
}

// jittered returns a random duration with mean d, so that hosts that started together
// don't write at the same time.
func jittered(d time.Duration) time.Duration { return d/2 + rand.N(d) }

func (h *Host) snapshotObjectName() string { return snapshotObjectPrefix + h.self.Zone }

func (h *Host) readSnapshotObject(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	data, err := h.options.Platform.Objects.GetObject(ctx, h.snapshotObjectName())
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return h.restoreSnapshot(data)
}

func (h *Host) writeSnapshotObject(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	data, err := h.dispatcher.Snapshot()
	if err != nil {
		return err
	}
	return h.options.Platform.Objects.PutObject(ctx, h.snapshotObjectName(), data)
}
