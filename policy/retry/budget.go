// Package retry limits retries by a budget. Each host spends its own share, so that all
// hosts together stay within the limit without exchanging messages.
package retry

import "time"

// safetyFactor leaves room for retries that a host counts in a different window than
// the fleet does.
const safetyFactor = 0.75

const intervalsPerWindow = 20

// Limits allow Ratio retries per request plus Slack retries within any Window. The
// Slack is for the whole fleet.
type Limits struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

type interval struct{ requests, retries float64 }

// Budget counts the requests and retries of one service on one host. It is not safe for
// concurrent use.
type Budget struct {
	limits Limits
	ring   [intervalsPerWindow]interval
	index  int64
}

// NewBudget returns a budget without requests.
func NewBudget(limits Limits) *Budget { return &Budget{limits: limits} }

func (b *Budget) advance(now time.Time) *interval {
	index := now.UnixNano() / int64(b.limits.Window/intervalsPerWindow)
	if index-b.index >= intervalsPerWindow || index < b.index {
		b.ring = [intervalsPerWindow]interval{}
		b.index = index
	}
	for b.index < index {
		b.index++
		b.ring[b.index%intervalsPerWindow] = interval{}
	}
	return &b.ring[b.index%intervalsPerWindow]
}

// RecordRequest counts a caller's request.
func (b *Budget) RecordRequest(now time.Time) { b.advance(now).requests++ }

// Allow takes one retry from the budget; it returns false if none is left. hosts is the
// number of hosts that share the slack.
func (b *Budget) Allow(now time.Time, hosts int) bool {
	current := b.advance(now)
	var sum interval
	for _, i := range b.ring {
		sum.requests += i.requests
		sum.retries += i.retries
	}
	limit := safetyFactor * (b.limits.Ratio*sum.requests + b.limits.Slack/float64(max(1, hosts)))
	if sum.retries+1 > limit {
		return false
	}
	current.retries++
	return true
}
