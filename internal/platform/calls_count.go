package platform

import (
	"cmp"
	"slices"
	"sync"
)

// CallCount is the number of calls to the store of one kind.
type CallCount struct {
	Table, Verb string
	// Outcome is "ok", "conflict", "compacted", "unknown" or "failed".
	Outcome string
	Calls   uint64
}

// CallCounter counts calls to the store by table, verb and outcome. The zero value is
// ready for use.
type CallCounter struct {
	mu    sync.Mutex
	calls map[CallCount]uint64
}

// Count counts one call.
func (c *CallCounter) Count(table, verb, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls == nil {
		c.calls = map[CallCount]uint64{}
	}
	c.calls[CallCount{Table: table, Verb: verb, Outcome: outcome}]++
}

// Counts returns the calls so far, in a fixed order.
func (c *CallCounter) Counts() []CallCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]CallCount, 0, len(c.calls))
	for kind, calls := range c.calls {
		kind.Calls = calls
		out = append(out, kind)
	}
	slices.SortFunc(out, func(a, b CallCount) int {
		return cmp.Or(cmp.Compare(a.Table, b.Table), cmp.Compare(a.Verb, b.Verb), cmp.Compare(a.Outcome, b.Outcome))
	})
	return out
}
