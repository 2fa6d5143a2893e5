package gossip

import "time"

// resyncAfter is the number of successive exchanges with different tables and nothing
// to send after which a table is transferred as a whole. Differences that are on
// their way through other hosts settle in fewer.
const resyncAfter = 20

// Request is the part of a probe that carries records.
type Request struct {
	// Epoch and After name the state of the receiver's table that the sender has; a
	// zero Epoch means none.
	Epoch uint64 `msgpack:"e,omitempty"`
	After uint64 `msgpack:"a,omitempty"`
	// Sum is the hash of the sender's table.
	Sum     uint64   `msgpack:"s,omitempty"`
	Records []Record `msgpack:"r,omitempty"`
}

// Reply answers a Request.
type Reply struct {
	Epoch uint64 `msgpack:"e,omitempty"`
	// UpTo is the sequence number through which the sender of the request is now
	// complete.
	UpTo    uint64   `msgpack:"u,omitempty"`
	Sum     uint64   `msgpack:"s,omitempty"`
	Records []Record `msgpack:"r,omitempty"`
}

// Link is what a host keeps of its exchanges with one other host. The zero value
// means that there was none.
type Link struct {
	epoch      uint64
	got        uint64
	sent       uint64
	mismatches int
	// introduce says that another process answered under the address than before,
	// which needs the own record.
	introduce bool
}

// Established reports whether the other host has answered.
func (l *Link) Established() bool { return l.epoch != 0 }

// Epoch identifies the table of a process; it is never zero.
func (t *Table) Epoch() uint64 { return max(hashOf(t.self, t.Self().Member.Incarnation), 1) }

// Request returns what to send over a link, and the sequence number that the other
// host has seen once it has answered. On the first contact only the own record is
// sent: the other host pulls the rest when it contacts this one or another.
func (t *Table) Request(l *Link, receiver string, now time.Time) (*Request, uint64) {
	r := &Request{Epoch: l.epoch, After: l.got, Sum: t.sum}
	if !l.Established() {
		r.Records = []Record{t.Self()}
		return r, t.sequence
	}
	upTo := uint64(0)
	r.Records, upTo = t.Since(l.sent, receiver, MaxRecords, now)
	if l.introduce {
		r.Records = append(r.Records, t.Self())
	}
	return r, upTo
}

// HandleRequest merges a request and returns the reply, and whether the table changed. Equal
// tables need no records, whatever was sent before.
func (t *Table) HandleRequest(r *Request, sender string, now time.Time) (*Reply, bool) {
	changed := t.mergeAll(r.Records, sender, now)
	reply := &Reply{Epoch: t.Epoch(), Sum: t.sum, UpTo: t.sequence}
	if r.Sum == t.sum {
		return reply, changed
	}
	if r.Epoch == reply.Epoch && r.After > 0 {
		reply.Records, reply.UpTo = t.Since(r.After, sender, MaxRecords, now)
	} else {
		// A process that has restarted has lost even the records that it once sent.
		reply.Records, reply.UpTo = t.Since(0, "", MaxRecords, now)
	}
	return reply, changed
}

// HandleReply merges the reply to a request that was sent with the returned sequence
// number, and reports whether the table changed.
func (t *Table) HandleReply(l *Link, r *Reply, sentUpTo uint64, sender string, now time.Time) bool {
	l.introduce = l.Established() && l.epoch != r.Epoch
	l.epoch, l.got, l.sent = r.Epoch, r.UpTo, sentUpTo
	changed := t.mergeAll(r.Records, sender, now)
	if r.Sum == t.sum || len(r.Records) > 0 {
		l.mismatches = 0
	} else if l.mismatches++; l.mismatches >= resyncAfter {
		*l = Link{}
	}
	return changed
}

func (t *Table) mergeAll(records []Record, source string, now time.Time) bool {
	changed := false
	for _, r := range records {
		changed = t.Merge(r, source, now) || changed
	}
	return changed
}
