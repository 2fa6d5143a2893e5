package quarantine

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/clock"
	"github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/policy/quarantine"
)

// row is the value of a row of Table.
type row struct {
	Parts []string `json:"parts"`
	// UntilMs is the end of the quarantine by the store's clock.
	UntilMs    int64 `json:"until_ms"`
	DurationMs int64 `json:"duration_ms"`
}

// requestRestore compares the entries of this host with a store that was restored.
func (k *Keeper) requestRestore() {
	k.mu.Lock()
	k.restored = true
	k.mu.Unlock()
	k.requestRead()
}

// Digest identifies the entries of this host; zero if it has none.
func (k *Keeper) Digest() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.registry.Digest()
}

// HandleDigest reads the table if a peer has other entries than this host, at most once
// per digestInterval for the same entries: the table may lack them.
func (k *Keeper) HandleDigest(digest uint64) {
	if digest == 0 || digest == k.Digest() {
		return
	}
	now := time.Now()
	k.mu.Lock()
	repeated := digest == k.lastDigest && now.Sub(k.lastDigestAt) < digestInterval
	if !repeated {
		k.lastDigest, k.lastDigestAt = digest, now
	}
	k.mu.Unlock()
	if !repeated {
		k.requestRead()
	}
}

func (k *Keeper) requestRead() {
	select {
	case k.reads <- struct{}{}:
	default:
	}
}

// awaitFirstRead waits until this host is to read the table.
func (k *Keeper) awaitFirstRead(ctx context.Context) {
	for !k.Fleet.ReadsForItself() {
		select {
		case <-ctx.Done():
			return
		case <-k.reads:
			return
		case <-time.After(firstReadCheckInterval):
		}
	}
}

// readEntries reads the table at the start and after each crash.
func (k *Keeper) readEntries(ctx context.Context) {
	k.awaitFirstRead(ctx)
	for ctx.Err() == nil {
		if err := k.read(ctx); err != nil {
			k.Log.Warn("failed to read the quarantine", "error", err)
			clock.Sleep(ctx, retryInterval)
			continue
		}
		clock.Sleep(ctx, minReadInterval)
		select {
		case <-ctx.Done():
		case <-k.reads:
		}
	}
}

func (k *Keeper) read(ctx context.Context) error {
	page, err := k.Source.List(ctx, Table)
	if err != nil {
		return err
	}
	now := time.Now()
	until := make(map[string]time.Time, len(page.Rows))
	for _, r := range page.Rows {
		var value row
		if err := json.Unmarshal(r.Value, &value); err != nil {
			k.Log.Warn("row of the quarantine is ignored", "key", r.Key, "row_version", r.Version, "error", err)
			continue
		}
		remaining := milliseconds(value.UntilMs) - page.Clock
		if -remaining >= quarantine.Probation {
			k.removeRow(ctx, r)
			continue
		}
		until[r.Key] = now.Add(remaining)
		e := k.addEntry(quarantine.Entry{ID: r.Key, Parts: value.Parts, Until: now.Add(remaining), Duration: milliseconds(value.DurationMs)})
		if len(e.Parts) == 0 { // all have completed here since
			k.removeRow(ctx, r)
		}
	}
	k.writeLost(ctx, until)
	return nil
}

// writeLost writes the entries again that a restored store has lost, or has with an earlier
// end.
func (k *Keeper) writeLost(ctx context.Context, stored map[string]time.Time) {
	k.mu.Lock()
	restored, entries := k.restored, k.registry.Entries(time.Now())
	k.restored = false
	k.mu.Unlock()
	if !restored {
		return
	}
	for _, e := range entries {
		if stored[e.ID].Add(time.Second).Before(e.Until) {
			k.Log.Info("entry of the quarantine is written again: the store was restored", "entry", e.ID)
			k.write(ctx, e)
		}
	}
}

// removeRow removes a row that no host uses any more, unless it has been written again.
func (k *Keeper) removeRow(ctx context.Context, r platform.Row) {
	unchanged := platform.Condition{Table: Table, Key: r.Key, Version: r.Version, Era: r.Era}
	_, err := k.Store.Commit(ctx, []platform.Condition{unchanged}, []platform.Write{{Table: Table, Key: r.Key, Delete: true}})
	if err != nil {
		k.Log.Info("failed to remove a row of the quarantine", "entry", r.Key, "error", err)
	}
}

// write keeps an entry in the store, or removes it if no part is left.
func (k *Keeper) write(ctx context.Context, e quarantine.Entry) {
	for range maxWrites {
		err := k.tryWrite(ctx, e)
		if err == nil || ctx.Err() != nil {
			return
		}
		k.Log.Warn("failed to write to the quarantine", "entry", e.ID, "error", err)
		clock.Sleep(ctx, retryInterval)
	}
}

func (k *Keeper) tryWrite(ctx context.Context, e quarantine.Entry) error {
	return k.commit(ctx, nil, e)
}

// commit writes the row of an entry if the conditions hold.
func (k *Keeper) commit(ctx context.Context, conditions []platform.Condition, e quarantine.Entry) error {
	until, err := k.View.StoreTime(e.Until)
	if err != nil {
		return err
	}
	value, err := json.Marshal(row{Parts: e.Parts, UntilMs: until.Milliseconds(), DurationMs: e.Duration.Milliseconds()})
	if err != nil {
		return errors.Wrap(err, "encode an entry of the quarantine")
	}
	_, err = k.Store.Commit(ctx, conditions, []platform.Write{{Table: Table, Key: e.ID, Value: value, Delete: len(e.Parts) == 0}})
	return err
}
