// Package retry holds the budget for sending requests a second time. Each host spends
// a share of its own, so that the sum over all hosts keeps the bound without any
// messages between them.
package retry

import "time"

// safety leaves room for repeats that hosts count in another window than the fleet.
const safety = 0.75

const intervals = 20

// Limits bound the repeats within any window: Ratio of the requests plus Slack, where
// Slack is for the whole fleet.
type Limits struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

type interval struct{ requests, repeats float64 }

// Budget counts the requests and repeats of one service on one host. It is not safe
// for concurrent use.
type Budget struct {
	terms Limits
	ring  [intervals]interval
	index int64
}

// NewBudget returns a budget without requests.
func NewBudget(terms Limits) *Budget { return &Budget{terms: terms} }

func (b *Budget) advance(now time.Time) *interval {
	index := now.UnixNano() / int64(b.terms.Window/intervals)
	if index-b.index >= intervals || index < b.index {
		b.ring = [intervals]interval{}
		b.index = index
	}
	for b.index < index {
		b.index++
		b.ring[b.index%intervals] = interval{}
	}
	return &b.ring[b.index%intervals]
}

// RecordRequest counts a caller's request.
func (b *Budget) RecordRequest(now time.Time) { b.advance(now).requests++ }

// Allow takes one repeat from the budget; false if none is left. hosts is the number
// of hosts that share the slack.
func (b *Budget) Allow(now time.Time, hosts int) bool {
	current := b.advance(now)
	var sum interval
	for _, i := range b.ring {
		sum.requests += i.requests
		sum.repeats += i.repeats
	}
	limit := safety * (b.terms.Ratio*sum.requests + b.terms.Slack/float64(max(1, hosts)))
	if sum.repeats+1 > limit {
		return false
	}
	current.repeats++
	return true
}
