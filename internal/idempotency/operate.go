package idempotency

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/platform"
	policy "github.com/sequoiaroad/sequoiaroad/policy/idempotency"
)

const (
	// scanPage is the number of rows read at once.
	scanPage = 500
	// maxUnresolved bounds a listing.
	maxUnresolved = 1000
	// maxResolveRounds bounds the tries of Resolve after lost answers and conflicts.
	maxResolveRounds = 4
)

// Errors of Resolve that operators see.
var (
	ErrNoRecord      = errors.New("no such record")
	ErrNotResolvable = policy.ErrNotResolvable
)

// Unresolved implements Registry. It lists at most 1,000 records, oldest first.
func (s *Service) Unresolved(ctx context.Context) ([]Record, error) {
	records := []Record{}
	after := uint64(0)
	for {
		rows, err := s.options.Store.Scan(ctx, Table, "", after, scanPage)
		if err != nil || len(rows) == 0 {
			return records, err
		}
		for _, stored := range rows {
			after = stored.Version
			var row policy.Row
			if err := json.Unmarshal(stored.Value, &row); err != nil {
				return nil, errors.WithMessagef(err, "decode row %s/%s", Table, stored.Key)
			}
			if policy.Unresolved(&row, s.holderLive) {
				records = append(records, recordOf(stored.Key, &row))
			}
		}
		if len(records) >= maxUnresolved {
			return records[:maxUnresolved], nil
		}
	}
}

// recordOf shows a claim whose holder is gone as unknown.
func recordOf(id string, row *policy.Row) Record {
	return Record{
		ID: id, AccountID: row.AccountID, Service: row.Service, IdempotencyKey: row.IdempotencyKey,
		State: string(policy.Unknown), HostID: row.Holder.HostID, Incarnation: row.Holder.Incarnation,
		ClaimedAt: row.ClaimedAt, ResolvedBy: row.ResolvedBy, Note: row.Note,
	}
}

// Resolve implements Registry.
func (s *Service) Resolve(ctx context.Context, id, operator, note string, answer *Answer) error {
	lost := false
	for range maxResolveRounds {
		row, version, err := s.load(ctx, id)
		if err != nil {
			return err
		}
		if row == nil {
			return errors.WithMessagef(ErrNoRecord, "resolve %s", id)
		}
		if lost && row.State == policy.Resolved && row.ResolvedBy == operator && row.Note == note {
			return nil
		}
		resolved, err := policy.Resolve(*row, operator, note, s.holderLive)
		if err != nil {
			return err
		}
		if answer != nil {
			if err := s.storeAnswer(ctx, id, &resolved, answer); err != nil {
				return err
			}
		}
		err = s.put(ctx, id, resolved, version)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, platform.ErrUnknownOutcome):
			lost = true
		case !errors.Is(err, platform.ErrConflict):
			return err
		}
	}
	return errors.WithMessagef(platform.ErrUnknownOutcome, "resolve %s", id)
}
