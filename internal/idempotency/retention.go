package idempotency

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/clock"
	"github.com/sequoiaroad/sequoiaroad/internal/platform"
	policy "github.com/sequoiaroad/sequoiaroad/policy/idempotency"
)

// deleteBatchRows is the number of rows that one transaction deletes.
const deleteBatchRows = 20

// cleaner deletes records that ended longer ago than the retention time. While the
// membership changes several hosts may clean at once, so each deletion is conditional on
// the version that was read: a row that has changed since is kept.
type cleaner struct {
	registry *PlatformRegistry
	// scannedVersion is the version up to which all rows are deleted or are to be kept.
	// Rows are scanned in the order of their last write, and a kept row gets a higher
	// version when its state changes, so rows up to scannedVersion are not scanned again.
	scannedVersion uint64
}

// run calls clean at each CleanupInterval until ctx ends.
func (c *cleaner) run(ctx context.Context) error {
	o := &c.registry.options
	for clock.Sleep(ctx, o.CleanupInterval) {
		if deleted, err := c.clean(ctx); err != nil {
			o.Logger.Debug("failed to delete all expired records", "deleted", deleted, "error", err)
		} else if deleted > 0 {
			o.Logger.Info("expired records deleted", "records", deleted)
		}
	}
	return nil
}

// clean deletes expired records until none is left, a call fails, or MayClean returns
// false. After a failure or a lost response the next call scans the same page again and
// finds the remaining rows.
func (c *cleaner) clean(ctx context.Context) (deleted int, err error) {
	o := &c.registry.options
	for o.MayClean() {
		rows, err := o.Store.Scan(ctx, Table, "", c.scannedVersion, scanPageRows)
		if err != nil || len(rows) == 0 {
			return deleted, err
		}
		expired, scannedVersion, more, err := c.classify(rows)
		if err != nil {
			return deleted, err
		}
		n, err := c.delete(ctx, expired)
		deleted += n
		if err != nil {
			return deleted, err
		}
		c.scannedVersion = scannedVersion
		if !more {
			return deleted, nil
		}
	}
	return deleted, nil
}

type expiredRow struct {
	key, object string
	version     uint64
}

// classify returns the expired rows of a page, the version up to which the page need not
// be scanned again, and whether later pages may hold further expired rows.
func (c *cleaner) classify(rows []platform.Row) (expired []expiredRow, scannedVersion uint64, more bool, err error) {
	o := &c.registry.options
	now := o.WallClock()
	for _, stored := range rows {
		var row policy.Row
		if err := json.Unmarshal(stored.Value, &row); err != nil {
			return nil, 0, false, errors.WithMessagef(err, "decode row %s/%s", Table, stored.Key)
		}
		switch policy.ClassifyRetention(&row, now, o.Retention) {
		case policy.Expired:
			expired = append(expired, expiredRow{stored.Key, row.ResponseObject, stored.Version})
		case policy.TooRecent:
			return expired, stored.Version - 1, false, nil
		}
		scannedVersion = stored.Version
	}
	return expired, scannedVersion, true, nil
}

// delete deletes rows in conditional batches and pauses before each write, so that claims
// keep most of the store's write budget.
func (c *cleaner) delete(ctx context.Context, rows []expiredRow) (deleted int, err error) {
	o := &c.registry.options
	for len(rows) > 0 {
		batch := rows[:min(deleteBatchRows, len(rows))]
		rows = rows[len(batch):]
		conditions := make([]platform.Condition, len(batch))
		writes := make([]platform.Write, len(batch))
		for i, row := range batch {
			if err := c.truncateObject(ctx, row.object); err != nil {
				return deleted, err
			}
			conditions[i] = platform.Condition{Table: Table, Key: row.key, Version: row.version}
			writes[i] = platform.Write{Table: Table, Key: row.key, Delete: true}
		}
		if !clock.Sleep(ctx, o.CleanupPause) || !o.MayClean() {
			return deleted, errors.New("the cleanup was stopped")
		}
		if _, err := o.Store.Commit(ctx, conditions, writes); err != nil {
			return deleted, err
		}
		deleted += len(batch)
	}
	return deleted, nil
}

// truncateObject overwrites the object of a large response with an empty one, since the
// platform's protocol has no call that deletes an object. This happens before the row is
// deleted: a repeated request in between is refused as done, while an object that outlived
// its row would never be found again.
func (c *cleaner) truncateObject(ctx context.Context, name string) error {
	if name == "" {
		return nil
	}
	if !clock.Sleep(ctx, c.registry.options.CleanupPause) {
		return ctx.Err()
	}
	return c.registry.options.Objects.PutObject(ctx, name, nil)
}
