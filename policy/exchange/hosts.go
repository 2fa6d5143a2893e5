package exchange

import "time"

const (
	// liveTimeout is the time without news of a host after which it is unresponsive:
	// callers are no longer directed to it.
	liveTimeout = 1200 * time.Millisecond
	// forgetTimeout is how long an unresponsive host still shares limits, since it may go on
	// serving callers.
	forgetTimeout = 9 * time.Second
)

// hostState is what a node knows of another host.
type hostState struct {
	HostRecord
	// via is the hub that has told of the host; empty if the host itself did. adopted means that
	// it did so as the hub of this host, which tells of the whole fleet. To other hubs it tells
	// of its members alone.
	via     string
	adopted bool
	// heardAt is when the host itself was last heard.
	heardAt time.Time
	// lost means that the host itself or the hub that told of it has become silent.
	lost bool
	// unresponsiveAt is since when the host is unresponsive.
	unresponsiveAt time.Time
	changed        uint64
	// next is what a hub tells of a host that is still heard itself: it may have begun to
	// report to that hub instead.
	next *toldRecord
}

// toldRecord is a record and the hub that told it.
type toldRecord struct {
	HostRecord
	via string
}

// status returns the state of the host as far as this node can tell.
func (h *hostState) status() Status {
	if h.lost {
		return h.Status | Unresponsive
	}
	return h.Status
}

// record returns the record of the host for others.
func (h *hostState) record() HostRecord {
	return HostRecord{Host: h.Host, Status: h.status(), Round: h.Round}
}

// replaces reports whether a record is newer than what is known of the host.
func (h *hostState) replaces(r HostRecord, via string) bool {
	if r.Round != h.Round {
		return r.Round > h.Round
	}
	// What another hub tells of the same round is news only if nobody else tells of the host
	// any more, or only the hub of this host did, or if that hub has lost it.
	return h.lost || h.via == via || h.adopted || r.Status.Has(Unresponsive)
}

// neverHeard reports whether only the store lists the host.
func (h *hostState) neverHeard() bool { return h.Round == 0 }

// hostTable records the other hosts.
type hostTable struct {
	byID map[string]*hostState
	// version counts the changes that matter for the choice of hubs.
	version uint64
}

// apply applies what a hub has told of a host, or the host itself if via is empty. It
// reports whether the host has not been heard before, or not for some time.
func (t *hostTable) apply(r HostRecord, via string, state uint64, now time.Time) (heard bool) {
	h := t.byID[r.Host.ID]
	switch {
	case h == nil:
		h = &hostState{lost: true}
		t.byID[r.Host.ID] = h
	case h.Host.Incarnation != r.Host.Incarnation:
		if r.Status.Has(Unresponsive) {
			return false // an earlier incarnation
		}
		h = &hostState{lost: true}
		t.byID[r.Host.ID] = h
	case !h.replaces(r, via):
		return false
	}
	before, beforeVia := h.status(), h.via
	changed := h.Host != r.Host
	returned := via == "" && h.next != nil // it has reported to another hub in between
	h.HostRecord, h.via, h.adopted, h.lost, h.next = r, via, false, false, nil
	if via == "" {
		h.heardAt = now
	}
	if after := h.status(); changed || before != after || beforeVia != via || returned {
		h.changed = state
		t.version++
		if after.Has(Unresponsive) && !before.Has(Unresponsive) {
			h.unresponsiveAt = now
		}
	}
	return before.Has(Unresponsive) && !h.status().Has(Unresponsive)
}

// adopt applies what the hub of this host tells of another one, which replaces whatever is
// known. It reports whether the host has not been heard before, or not for some time.
func (t *hostTable) adopt(r HostRecord, hub string, state uint64, now time.Time) (heard bool) {
	h := t.byID[r.Host.ID]
	if h == nil {
		h = &hostState{lost: true}
		t.byID[r.Host.ID] = h
	}
	before, changed := h.status(), h.Host != r.Host
	h.HostRecord, h.via, h.adopted, h.lost = r, hub, true, false
	after := h.status()
	if changed || before != after {
		h.changed = state
		t.version++
	}
	if after.Has(Unresponsive) && !before.Has(Unresponsive) {
		h.unresponsiveAt = now
	}
	return before.Has(Unresponsive) && !after.Has(Unresponsive)
}

// setLost marks the hosts that match as lost.
func (t *hostTable) setLost(match func(*hostState) bool, state uint64, now time.Time) {
	for _, h := range t.byID {
		if !h.lost && match(h) && h.next != nil && h.next.Round > h.Round {
			h.HostRecord, h.via, h.adopted, h.next = h.next.HostRecord, h.next.via, false, nil
			h.changed = state
			t.version++
		}
		if h.lost || !match(h) {
			continue
		}
		if !h.Status.Has(Unresponsive) {
			h.changed, h.unresponsiveAt = state, now
			t.version++
		}
		h.lost = true
	}
}

// removeForgotten removes the hosts that no longer share limits.
func (t *hostTable) removeForgotten(now time.Time) {
	for id, h := range t.byID {
		status := h.status()
		if status.Has(Unresponsive) && (status.Has(Draining) || now.Sub(h.unresponsiveAt) > forgetTimeout) {
			delete(t.byID, id)
			t.version++
		}
	}
}

// changesAfter returns the records that match and have changed after a state.
func (t *hostTable) changesAfter(after uint64, match func(*hostState) bool) []HostRecord {
	var out []HostRecord
	for _, h := range t.byID {
		if h.changed > after && !h.neverHeard() && match(h) {
			out = append(out, h.record())
		}
	}
	return out
}
