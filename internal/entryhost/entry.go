package entryhost

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
	// entryCheck is the pause between looks at the entries of hosts.
	entryCheck = 5 * time.Second
	entryRetry = 500 * time.Millisecond
	// goneAge is the silence after which a host's entry is removed.
	goneAge = time.Minute
)

// keepEntry keeps this host's entry in the store, removes it at a planned stop, and
// removes those of hosts that are gone.
func (h *Host) keepEntry(ctx context.Context) error {
	value, err := json.Marshal(h.self)
	if err != nil {
		return errors.Wrap(err, "encode the host's entry")
	}
	started := time.Now()
	written := false
	for ctx.Err() == nil {
		pause := entryCheck
		if !written || h.view.Snapshot().Hosts[h.self.ID].Incarnation != h.self.Incarnation && time.Since(started) > goneAge {
			written = h.commitEntry(ctx, nil, store.Write{Table: view.HostTable, Key: h.self.ID, Value: value})
		}
		if !written {
			pause = entryRetry
		}
		if time.Since(started) > goneAge {
			h.removeGone(ctx)
		}
		select {
		case <-h.stopping:
			h.commitEntry(ctx, nil, store.Write{Table: view.HostTable, Key: h.self.ID, Delete: true})
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

// removeGone removes the entries of hosts that were not heard for long. The condition
// on the revision spares a host that has just started again.
func (h *Host) removeGone(ctx context.Context) {
	for id, host := range h.view.Snapshot().Hosts {
		if id == h.self.ID || host.Revision == 0 || h.peers.HeardWithin(id, goneAge) {
			continue
		}
		condition := store.Condition{Table: view.HostTable, Key: id, Version: host.Revision}
		if h.commitEntry(ctx, []store.Condition{condition}, store.Write{Table: view.HostTable, Key: id, Delete: true}) {
			h.log.Info("removed the entry of a host that is gone", "host", id)
		}
	}
}

func (h *Host) commitEntry(ctx context.Context, conditions []store.Condition, w store.Write) bool {
	_, err := h.options.Platform.Store.Commit(ctx, conditions, []store.Write{w})
	if err != nil && ctx.Err() == nil {
		h.log.Warn("host's entry was not written", "host", w.Key, "error", err)
	}
	return err == nil
}
