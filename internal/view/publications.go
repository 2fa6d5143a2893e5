package view

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

// PublicationsTable records when weights versions were published, by the store's clock.
// A host that starts later learns the staleness of older weights from it.
const PublicationsTable = "sequoiaroad.publications"

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

// Publications returns the row to record for a model; false if the store's clock is not
// known or the row that was read at the start was not applied yet.
func (v *View) Publications(model string) (Publications, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out Publications
	if !v.publicationsRead || !v.clock.Known() {
		return out, false
	}
	for _, p := range v.desired[model].Published {
		out.Versions = append(out.Versions, Publication{p.Version, v.clock.Store(p.Since).Milliseconds()})
	}
	return out, true
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

func (v *View) observeClock(store time.Duration, receivedAt time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.clock.Observe(store, receivedAt)
}

// readPublications reads, once after the start, when the versions were published that
// the operator's table holds.
func (v *View) readPublications(ctx context.Context, t *Table) {
	v.mu.Lock()
	done := v.publicationsRead
	v.mu.Unlock()
	if done || t != v.Operator {
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
	d := v.desired[model]
	d.Model, d.StoreLostAt = model, v.storeLostAt
	for _, publication := range p.Versions {
		since := v.clock.Local(time.Duration(publication.ClockMs) * time.Millisecond)
		d = d.WithPublication(topology.PublishedVersion{Version: publication.Version, Since: since})
		v.log.Info("publication of weights was recorded", "model", model, "weights", publication.Version, "age_ms", time.Since(since).Milliseconds())
	}
	v.desired[model] = d
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
