package view

import (
	"encoding/json"
	"time"

	store "github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

// MergeRows merges the rows of another host. recoveredAt is when the store responded to
// that host again after an outage. It returns how many rows were newer, and false if this
// host lacks rows before them.
func (v *View) MergeRows(t *Table, rows PeerRows, recoveredAt time.Time) (newer int, complete bool) {
	v.observeEra(rows.After.Era)
	v.mu.Lock()
	if recoveredAt.After(v.storeRecoveredAt) {
		v.storeRecoveredAt = recoveredAt
	}
	v.mu.Unlock()
	u, complete := t.applyPeerRows(rows)
	if len(u.rows) > 0 {
		v.applyRows(t, u)
	}
	return len(u.rows), complete
}

// applyRows decodes changed rows and publishes a new snapshot.
func (v *View) applyRows(t *Table, u update) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range u.rows {
		switch t {
		case v.Operator:
			v.applyOperatorRow(r)
		case v.Targets:
			v.applyTargetRow(r, u.restored)
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
		v.documents[r.Key] = document{r, config.Version}
		v.log.Info("configuration in force", "version", config.Version, "row_version", r.Version,
			"routes", len(config.Routes), "accounts", len(config.Accounts), "keys_required", config.KeysRequired)
	case desired != nil && desired.Version > v.desired[desired.Model].Version:
		before := v.desired[desired.Model]
		before.Model = desired.Model
		if v.outage {
			before.StoreLostAt = v.storeLostAt
		}
		v.desired[desired.Model] = before.WithVersion(desired.Version, time.Now())
		v.documents[r.Key] = document{r, desired.Version}
		v.log.Info("desired weights changed", "model", desired.Model, "weights", desired.Version)
	}
}

// document is a document of the operator that is in force, and its own version.
type document struct {
	row     store.Row
	version int64
}

// DocumentVersions returns the sum of the versions of the operator's documents in force. It
// never decreases, also if the store is restored and lacks them until the operator has
// written them again; a host with a lower sum than another lacks a document.
func (v *View) DocumentVersions() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	var sum int64
	for _, d := range v.documents {
		sum += d.version
	}
	return sum
}

// Documents returns the rows of the operator's documents in force.
func (v *View) Documents() []store.Row {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make([]store.Row, 0, len(v.documents))
	for _, d := range v.documents {
		out = append(out, d.row)
	}
	return out
}

// MergeDocuments applies documents that are in force on another host, and returns how many
// are newer here. The copy of the operator's table stays as the store has it.
func (v *View) MergeDocuments(rows []store.Row) (newer int) {
	before := v.DocumentVersions()
	v.applyRows(v.Operator, update{rows: rows})
	return int(min(v.DocumentVersions()-before, int64(len(rows))))
}

func (v *View) applyTargetRow(r store.Row, restored bool) {
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
	old := v.targets[r.Key]
	if restored && old != nil && old.Started > t.Started {
		v.log.Warn("entry of an earlier incarnation is ignored: the store was restored", "target", t.ID, "started", t.Started, "known", old.Started)
		return
	}
	distrusted := restored && v.departures.WasRemoved(t)
	if v.departures.Apply(t) {
		v.log.Warn("entry of a leaving target says that it is ready", "target", t.ID, "row_version", r.Version)
	}
	if old == nil || !old.SameIncarnation(t) || old.Leaving != t.Leaving {
		v.log.Info("target changed", "target", t.ID, "address", t.Address, "leaving", t.Leaving,
			"started", t.Started, "row_version", r.Version)
	}
	delete(v.removeAt, r.Key)
	delete(v.distrusted, r.Key)
	v.targets[r.Key] = t
	if distrusted && !t.Leaving {
		v.distrust(t)
	}
}

// distrust keeps requests from a target whose entry had been removed and is back from the
// store's copy. If the target has ended, the entry lapses; if not, it is used afterwards.
func (v *View) distrust(t *topology.Target) {
	v.log.Warn("removed entry is back: the store was restored", "target", t.ID)
	unused := *t
	unused.Leaving = true
	v.targets[t.ID], v.distrusted[t.ID] = &unused, t
	time.AfterFunc(restoredEntryProbation, func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		if v.distrusted[t.ID] == t {
			delete(v.distrusted, t.ID)
			v.targets[t.ID] = t
			v.publish()
		}
	})
}

func (v *View) removeTarget(id, reason string) {
	t := v.targets[id]
	if original := v.distrusted[id]; original != nil {
		t = original
	}
	if t != nil {
		v.log.Info("target gone", "target", id, "reason", reason)
		v.departures.Remove(t, time.Now())
	}
	delete(v.targets, id)
	delete(v.removeAt, id)
	delete(v.distrusted, id)
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
	h.Position = r.Position()
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
