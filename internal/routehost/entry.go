package routehost

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/clock"
	store "github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/internal/view"
)

const (
	// entryCheckInterval is the interval between checks of the hosts' entries.
	entryCheckInterval = 5 * time.Second
	entryRetryDelay    = 500 * time.Millisecond
	// staleEntryAge is the age from which a process removes the entries of hosts that do not
	// respond.
	staleEntryAge = time.Minute
	// eraTimeout is how long a host waits for the store's era before it writes its entry, so
	// that it can tell whether the store was restored since; a store may have no eras.
	eraTimeout       = 300 * time.Millisecond
	eraCheckInterval = 10 * time.Millisecond
)

// maintainEntry keeps this host's entry in the store if it is one of those that are to have
// one, writes it again after the store was restored, removes it at a planned stop, and, on a
// hub, removes the entries of hosts that do not respond.
func (h *Host) maintainEntry(ctx context.Context) error {
	value, err := json.Marshal(h.self.Host)
	if err != nil {
		return errors.Wrap(err, "encode the host's entry")
	}
	started := time.Now()
	written := false
	for h.view.Era() == 0 && time.Since(started) < eraTimeout && ctx.Err() == nil {
		clock.Sleep(ctx, eraCheckInterval)
	}
	era := h.view.Era()
	for ctx.Err() == nil {
		pause := entryCheckInterval
		if current := h.view.Era(); current != era {
			era, written = current, false // a restored store may have lost the entry
		}
		if !written && !h.peers.IsEntryHost() {
			h.sleepUntilStop(ctx, entryRetryDelay)
			if h.draining.Load() {
				<-ctx.Done() // there is no entry to remove
			}
			continue
		}
		if !written || h.view.Snapshot().Hosts[h.self.ID].Incarnation != h.self.Incarnation && time.Since(started) > staleEntryAge {
			written = h.commitEntry(ctx, nil, store.Write{Table: view.HostsTable, Key: h.self.ID, Value: value})
		}
		if !written {
			pause = entryRetryDelay
		}
		if time.Since(started) > staleEntryAge {
			h.removeStaleEntries(ctx)
		}
		select {
		case <-h.stopping:
			h.commitEntry(ctx, nil, store.Write{Table: view.HostsTable, Key: h.self.ID, Delete: true})
			<-ctx.Done()
			return nil
		default:
			h.sleepUntilStop(ctx, pause)
		}
	}
	return nil
}

func (h *Host) sleepUntilStop(ctx context.Context, pause time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-h.stopping:
			cancel()
		case <-ctx.Done():
		}
	}()
	clock.Sleep(ctx, pause)
}

// removeStaleEntries removes the entries of hosts that do not respond. The condition on the
// revision protects the entry of a host that has just restarted.
func (h *Host) removeStaleEntries(ctx context.Context) {
	for id, host := range h.view.Snapshot().Hosts {
		if id == h.self.ID || host.Position.Version == 0 || h.peers.Responds(id) {
			continue
		}
		condition := store.Condition{Table: view.HostsTable, Key: id, Version: host.Position.Version, Era: host.Position.Era}
		if h.commitEntry(ctx, []store.Condition{condition}, store.Write{Table: view.HostsTable, Key: id, Delete: true}) {
			h.log.Info("removed the stale entry of a host", "host", id)
		}
	}
}

func (h *Host) commitEntry(ctx context.Context, conditions []store.Condition, w store.Write) bool {
	_, err := h.options.Platform.Store.Commit(ctx, conditions, []store.Write{w})
	if err != nil && ctx.Err() == nil {
		h.log.Warn("failed to write a host's entry", "host", w.Key, "error", err)
	}
	return err == nil
}
