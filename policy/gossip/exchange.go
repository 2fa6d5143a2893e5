package gossip

import "time"

// resyncAfterMismatches is the number of successive exchanges with different tables and
// nothing to send after which a whole table is transferred. Differences that are still
// spreading through other hosts resolve in fewer exchanges.
const resyncAfterMismatches = 20

// Request is the part of a probe that carries records.
type Request struct {
	// Epoch and After identify the state of the receiver's table that the sender has; a
	// zero Epoch means none.
	Epoch uint64 `msgpack:"e,omitempty"`
	After uint64 `msgpack:"a,omitempty"`
	// Sum is the hash of the sender's table.
	Sum     uint64   `msgpack:"s,omitempty"`
	Records []Record `msgpack:"r,omitempty"`
}

// Reply is the reply to a Request.
type Reply struct {
	Epoch uint64 `msgpack:"e,omitempty"`
	// UpTo is the sequence number up to which the sender of the request now has all
	// records.
	UpTo    uint64   `msgpack:"u,omitempty"`
	Sum     uint64   `msgpack:"s,omitempty"`
	Records []Record `msgpack:"r,omitempty"`
}

// Link is the state of a host's exchanges with one other host. The zero value means
// that there have been none.
type Link struct {
	epoch        uint64
	receivedUpTo uint64
	sentUpTo     uint64
	mismatches   int
	// sendSelf requests that the host's own record is sent again, because a new process
	// replied under the same address.
	sendSelf bool
}

// Established reports whether the other host has replied.
func (l *Link) Established() bool { return l.epoch != 0 }

// Epoch identifies the table of a process; it is never zero.
func (t *Table) Epoch() uint64 { return max(hashOf(t.self, t.Self().Member.Incarnation), 1) }

// Request returns the request to send over a link, and the sequence number up to which
// the other host has this table's records once it has replied. The first request
// carries only the host's own record: the other host pulls the rest when it contacts
// this one or another.
func (t *Table) Request(l *Link, receiver string, now time.Time) (*Request, uint64) {
	r := &Request{Epoch: l.epoch, After: l.receivedUpTo, Sum: t.sum}
	if !l.Established() {
		r.Records = []Record{t.Self()}
		return r, t.sequence
	}
	upTo := uint64(0)
	r.Records, upTo = t.Since(l.sentUpTo, receiver, MaxRecords, now)
	if l.sendSelf {
		r.Records = append(r.Records, t.Self())
	}
	return r, upTo
}

// HandleRequest merges a request and returns the reply, and whether the table changed.
// If the tables are equal, the reply has no records.
func (t *Table) HandleRequest(r *Request, sender string, now time.Time) (*Reply, bool) {
	changed := t.mergeAll(r.Records, sender, now)
	reply := &Reply{Epoch: t.Epoch(), Sum: t.sum, UpTo: t.sequence}
	if r.Sum == t.sum {
		return reply, changed
	}
	if r.Epoch == reply.Epoch && r.After > 0 {
		reply.Records, reply.UpTo = t.Since(r.After, sender, MaxRecords, now)
	} else {
		// A restarted sender has also lost the records that it sent before, so these are
		// included.
		reply.Records, reply.UpTo = t.Since(0, "", MaxRecords, now)
	}
	return reply, changed
}

// HandleReply merges the reply to a request, and reports whether the table changed.
// sentUpTo is the sequence number that Request returned.
func (t *Table) HandleReply(l *Link, r *Reply, sentUpTo uint64, sender string, now time.Time) bool {
	l.sendSelf = l.Established() && l.epoch != r.Epoch
	l.epoch, l.receivedUpTo, l.sentUpTo = r.Epoch, r.UpTo, sentUpTo
	changed := t.mergeAll(r.Records, sender, now)
	if r.Sum == t.sum || len(r.Records) > 0 {
		l.mismatches = 0
	} else if l.mismatches++; l.mismatches >= resyncAfterMismatches {
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
