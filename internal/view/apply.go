package view

import (
	"encoding/json"
	"time"

	store "github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

// MergeRows merges all rows above a version from another host. recoveredAt is when the
// store responded to that host again after an outage. It returns how many rows were
// newer, and false if this host lacks rows up to the version.
func (v *View) MergeRows(t *Table, rows []store.Row, after uint64, recoveredAt time.Time) (newer int, complete bool) {
	v.mu.Lock()
	if recoveredAt.After(v.storeRecoveredAt) {
		v.storeRecoveredAt = recoveredAt
	}
	v.mu.Unlock()
	changed, complete := t.ApplyPeerRows(rows, after)
	if len(changed) > 0 {
		v.applyRows(t, changed)
	}
	return len(changed), complete
}

// applyRows decodes changed rows and publishes a new snapshot.
func (v *View) applyRows(t *Table, rows []store.Row) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range rows {
		switch t {
		case v.Operator:
			v.applyOperatorRow(r)
		case v.Targets:
			v.applyTargetRow(r)
		case v.Hosts:
			v.applyHostRow(r)
		}
	}
	v.publish()
}

func (v *View) applyOperatorRow(r store.Row) {
	if r.Deleted {
		return
	}
	config, desired, err := v.decoder.DecodeOperatorRow(r.Key, r.Value)
	switch {
	case err != nil:
		v.log.Warn("operator's row is ignored", "key", r.Key, "row_version", r.Version, "error", err)
	case config != nil && (v.config == nil || config.Version > v.config.Version):
		v.config = config
		v.log.Info("configuration in force", "version", config.Version, "row_version", r.Version,
			"routes", len(config.Routes), "accounts", len(config.Accounts))
	case desired != nil && desired.Version > v.desired[desired.Model].Version:
		before := v.desired[desired.Model]
		before.Model, before.StoreLostAt = desired.Model, v.storeLostAt
		v.desired[desired.Model] = before.WithVersion(desired.Version, time.Now())
		v.log.Info("desired weights changed", "model", desired.Model, "weights", desired.Version)
	}
}

func (v *View) applyTargetRow(r store.Row) {
	if r.Deleted {
		if until := v.storeRecoveredAt.Add(expiredEntryGrace); time.Now().Before(until) && v.targets[r.Key] != nil {
			v.removeAt[r.Key] = until
			time.AfterFunc(time.Until(until), v.removeExpired)
			return
		}
		v.removeTarget(r.Key, "entry removed")
		return
	}
	t, err := v.decoder.DecodeTarget(r.Key, r.Value)
	if err != nil {
		v.log.Warn("target's entry is ignored", "target", r.Key, "row_version", r.Version, "error", err)
		return
	}
	t.Revision = r.Version
	old := v.targets[r.Key]
	if v.departures.Apply(t) {
		v.log.Warn("entry of a leaving target says that it is ready", "target", t.ID, "row_version", r.Version)
	}
	if old == nil || !old.SameIncarnation(t) || old.Leaving != t.Leaving {
		v.log.Info("target changed", "target", t.ID, "address", t.Address, "leaving", t.Leaving,
			"started", t.Started, "row_version", r.Version)
	}
	delete(v.removeAt, r.Key)
	v.targets[r.Key] = t
}

func (v *View) removeTarget(id, reason string) {
	if v.targets[id] != nil {
		v.log.Info("target gone", "target", id, "reason", reason)
	}
	delete(v.targets, id)
	delete(v.removeAt, id)
	v.departures.Remove(id, time.Now())
}

// removeExpired removes targets whose entries were not written again after an outage of
// the store.
func (v *View) removeExpired() {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	for id, until := range v.removeAt {
		if !now.Before(until) {
			v.removeTarget(id, "entry was not written again after an outage of the store")
		}
	}
	v.publish()
}

func (v *View) applyHostRow(r store.Row) {
	if r.Deleted {
		delete(v.hosts, r.Key)
		return
	}
	var h Host
	if err := json.Unmarshal(r.Value, &h); err != nil || h.ID != r.Key {
		v.log.Warn("host's entry is ignored", "host", r.Key, "error", err)
		return
	}
	h.Revision = r.Version
	v.hosts[r.Key] = h
}

func (v *View) publish() {
	s := &Snapshot{
		Config: v.config, Targets: make(map[string]*topology.Target, len(v.targets)),
		ByService: map[string][]*topology.Target{}, DesiredWeights: make(map[string]topology.DesiredWeights, len(v.desired)),
		Hosts: make(map[string]Host, len(v.hosts)),
	}
	for id, t := range v.targets {
		s.Targets[id] = t
		s.ByService[t.Service] = append(s.ByService[t.Service], t)
	}
	for model, w := range v.desired {
		s.DesiredWeights[model] = w
	}
	for id, h := range v.hosts {
		s.Hosts[id] = h
	}
	v.snapshot.Store(s)
	for _, f := range v.listeners {
		f(s)
	}
}
