// Package view follows what the platform's store holds and publishes it in the terms
// of the router. A host that the store does not answer learns the same rows from
// other hosts.
package view

import (
	"slices"
	"sync"
	"time"

	store "github.com/sequoiaroad/sequoiaroad/internal/platform"
)

// Table is a copy of one table. The version of a row never goes back.
type Table struct {
	name string

	mu   sync.Mutex
	rows map[string]store.Row
	// cursor is the version from which the store's changes are followed.
	cursor uint64
	// newest is the highest version of a row.
	newest uint64
	// contact is when the store last answered; listed says that it ever did.
	contact time.Time
	listed  bool
	// lost says that the store did not answer the last call.
	lost bool
}

func newTable(name string) *Table {
	return &Table{name: name, rows: map[string]store.Row{}}
}

// apply takes newer rows and returns those that changed.
func (t *Table) apply(rows []store.Row) []store.Row {
	var changed []store.Row
	for _, r := range rows {
		if old, ok := t.rows[r.Key]; ok && old.Version >= r.Version {
			continue
		}
		t.rows[r.Key] = r
		t.newest = max(t.newest, r.Version)
		changed = append(changed, r)
	}
	return changed
}

// applyList takes a whole listing as of a version. Rows that it lacks are gone.
func (t *Table) applyList(rows []store.Row, version uint64, now time.Time) []store.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.contact = now
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

// applyChanges takes changes and returns the rows that were newer, and the newest
// version before them.
func (t *Table) applyChanges(rows []store.Row, version uint64, now time.Time) (changed []store.Row, before uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.contact = now
	t.cursor = max(t.cursor, version)
	before = t.newest
	return t.apply(rows), before
}

// ApplyPeer takes all rows above a version that another host has, and returns those
// that were newer. It returns false if this host lacks rows up to that version: a host
// holds either all rows up to its newest version or is behind.
func (t *Table) ApplyPeer(rows []store.Row, after uint64) ([]store.Row, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.newest < after {
		return nil, false
	}
	return t.apply(rows), true
}

// Newest returns the highest version of a row, for comparison with other hosts.
func (t *Table) Newest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newest
}

// After returns the rows above a version in version order, gone ones included.
func (t *Table) After(version uint64) []store.Row {
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

// Contact returns when the store last answered.
func (t *Table) Contact() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.contact
}

// position returns the version from which to follow. A host that other hosts told of
// changes goes on after these.
func (t *Table) position() (uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listed {
		t.cursor = max(t.cursor, t.newest)
	}
	return t.cursor, t.listed
}

// rest notes that the store is not asked for now, which is no outage.
func (t *Table) rest(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.contact = now
}

// setLost notes whether the store answered, and returns what held before.
func (t *Table) setLost(lost bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.lost
	t.lost = lost
	return before
}

func (t *Table) isLost() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost
}

func (t *Table) relist() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = false
}
