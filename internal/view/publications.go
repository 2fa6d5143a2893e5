package view

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/clock"
	store "github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

// PublicationsTable records when weights versions were published, by the store's clock.
// A host that starts later learns the staleness of older weights from it.
const PublicationsTable = "sequoiaroad.publications"

// recordToleranceMs is how much later than this host another one may have received a
// version without a correction of the record.
const recordToleranceMs = 100

// minSuspension is the shortest suspension of the machine that matters for staleness.
const minSuspension = 100 * time.Millisecond

// Publications is a row of PublicationsTable. Its key is the model.
type Publications struct {
	Versions []Publication `json:"versions"`
}

// Publication is the time of the store's clock, in milliseconds, at which a weights
// version was first received.
type Publication struct {
	Version int64 `json:"version"`
	ClockMs int64 `json:"clock_ms"`
}

// MergePublications applies the recorded publications of a model and returns the row
// with those that this host has received earlier; false if the row lacks none.
func (v *View) MergePublications(model string, row Publications) (merged Publications, changed bool, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.clock.Known() {
		return row, false, errClockUnknown
	}
	recorded := map[int64]int64{}
	for _, p := range row.Versions {
		recorded[p.Version] = p.ClockMs
	}
	v.applyPublications(model, row)
	v.publish()
	for _, p := range v.desired[model].Published {
		clockMs := v.clock.Store(p.Since).Milliseconds()
		if old, ok := recorded[p.Version]; ok && old <= clockMs+recordToleranceMs {
			clockMs = old
		} else {
			changed = true
		}
		merged.Versions = append(merged.Versions, Publication{p.Version, clockMs})
	}
	return merged, changed, nil
}

// errClockUnknown means that the store has not answered since the start.
var errClockUnknown = errors.New("the store's clock is not known")

// StoreTime returns the time of the store's clock at a local time.
func (v *View) StoreTime(at time.Time) (time.Duration, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.clock.Known() {
		return 0, errClockUnknown
	}
	return v.clock.Store(at), nil
}

// observeClock relates the store's clock to that of this process. Responses of an earlier
// era don't count, since the clock may have gone back with a restoration.
func (v *View) observeClock(page store.Page, receivedAt time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if page.Era == v.era {
		v.clock.Observe(page.Clock, receivedAt)
	}
}

// PublicationAge tells how long ago a weights version was published.
type PublicationAge struct {
	Model   string `msgpack:"m"`
	Version int64  `msgpack:"v"`
	AgeMs   int64  `msgpack:"a"`
}

// PublicationAges returns the ages of the weights versions that this host has received.
func (v *View) PublicationAges(now time.Time) []PublicationAge {
	var out []PublicationAge
	for model, d := range v.Snapshot().DesiredWeights {
		for _, p := range d.Published {
			out = append(out, PublicationAge{model, p.Version, now.Sub(p.Since).Milliseconds()})
		}
	}
	return out
}

// ApplyPublicationAges applies the ages of weights versions that the hub of this host has told.
func (v *View) ApplyPublicationAges(ages []PublicationAge, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	changed := false
	for _, a := range ages {
		d, known := v.desired[a.Model]
		since := now.Add(-time.Duration(a.AgeMs) * time.Millisecond)
		if !known || a.Version > d.Version || !d.PublishedAfter(a.Version, since.Add(recordToleranceMs*time.Millisecond)) {
			continue
		}
		v.desired[a.Model] = d.WithPublication(topology.PublishedVersion{Version: a.Version, Since: since})
		changed = true
	}
	if changed {
		v.publish()
	}
}

// readPublications reads, once after the start, when the versions were published that
// the operator's table holds.
func (v *View) readPublications(ctx context.Context) {
	v.mu.Lock()
	done := v.publicationsRead || !v.clock.Known() || len(v.desired) == 0
	v.mu.Unlock()
	if done || !v.sharing.ReadsForItself() {
		return
	}
	page, err := v.source.List(ctx, PublicationsTable)
	if err != nil {
		v.log.Warn("failed to read when weights were published", "error", err)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range page.Rows {
		var p Publications
		if err := json.Unmarshal(r.Value, &p); err != nil {
			v.log.Warn("row of publications is ignored", "model", r.Key, "row_version", r.Version, "error", err)
			continue
		}
		v.applyPublications(r.Key, p)
	}
	v.publicationsRead = true
	v.publish()
}

func (v *View) applyPublications(model string, p Publications) {
	d, known := v.desired[model]
	if !known {
		return
	}
	for _, publication := range p.Versions {
		if publication.Version > d.Version {
			continue // the operator's table does not have it
		}
		since := v.clock.Local(time.Duration(publication.ClockMs) * time.Millisecond)
		before := d.OutdatedFor(publication.Version-1, time.Now())
		d = d.WithPublication(topology.PublishedVersion{Version: publication.Version, Since: since})
		if after := d.OutdatedFor(publication.Version-1, time.Now()); after > before+minSuspension {
			v.log.Info("weights were published earlier than this host received them", "model", model, "weights", publication.Version, "age_ms", after.Milliseconds())
		}
	}
	v.desired[model] = d
}

// maxClockReading is how far apart two readings of clocks may be to be compared. The
// process may be frozen in between.
const maxClockReading = 10 * time.Millisecond

// checkSuspension compares the clock of this process with the one that goes on while the
// machine is suspended.
func (v *View) checkSuspension() {
	before := time.Now()
	bootNow := clock.BootTimeNow()
	if now := time.Now(); now.Sub(before) < maxClockReading {
		v.recordSuspension(now, bootNow)
	}
}

// recordSuspension adds the time for which the machine was suspended to the staleness of
// weights: the clock of this process stood still meanwhile.
func (v *View) recordSuspension(now, bootNow time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	suspended := bootNow.Sub(v.bootStarted) - now.Sub(v.started)
	lost := suspended - v.suspended
	if lost < minSuspension {
		return
	}
	v.suspended = suspended
	v.log.Warn("the machine was suspended", "lost_ms", lost.Milliseconds())
	for model, d := range v.desired {
		v.desired[model] = d.Shifted(lost)
	}
	v.publish()
}
