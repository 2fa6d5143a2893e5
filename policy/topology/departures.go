package topology

import "time"

// departureTTL is how long the departure of a target is remembered after its entry was
// removed. An entry that lapsed comes back when its target reaches the store again.
const departureTTL = 5 * time.Minute

// departure is what is remembered of a target that leaves.
type departure struct {
	target *Target
	// removedAt is when the entry was removed; zero while there is one.
	removedAt time.Time
}

// Departures remembers which incarnations of targets have said in their entries that they
// leave. It does no I/O.
//
// Invariant: an incarnation that has said so never counts as ready again. An entry that
// says otherwise is a write that was carried out late, or older than what was known.
type Departures struct {
	byID map[string]departure
}

// NewDepartures returns departures that remember no target.
func NewDepartures() *Departures { return &Departures{byID: map[string]departure{}} }

// Apply records whether a newly read entry says that its target leaves, and makes it say
// so if an earlier entry of the same incarnation did. It reports whether it changed the
// entry.
func (d *Departures) Apply(t *Target) (changed bool) {
	known, ok := d.byID[t.ID]
	changed = ok && known.target.SameIncarnation(t) && !t.Leaving
	t.Leaving = t.Leaving || changed
	if t.Leaving {
		d.byID[t.ID] = departure{target: t}
	}
	return changed
}

// Remove records that the entry of a target was removed, and forgets targets whose entries
// were removed long ago.
func (d *Departures) Remove(id string, now time.Time) {
	if known, ok := d.byID[id]; ok && known.removedAt.IsZero() {
		known.removedAt = now
		d.byID[id] = known
	}
	for other, known := range d.byID {
		if !known.removedAt.IsZero() && now.Sub(known.removedAt) > departureTTL {
			delete(d.byID, other)
		}
	}
}
