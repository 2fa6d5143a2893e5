// Package gossip decides how hosts exchange state in a fleet that is too large for
// every host to probe every other: which hosts to contact, what to send them, and how
// to merge what they send.
//
// Records form a join semilattice: a table replaces a record only by one that
// supersedes it. Tables that have received the same records are therefore equal,
// whatever the order of arrival.
package gossip

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

// Limits of a table and of one message.
const (
	// MaxRecords bounds the records in one message. At the design size a full
	// synchronization fits into one message.
	MaxRecords = 512
	// deadRetention is how long a dead host's record is kept. It covers a network
	// partition of an hour, after which the other side may still consider the host
	// live.
	deadRetention = 2 * time.Hour
	// maxDeadRecords bounds the dead hosts in a table. At the design size 15 hosts fail
	// in a day.
	maxDeadRecords = 1024
)

// Record is the state of one process. Only the process itself increases Version, and
// other hosts may only set Dead. Two records with the same host, incarnation, version
// and Dead are therefore equal.
type Record struct {
	Member   config.Member `msgpack:"m,omitempty"`
	Version  uint64        `msgpack:"v,omitempty"`
	Draining bool          `msgpack:"d,omitempty"`
	// Fresh reports that the host may serve requests that need an API key.
	Fresh bool `msgpack:"f,omitempty"`
	Dead  bool `msgpack:"x,omitempty"`
	// DeadFor is the time since the host was first marked as dead, by the clocks of the
	// hosts that relayed the record.
	DeadFor time.Duration `msgpack:"a,omitempty"`
}

// Supersedes reports whether r replaces old, a record of the same host. Incarnations
// sort in order of creation. A process that was marked as dead increases its version
// when it receives that record, which supersedes the mark.
func (r Record) Supersedes(old Record) bool {
	if c := cmp.Compare(r.Member.Incarnation, old.Member.Incarnation); c != 0 {
		return c > 0
	}
	if r.Version != old.Version {
		return r.Version > old.Version
	}
	return r.Dead && !old.Dead
}

// entry is a record with the sequence number of its last change in this table.
type entry struct {
	record   Record
	sequence uint64
	// source is the host that sent the record, which is not sent back to it.
	source string
	deadAt time.Time
}

// Table holds the newest record of each host, including this one. It is not safe for
// concurrent use.
type Table struct {
	self     string
	entries  map[string]*entry
	sequence uint64
	sum      uint64
}

// NewTable returns a table with the record of this process.
func NewTable(self config.Member) *Table {
	t := &Table{self: self.HostID, entries: map[string]*entry{}}
	t.put(Record{Member: self, Version: 1}, "", time.Time{})
	return t
}

// Sequence returns the number of changes of this table.
func (t *Table) Sequence() uint64 { return t.sequence }

// Sum returns a hash of the live records. Dead records are excluded, since hosts expire
// them at different times.
func (t *Table) Sum() uint64 { return t.sum }

// Len returns the number of records.
func (t *Table) Len() int { return len(t.entries) }

// Get returns the record of a host.
func (t *Table) Get(hostID string) (Record, bool) {
	e := t.entries[hostID]
	if e == nil {
		return Record{}, false
	}
	return e.record, true
}

// Self returns the record of this process.
func (t *Table) Self() Record { return t.entries[t.self].record }

// SetSelf updates this process's own record and increases its version if the state
// differs.
func (t *Table) SetSelf(draining, fresh bool) bool {
	r := t.Self()
	if r.Draining == draining && r.Fresh == fresh {
		return false
	}
	r.Version, r.Draining, r.Fresh = r.Version+1, draining, fresh
	t.put(r, "", time.Time{})
	return true
}

// Merge merges a record from another host and reports whether the table changed. If the
// record would supersede this process's own one, the own version is increased instead.
func (t *Table) Merge(r Record, source string, now time.Time) bool {
	if r.Member.HostID == "" {
		return false
	}
	e := t.entries[r.Member.HostID]
	if r.Member.HostID == t.self {
		return t.refute(r)
	}
	if e == nil && r.Dead && (r.DeadFor >= deadRetention || t.countDead() >= maxDeadRecords) {
		return false
	}
	if e != nil && !r.Supersedes(e.record) {
		return false
	}
	t.put(r, source, now.Add(-r.DeadFor))
	return true
}

