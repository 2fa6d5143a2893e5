// Package view watches the tables of the platform's store and publishes them as
// snapshots in the types of the router. A host that can't reach the store receives the
// same rows from other hosts.
package view

import (
	"slices"
	"sync"
	"time"

	store "github.com/sequoiaroad/sequoiaroad/internal/platform"
)

// Table is a copy of one table of the store. The version of a row never decreases.
type Table struct {
	name string

	mu   sync.Mutex
	rows map[string]store.Row
	// cursor is the version from which the store's changes are watched.
	cursor uint64
	// newestVersion is the highest version of a row.
	newestVersion uint64
	// lastContact is when the store last responded; listed is false until the first
	// listing and while a new one is needed.
	lastContact time.Time
	listed      bool
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
		if old, ok := t.rows[r.Key]; ok && old.Version >= r.Version {
			continue
		}
		t.rows[r.Key] = r
		t.newestVersion = max(t.newestVersion, r.Version)
		changed = append(changed, r)
	}
	return changed
}

// applyList applies a complete listing as of a version. Rows that it lacks are marked
// as deleted.
func (t *Table) applyList(rows []store.Row, version uint64, now time.Time) []store.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastContact = now
	if version < t.cursor {
		return nil
	}
	present := make(map[string]bool, len(rows))
	for _, r := range rows {
		present[r.Key] = true
	}
	for key, old := range t.rows {
		if !present[key] && !old.Deleted && old.Version < version {
			rows = append(rows, store.Row{Table: t.name, Key: key, Version: version, Deleted: true})
		}
	}
	t.cursor, t.listed = version, true
	return t.apply(rows)
}

// applyChanges applies changes and returns the rows that were newer, and the newest
// version before them.
func (t *Table) applyChanges(rows []store.Row, version uint64, now time.Time) (changed []store.Row, before uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastContact = now
	t.cursor = max(t.cursor, version)
	before = t.newestVersion
	return t.apply(rows), before
}

// ApplyPeerRows applies all rows above a version that another host has, and returns
// those that were newer. It returns false if this host lacks rows up to that version: a
// table either has all rows up to its newest version or lags behind.
func (t *Table) ApplyPeerRows(rows []store.Row, after uint64) ([]store.Row, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.newestVersion < after {
		return nil, false
	}
	return t.apply(rows), true
}

// NewestVersion returns the highest version of a row, for comparison with other hosts.
func (t *Table) NewestVersion() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newestVersion
}

// RowsAfter returns the rows above a version in version order, including deleted ones.
func (t *Table) RowsAfter(version uint64) []store.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []store.Row
	for _, r := range t.rows {
		if r.Version > version {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b store.Row) int {
		if a.Version < b.Version {
			return -1
		}
		return 1
	})
	return out
}

// LastContact returns when the store last responded.
func (t *Table) LastContact() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastContact
}

// position returns the version from which to watch, and whether the table was listed. A
// host that received newer rows from other hosts continues after these.
func (t *Table) position() (uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listed {
		t.cursor = max(t.cursor, t.newestVersion)
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

// invalidateListing makes the next call list the table again.
func (t *Table) invalidateListing() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = false
}
