package freshness

// Quorum counts a proposer's acknowledgements from the members of the revision
// that it replaces.
type Quorum struct {
	members map[Member]bool
	acked   int
}

// NewQuorum starts a count without acknowledgements.
func NewQuorum(members []Member) *Quorum {
	q := &Quorum{members: make(map[Member]bool, len(members))}
	for _, m := range members {
		q.members[m] = false
	}
	return q
}

// Ack counts an acknowledgement for the listed incarnation of a member, given by
// that process or by a newer incarnation on the same address. Others do not count.
func (q *Quorum) Ack(m Member) {
	if acked, listed := q.members[m]; listed && !acked {
		q.members[m] = true
		q.acked++
	}
}

// Reached reports whether a majority has acknowledged. Without members none is needed.
func (q *Quorum) Reached() bool {
	return len(q.members) == 0 || q.acked >= majority(len(q.members))
}