// refute increases the version of the own record above that of a received record of the
// same incarnation. Records of other incarnations are not about this process.
func (t *Table) refute(r Record) bool {
	own := t.Self()
	if r.Member.Incarnation != own.Member.Incarnation || !r.Supersedes(own) {
		return false
	}
	own.Version = r.Version + 1
	t.put(own, "", time.Time{})
	return true
}

// MarkDead marks a process that no longer replies as dead. It has no effect on a record
// of another incarnation.
func (t *Table) MarkDead(hostID, incarnation string, now time.Time) bool {
	e := t.entries[hostID]
	if e == nil || hostID == t.self || e.record.Dead || e.record.Member.Incarnation != incarnation {
		return false
	}
	r := e.record
	r.Dead, r.DeadFor = true, 0
	t.put(r, "", now)
	return true
}

// ExpireDead removes the records of hosts that have been dead for deadRetention.
func (t *Table) ExpireDead(now time.Time) {
	for id, e := range t.entries {
		if e.record.Dead && now.Sub(e.deadAt) >= deadRetention {
			delete(t.entries, id)
		}
	}
}

// Live returns the sorted IDs of the hosts that are not dead.
func (t *Table) Live() []string {
	ids := make([]string, 0, len(t.entries))
	for id, e := range t.entries {
		if !e.record.Dead {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Since returns at most limit records that changed after a sequence number and did not
// come from receiver, and the sequence number up to which the result is complete.
func (t *Table) Since(after uint64, receiver string, limit int, now time.Time) ([]Record, uint64) {
	if after >= t.sequence {
		return nil, t.sequence
	}
	var changed []*entry
	for _, e := range t.entries {
		if e.sequence > after && (e.source == "" || e.source != receiver) {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int { return cmp.Compare(a.sequence, b.sequence) })
	upTo := t.sequence
	if len(changed) > limit {
		changed = changed[:limit]
		upTo = changed[limit-1].sequence
	}
	records := make([]Record, len(changed))
	for i, e := range changed {
		records[i] = e.record
		if e.record.Dead {
			records[i].DeadFor = max(now.Sub(e.deadAt), 0)
		}
	}
	return records, upTo
}

func (t *Table) countDead() int {
	n := 0
	for _, e := range t.entries {
		if e.record.Dead {
			n++
		}
	}
	return n
}

func (t *Table) put(r Record, source string, deadAt time.Time) {
	id := r.Member.HostID
	if old := t.entries[id]; old != nil && !old.record.Dead {
		t.sum ^= old.record.hash()
	}
	if !r.Dead {
		t.sum ^= r.hash()
		r.DeadFor = 0
	}
	t.sequence++
	t.entries[id] = &entry{record: r, sequence: t.sequence, source: source, deadAt: deadAt}
}

func (r Record) hash() uint64 {
	var version [8]byte
	binary.BigEndian.PutUint64(version[:], r.Version)
	return hashOf(r.Member.HostID, r.Member.Incarnation, string(version[:]))
}

// MemberHash returns a hash of all fields of a member entry; it is never zero.
func MemberHash(m config.Member) uint64 {
	var weight [8]byte
	binary.BigEndian.PutUint64(weight[:], math.Float64bits(m.Weight))
	h := hashOf(m.HostID, m.Incarnation, m.Zone, m.Region, m.InnerAddress, m.CallerAddress, m.AdminAddress, string(weight[:]))
	return max(h, 1)
}

func hashOf(parts ...string) uint64 {
	d := xxhash.New()
	var length [4]byte
	for _, p := range parts {
		binary.BigEndian.PutUint32(length[:], uint32(len(p)))
		_, _ = d.Write(length[:])
		_, _ = d.WriteString(p)
	}
	return d.Sum64()
}
