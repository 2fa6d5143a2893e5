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
	// scanPageRows is the number of rows per scan. A row with the largest inline response
	// takes 114 KiB in the JSON of a scan, and the platform client accepts responses of up
	// to 16 MiB.
	scanPageRows = 100
	// maxUnresolved is the largest number of records in a listing.
	maxUnresolved = 1000
	// maxListingCandidates bounds the rows that the listing keeps in memory.
	maxListingCandidates = 10_000
	// maxResolveRounds bounds the attempts of Resolve after lost responses and conflicts.
	maxResolveRounds = 4
)

// Errors of Resolve. Their texts are returned to operators.
var (
	ErrRecordNotFound = errors.New("no such record")
	ErrNotResolvable  = policy.ErrNotResolvable
)

// listing is the state of an incremental scan for unresolved records.
type listing struct {
	mu sync.Mutex
	// scannedVersion is the version up to which the table was scanned.
	scannedVersion uint64
	// candidates holds the claimed and unknown rows up to scannedVersion, by key. A row
	// that leaves these states gets a higher version, so the next scan returns it.
	candidates map[string]candidate
}

type candidate struct {
	row     policy.Row
	version uint64
}

// Unresolved implements Registry. It lists at most 1,000 records, oldest first. The
// first listing of a process scans the whole table, later ones only the rows that were
// written since.
func (p *PlatformRegistry) Unresolved(ctx context.Context) ([]Record, error) {
	l := &p.listing
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.candidates == nil {
		l.candidates = map[string]candidate{}
	}
	if err := p.updateListing(ctx, l); err != nil {
		return nil, err
	}
	keys := make([]string, 0, len(l.candidates))
	for key, c := range l.candidates {
		if policy.Resolvable(&c.row, p.holderLive) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b string) int { return cmp.Compare(l.candidates[a].version, l.candidates[b].version) })
	records := make([]Record, 0, min(len(keys), maxUnresolved))
	for _, key := range keys[:min(len(keys), maxUnresolved)] {
		c := l.candidates[key]
		records = append(records, unresolvedRecord(key, &c.row))
	}
	if len(l.candidates) >= maxListingCandidates {
		l.scannedVersion, l.candidates = 0, nil // the scan is incomplete; the next one starts over
	}
	return records, nil
}

// updateListing scans the rows written since the last scan. After an error the listing
// keeps the pages that were scanned before.
func (p *PlatformRegistry) updateListing(ctx context.Context, l *listing) error {
	for len(l.candidates) < maxListingCandidates {
		rows, err := p.options.Store.Scan(ctx, Table, "", l.scannedVersion, scanPageRows)
		if err != nil || len(rows) == 0 {
			return err
		}
		for _, stored := range rows {
			var row policy.Row
			if err := json.Unmarshal(stored.Value, &row); err != nil {
				return errors.WithMessagef(err, "decode row %s/%s", Table, stored.Key)
			}
			if row.State == policy.Claimed || row.State == policy.Unknown {
				l.candidates[stored.Key] = candidate{row, stored.Version}
			} else {
				delete(l.candidates, stored.Key)
			}
		}
		l.scannedVersion = rows[len(rows)-1].Version
	}
	return nil
}

// unresolvedRecord returns the record of an unresolved row. A claim of a dead holder is
// reported as unknown.
func unresolvedRecord(id string, row *policy.Row) Record {
	return Record{
		ID: id, AccountID: row.AccountID, Service: row.Service, IdempotencyKey: row.IdempotencyKey,
		State: string(policy.Unknown), HostID: row.Holder.HostID, Incarnation: row.Holder.Incarnation,
		ClaimedAt: row.ClaimedAt, ResolvedBy: row.ResolvedBy, Note: row.Note,
	}
}

// Resolve implements Registry.
func (p *PlatformRegistry) Resolve(ctx context.Context, id, operator, note string, response *Response) error {
	outcomeUnknown := false
	for range maxResolveRounds {
		row, version, err := p.loadRow(ctx, id)
		if err != nil {
			return err
		}
		if row == nil {
			return errors.WithMessagef(ErrRecordNotFound, "resolve %s", id)
		}
		if outcomeUnknown && row.State == policy.Resolved && row.ResolvedBy == operator && row.Note == note {
			return nil
		}
		resolved, err := policy.Resolve(*row, operator, note, p.holderLive)
		if err != nil {
			return err
		}
		resolved.EndedAt = p.options.WallClock().UTC()
		if response != nil {
			if err := p.storeResponse(ctx, id, &resolved, response); err != nil {
				return err
			}
		}
		err = p.commitRow(ctx, id, resolved, version)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, platform.ErrUnknownOutcome):
			outcomeUnknown = true
		case !errors.Is(err, platform.ErrConflict):
			return err
		}
	}
	return errors.WithMessagef(platform.ErrUnknownOutcome, "resolve %s", id)
}
