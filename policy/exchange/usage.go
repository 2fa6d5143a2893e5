package exchange

import "time"

const (
	// windowAge is the time over which use still counts against the limits of client accounts.
	// A process that has just started is told of the use over that time.
	windowAge = 8 * time.Second
	// snapshotInterval is the interval between snapshots of the totals.
	snapshotInterval = 500 * time.Millisecond
	// totalsTTL is how long the totals of a hub that is forgotten are kept. If it comes back
	// later, its whole totals count.
	totalsTTL = 10 * time.Minute
)

// total is a total of usage and the state in which it last changed.
type total struct {
	value   float64
	changed uint64
}

// hubTotals are the totals of usage that hosts have attributed to one incarnation of a hub.
//
// Invariant: a total never decreases, and what a host has admitted is attributed to at least
// one hub. So each host takes the higher of two totals, whatever way they came, and counts
// nothing twice that is attributed once.
type hubTotals struct {
	incarnation string
	byAccount   map[string]total
	// history holds snapshots of the totals, the oldest first.
	history []snapshot
	// toldBy is the host that last told of them, at raisedAt.
	toldBy   string
	raisedAt time.Time
}

type snapshot struct {
	at     time.Time
	totals map[string]float64
}

func newHubTotals(incarnation string) *hubTotals {
	return &hubTotals{incarnation: incarnation, byAccount: map[string]total{}}
}

// raise raises a total and returns by how much; known is false if there was none.
func (t *hubTotals) raise(account string, value float64, state uint64) (amount float64, known bool) {
	before, known := t.byAccount[account]
	if value > before.value {
		t.byAccount[account] = total{value, state}
	}
	return max(0, value-before.value), known
}

// markChanged makes all totals count as changed in a state.
func (t *hubTotals) markChanged(state uint64) {
	for account, v := range t.byAccount {
		t.byAccount[account] = total{v.value, state}
	}
}

// keepHistory takes a snapshot if one is due, and drops those that are no longer needed.
func (t *hubTotals) keepHistory(now time.Time) {
	if n := len(t.history); n > 0 && now.Sub(t.history[n-1].at) < snapshotInterval {
		return
	}
	totals := make(map[string]float64, len(t.byAccount))
	for account, v := range t.byAccount {
		totals[account] = v.value
	}
	t.history = append(t.history, snapshot{now, totals})
	for len(t.history) > 1 && now.Sub(t.history[1].at) >= windowAge {
		t.history = t.history[1:]
	}
}

// changesAfter returns the totals that have changed after a state. For state zero it also
// returns those of windowAge ago.
func (t *hubTotals) changesAfter(after uint64, now time.Time) []Usage {
	var window map[string]float64
	if after == 0 && len(t.history) > 0 && now.Sub(t.history[0].at) >= windowAge {
		window = t.history[0].totals
	}
	var out []Usage
	for account, v := range t.byAccount {
		if v.changed > after {
			out = append(out, Usage{Account: account, Total: v.value, Before: window[account]})
		}
	}
	return out
}

// ownUsage is what this process has admitted and has attributed to a hub.
type ownUsage struct {
	admitted map[string]float64
	// settled is what a hub has told all other hubs, or what is attributed to this host
	// itself.
	settled map[string]float64
	// pending is what a hub has acknowledged at a time but may not have told others.
	pending   map[string]float64
	pendingAt time.Time
}

// acknowledge notes that a hub has what this host had admitted when it sent a report, and that
// what the hub received unspread ago has been told to all others.
func (u *ownUsage) acknowledge(sent []OwnUsage, unspread time.Duration, now time.Time) {
	if u.pending != nil && now.Sub(u.pendingAt) > unspread+RoundInterval {
		for account, value := range u.pending {
			u.settled[account] = max(u.settled[account], value)
		}
		u.pending = nil
	}
	if u.pending == nil {
		u.pending, u.pendingAt = map[string]float64{}, now
		for _, s := range sent {
			u.pending[s.Account] = s.Total
		}
	}
}
