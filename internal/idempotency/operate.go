package idempotency

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/platform"
	policy "github.com/sequoiaroad/sequoiaroad/policy/idempotency"
)

const (
	// scanPage is the number of rows read at once. A row with the largest inline answer
	// takes 114 KiB in the JSON of a scan, and the platform client takes answers of up
	// to 16 MiB.
	scanPage = 100
	// maxUnresolved bounds a listing.
	maxUnresolved = 1000
	// maxCandidates bounds the rows that a listing remembers.
	maxCandidates = 10_000
	// maxResolveRounds bounds the tries of Resolve after lost answers and conflicts.
	maxResolveRounds = 4
)

// Errors of Resolve that operators see.
var (
	ErrNoRecord      = errors.New("no such record")
	ErrNotResolvable = policy.ErrNotResolvable
)

// listing is the state of an incremental scan for unresolved records.
type listing struct {
	mu sync.Mutex
	// after is the version up to which the table was scanned, and open the claimed and
	// unknown rows up to there. A row that leaves these states is written again, so
	// that the next scan sees it.
	after uint64
	open  map[string]candidate
}

type candidate struct {
	row     policy.Row
	version uint64
}

// Unresolved implements Registry. It lists at most 1,000 records, oldest first. The
// first listing of a process scans the whole table, a later one what was written since.
func (s *PlatformRegistry) Unresolved(ctx context.Context) ([]Record, error) {
	l := &s.listing
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open = map[string]candidate{}
	}
	if err := s.updateListing(ctx, l); err != nil {
		return nil, err
	}
	keys := make([]string, 0, len(l.open))
	for key, c := range l.open {
		if policy.Resolvable(&c.row, s.holderLive) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b string) int { return cmp.Compare(l.open[a].version, l.open[b].version) })
	records := make([]Record, 0, min(len(keys), maxUnresolved))
	for _, key := range keys[:min(len(keys), maxUnresolved)] {
		c := l.open[key]
		records = append(records, recordOf(key, &c.row))
	}
	if len(l.open) >= maxCandidates {
		l.after, l.open = 0, nil // the scan stopped here; the next one starts anew
	}
	return records, nil
}

// updateListing scans the rows written since the last scan. An error keeps what was
// scanned before it.
func (s *PlatformRegistry) updateListing(ctx context.Context, l *listing) error {
	for len(l.open) < maxCandidates {
		rows, err := s.options.Store.Scan(ctx, Table, "", l.after, scanPage)
		if err != nil || len(rows) == 0 {
			return err
		}
		for _, stored := range rows {
			var row policy.Row
			if err := json.Unmarshal(stored.Value, &row); err != nil {
				return errors.WithMessagef(err, "decode row %s/%s", Table, stored.Key)
			}
			if row.State == policy.Claimed || row.State == policy.Unknown {
				l.open[stored.Key] = candidate{row, stored.Version}
			} else {
				delete(l.open, stored.Key)
			}
		}
		l.after = rows[len(rows)-1].Version
	}
	return nil
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
func (s *PlatformRegistry) Resolve(ctx context.Context, id, operator, note string, answer *Response) error {
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
		resolved.EndedAt = s.options.WallClock().UTC()
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
