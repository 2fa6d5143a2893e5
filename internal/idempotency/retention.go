package idempotency

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/clock"
	"github.com/sequoiaroad/sequoiaroad/internal/platform"
	policy "github.com/sequoiaroad/sequoiaroad/policy/idempotency"
)

// deleteBatch is the number of rows that one transaction deletes.
const deleteBatch = 20

// cleaner deletes records that ended longer ago than the retention time. Several hosts
// may clean at once while the members change: each deletion is conditional on the
// version that was judged, so that a row is deleted once and only unchanged.
type cleaner struct {
	service *PlatformRegistry
	// after is the version up to which all rows were deleted or are kept. Rows are
	// scanned in the order of their last write, and a kept row gets a higher version
	// when its state changes, so that no row before it needs another look.
	after uint64
}

// run cleans from time to time until ctx ends.
func (c *cleaner) run(ctx context.Context) error {
	o := &c.service.options
	for clock.Sleep(ctx, o.CleanInterval) {
		if deleted, err := c.clean(ctx); err != nil {
			o.Logger.Debug("expired records were not all deleted", "deleted", deleted, "error", err)
		} else if deleted > 0 {
			o.Logger.Info("expired records deleted", "records", deleted)
		}
	}
	return nil
}

// clean deletes expired records until it finds none, fails, or is no longer the host
// that cleans. After a failure or a lost answer the next run scans the page again and
// finds the rows that are left.
func (c *cleaner) clean(ctx context.Context) (deleted int, err error) {
	o := &c.service.options
	for o.MayClean() {
		rows, err := o.Store.Scan(ctx, Table, "", c.after, scanPage)
		if err != nil || len(rows) == 0 {
			return deleted, err
		}
		expired, after, more, err := c.judge(rows)
		if err != nil {
			return deleted, err
		}
		n, err := c.delete(ctx, expired)
		deleted += n
		if err != nil {
			return deleted, err
		}
		c.after = after
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

// judge returns the expired rows of a page, the version up to which the page is done
// with, and whether later pages may hold further ones.
func (c *cleaner) judge(rows []platform.Row) (expired []expiredRow, after uint64, more bool, err error) {
	o := &c.service.options
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
		after = stored.Version
	}
	return expired, after, true, nil
}

// delete deletes rows in conditional batches, with a pause for each write, so that
// claims keep most of the store's write budget.
func (c *cleaner) delete(ctx context.Context, rows []expiredRow) (deleted int, err error) {
	o := &c.service.options
	for len(rows) > 0 {
		batch := rows[:min(deleteBatch, len(rows))]
		rows = rows[len(batch):]
		conditions := make([]platform.Condition, len(batch))
		writes := make([]platform.Write, len(batch))
		for i, row := range batch {
			if err := c.emptyObject(ctx, row.object); err != nil {
				return deleted, err
			}
			conditions[i] = platform.Condition{Table: Table, Key: row.key, Version: row.version}
			writes[i] = platform.Write{Table: Table, Key: row.key, Delete: true}
		}
		if !clock.Sleep(ctx, o.CleanPause) || !o.MayClean() {
			return deleted, errors.New("the clean-up was stopped")
		}
		if _, err := o.Store.Commit(ctx, conditions, writes); err != nil {
			return deleted, err
		}
		deleted += len(batch)
	}
	return deleted, nil
}

// emptyObject frees the bytes of a large answer. The platform's protocol has no call
// that deletes an object. The row goes after it: a repeat in between is refused as
// done, while an object that outlived its row would never be found again.
func (c *cleaner) emptyObject(ctx context.Context, name string) error {
	if name == "" {
		return nil
	}
	if !clock.Sleep(ctx, c.service.options.CleanPause) {
		return ctx.Err()
	}
	return c.service.options.Objects.PutObject(ctx, name, nil)
}
