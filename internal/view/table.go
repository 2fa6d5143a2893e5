// Package view watches the tables of the platform's store and publishes them as
// snapshots in the types of the router. A host that can't reach the store receives the
// same rows from other hosts.
package view

import (
	"cmp"
	"slices"
	"sync"
	"time"

	store "github.com/sequoiaroad/sequoiaroad/internal/platform"
)

// Table is a copy of one table of the store. The position of a row never goes back.
//
// Invariant: all rows are of the table's newest era, but for those of which a host that
// receives rows from others does not know yet whether that era has them.
type Table struct {
	name string

	mu   sync.Mutex
	rows map[string]store.Row
	// cursor is the position from which the store's changes are watched.
	cursor store.Position
	// newest is the latest position of a row.
	newest store.Position
	// lastContact is when the store last responded; listed is false until the first
	// listing and while a new one is needed.
	lastContact time.Time
	listed      bool
	// answeredAt is when the store last responded, without the time for which this host
	// intentionally does not call it.
	answeredAt time.Time
	// unreachable means that the store did not respond to the last call.
	unreachable bool
}

func newTable(name string) *Table {
	return &Table{name: name, rows: map[string]store.Row{}}
}

// apply stores newer rows and returns those that changed.
func (t *Table) apply(rows []store.Row) []store.Row {
	var changed []store.Row
	for _, r := range rows {
		if old, ok := t.rows[r.Key]; ok && !old.Position().Before(r.Position()) {
			continue
		}
		t.rows[r.Key] = r
		t.newest = t.newest.Later(r.Position())
		changed = append(changed, r)
	}
	return changed
}

// missingRows returns the rows of the table that are earlier than a complete listing and
// that it lacks, marked as deleted.
func (t *Table) missingRows(listing []store.Row, at store.Position) []store.Row {
	present := make(map[string]bool, len(listing))
	for _, r := range listing {
		present[r.Key] = true
	}
	var out []store.Row
	for key, old := range t.rows {
		restored := old.Era < at.Era
		if !present[key] && (!old.Deleted || restored) && old.Position().Before(at) {
			out = append(out, store.Row{Table: t.name, Key: key, Version: at.Version, Era: at.Era, Deleted: true})
		}
	}
	return out
}

// applyList applies a complete listing as of a position. Rows that it lacks are marked as
// deleted. It returns false for a listing that is older than what the table holds.
func (t *Table) applyList(rows []store.Row, at store.Position, now time.Time) (u update, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastContact, t.answeredAt = now, now
	if at.Before(t.cursor) {
		return update{}, false
	}
	u.restored = t.newest.Era > 0 && at.Era > t.newest.Era
	t.cursor, t.listed = at, true
	u.rows = t.apply(append(rows, t.missingRows(rows, at)...))
	return u, true
}

// applyChanges applies changes up to a position and returns the rows that were newer, and
// the newest position before them. It returns false if the store was restored since the
// table was listed: the versions after which it was asked are of another era.
func (t *Table) applyChanges(rows []store.Row, at store.Position, now time.Time) (u update, before store.Position, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastContact, t.answeredAt = now, now
	if at.Era != t.cursor.Era {
		return update{}, t.newest, false
	}
	t.cursor = t.cursor.Later(at)
	before = t.newest
	return update{rows: t.apply(rows)}, before, true
}

// update is what a table has received.
type update struct {
	// rows are the rows that were newer.
	rows []store.Row
	// restored means that they are the first of a new era: those that the store has from
	// its copy are older than what was known.
	restored bool
}

// PeerRows are rows of a table that another host has.
type PeerRows struct {
	Rows []store.Row
	// After is the position above which the rows are, in their era. Complete means that
	// they are all rows of the table above it.
	After    store.Position
	Complete bool
}

// applyPeerRows applies the rows of another host and returns those that were newer. It
// returns false if this host lacks rows up to the position above which they are: a table
// either has all rows up to its newest position or lags behind.
func (t *Table) applyPeerRows(p PeerRows) (u update, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.After.Version > 0 && t.newest.Before(p.After) {
		return update{}, false
	}
	before := t.newest
	changed := t.apply(p.Rows)
	if p.Complete && p.After.Era == t.newest.Era {
		changed = append(changed, t.apply(t.outdatedRows())...)
	}
	restored := before.Era > 0 && t.newest.Era > before.Era
	switch {
	case !restored:
	case p.Complete:
		t.cursor = t.newest
	default:
		t.listed = false
	}
	return update{changed, restored}, true
}

// outdatedRows returns the rows of earlier eras, marked as deleted in the newest one.
func (t *Table) outdatedRows() []store.Row {
	var out []store.Row
	for key, old := range t.rows {
		if old.Era < t.newest.Era {
			out = append(out, store.Row{Table: t.name, Key: key, Version: t.newest.Version, Era: t.newest.Era, Deleted: true})
		}
	}
	return out
}

// Newest returns the latest position of a row, for comparison with other hosts.
func (t *Table) Newest() store.Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newest
}

// RowsAfter returns the rows above a position. If the store was restored since, these are
// all rows of the newest era.
func (t *Table) RowsAfter(after store.Position) PeerRows {
	t.mu.Lock()
	defer t.mu.Unlock()
	if after.Era < t.newest.Era {
		after = store.Position{Era: t.newest.Era}
	}
	out := PeerRows{After: after, Complete: true}
	for _, r := range t.rows {
		out.Complete = out.Complete && r.Era == t.newest.Era
		if after.Before(r.Position()) {
			out.Rows = append(out.Rows, r)
		}
	}
	slices.SortFunc(out.Rows, func(a, b store.Row) int { return cmp.Compare(a.Version, b.Version) })
	return out
}

// LastContact returns when the store last responded.
func (t *Table) LastContact() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastContact
}

// position returns the position from which to watch, and whether the table was listed. A
// host that received newer rows from other hosts continues after these.
func (t *Table) position() (store.Position, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listed && t.newest.Era == t.cursor.Era {
		t.cursor = t.cursor.Later(t.newest)
	}
	return t.cursor, t.listed
}

// recordIdle records that this host intentionally does not call the store, so that the
// idle time does not count as an outage.
func (t *Table) recordIdle(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastContact = now
}

// setUnreachable records whether the store failed to respond, and returns the previous
// value.
func (t *Table) setUnreachable(unreachable bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.unreachable
	t.unreachable = unreachable
	return before
}

func (t *Table) isUnreachable() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unreachable
}

// isReached reports whether the store responded to the last call and did so recently.
func (t *Table) isReached(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.unreachable && now.Sub(t.answeredAt) < outageConfirmation
}

// invalidateListing makes the next call list the table again.
func (t *Table) invalidateListing() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = false
}
