package view

import (
	"encoding/json"
	"time"

	store "github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

// Merge takes all rows above a version from another host, and when the store answered
// that host again after an outage. It returns how many rows were newer, and false if rows
// up to the version are lacking here.
func (v *View) Merge(t *Table, rows []store.Row, after uint64, regained time.Time) (newer int, complete bool) {
	v.mu.Lock()
	if regained.After(v.regained) {
		v.regained = regained
	}
	v.mu.Unlock()
	changed, complete := t.ApplyPeer(rows, after)
	if len(changed) > 0 {
		v.take(t, changed)
	}
	return len(changed), complete
}

// take decodes changed rows and publishes a new snapshot.
func (v *View) take(t *Table, rows []store.Row) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range rows {
		switch t {
		case v.Operator:
			v.takeOperator(r)
		case v.Targets:
			v.takeTarget(r)
		case v.Hosts:
			v.takeHost(r)
		}
	}
	v.publish()
}

func (v *View) takeOperator(r store.Row) {
	if r.Deleted {
		return
	}
	config, wanted, err := v.decoder.DecodeOperatorRow(r.Key, r.Value)
	switch {
	case err != nil:
		v.log.Warn("operator's row is ignored", "key", r.Key, "row_version", r.Version, "error", err)
	case config != nil && (v.config == nil || config.Version > v.config.Version):
		v.config = config
		v.log.Info("configuration in force", "version", config.Version, "row_version", r.Version,
			"routes", len(config.Routes), "accounts", len(config.Accounts))
	case wanted != nil && wanted.Version > v.wanted[wanted.Model].Version:
		before := v.wanted[wanted.Model]
		before.Model = wanted.Model
		v.wanted[wanted.Model] = before.WithVersion(wanted.Version, time.Now())
		v.log.Info("weights named", "model", wanted.Model, "weights", wanted.Version)
	}
}

func (v *View) takeTarget(r store.Row) {
	if r.Deleted {
		if until := v.regained.Add(returnGrace); time.Now().Before(until) && v.targets[r.Key] != nil {
			v.lapsed[r.Key] = until
			time.AfterFunc(time.Until(until), v.expire)
			return
		}
		v.remove(r.Key, "entry removed")
		return
	}
	t, err := v.decoder.DecodeTarget(r.Key, r.Value)
	if err != nil {
		v.log.Warn("target's entry is ignored", "target", r.Key, "row_version", r.Version, "error", err)
		return
	}
	t.Revision = r.Version
	old := v.targets[r.Key]
	if old == nil || !old.SameIncarnation(t) || old.Leaving != t.Leaving {
		v.log.Info("target changed", "target", t.ID, "address", t.Address, "leaving", t.Leaving,
			"started", t.Started, "row_version", r.Version)
	}
	delete(v.lapsed, r.Key)
	v.targets[r.Key] = t
}

func (v *View) remove(id, reason string) {
	if v.targets[id] != nil {
		v.log.Info("target gone", "target", id, "reason", reason)
	}
	delete(v.targets, id)
	delete(v.lapsed, id)
}

// expire removes targets that did not come back after an outage of the store.
func (v *View) expire() {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	for id, until := range v.lapsed {
		if !now.Before(until) {
			v.remove(id, "entry did not come back after an outage of the store")
		}
	}
	v.publish()
}

func (v *View) takeHost(r store.Row) {
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
		ByService: map[string][]*topology.Target{}, Wanted: make(map[string]topology.DesiredWeights, len(v.wanted)),
		Hosts: make(map[string]Host, len(v.hosts)),
	}
	for id, t := range v.targets {
		s.Targets[id] = t
		s.ByService[t.Service] = append(s.ByService[t.Service], t)
	}
	for model, w := range v.wanted {
		s.Wanted[model] = w
	}
	for id, h := range v.hosts {
		s.Hosts[id] = h
	}
	v.snapshot.Store(s)
	for _, f := range v.listeners {
		f(s)
	}
}
