package topology

import "time"

// departure is what is remembered of an incarnation that leaves or whose entry was removed.
type departure struct {
	target *Target
	// leaving means that an entry of the incarnation said that it leaves.
	leaving bool
	// removedAt is when the entry was removed; zero while there is one.
	removedAt time.Time
}

// Departures remembers which incarnations of targets have said in their entries that they
// leave, and whose entries were removed. It does no I/O.
//
// Invariant: an incarnation that has said that it leaves never counts as ready again. An
// entry that says otherwise is a write that was carried out late, or older than what was
// known.
type Departures struct {
	byID map[string]departure
}

// NewDepartures returns departures that remember no target.
func NewDepartures() *Departures { return &Departures{byID: map[string]departure{}} }

// known returns what is remembered of the incarnation of a target.
func (d *Departures) known(t *Target) departure {
	if known, ok := d.byID[t.ID]; ok && known.target.SameIncarnation(t) {
		return known
	}
	return departure{}
}

// Apply records whether a newly read entry says that its target leaves, and makes it say
// so if an earlier entry of the same incarnation did. It reports whether it changed the
// entry.
func (d *Departures) Apply(t *Target) (changed bool) {
	known := d.known(t)
	changed = known.leaving && !t.Leaving
	t.Leaving = t.Leaving || changed
	switch {
	case t.Leaving:
		d.byID[t.ID] = departure{target: t, leaving: true}
	case known.target != nil:
		delete(d.byID, t.ID)
	}
	return changed
}

// WasRemoved reports whether the entry of an incarnation was removed and has not been
// written since.
func (d *Departures) WasRemoved(t *Target) bool { return !d.known(t).removedAt.IsZero() }

// Remove records that the entry of a target was removed, and forgets targets whose entries
// were removed long ago.
func (d *Departures) Remove(t *Target, now time.Time) {
	d.byID[t.ID] = departure{target: t, leaving: t.Leaving, removedAt: now}
	for id, known := range d.byID {
		if !known.removedAt.IsZero() && now.Sub(known.removedAt) > absentTTL {
			delete(d.byID, id)
		}
	}
}
