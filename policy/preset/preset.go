// Package preset holds the policy knobs behind the three presets that an operator
// can select.
package preset

import (
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

// Knobs are the parameters of routing, queues and waits.
type Knobs struct {
	// RecomputeWeight is added to the cost of computing tokens that are not cached, as a
	// multiple of the time it takes. It represents the requests of others that the
	// recomputation delays. Zero considers only the request's own time to first token,
	// which under load spills hot prefixes until each target computes all of them. With
	// 2, requests with a hot prefix waited at its target for seconds, and the queue then
	// spilled at once into an overload. Peak raises it, because at full load every
	// recomputed token delays another request; maintenance lowers it, because the
	// targets that remain must take the prefixes of those that leave.
	RecomputeWeight float64
	// TieShare is the share of the prefill time by which the costs of targets may differ
	// and still count as equal, so that hosts choose the same one by hashing although
	// their load data differ. Zero disables this. Peak lowers it, because queues are
	// longer and a wrong choice costs more; maintenance raises it, because load reports
	// of targets that restart are less exact.
	TieShare float64
	// UncertainShare is the share of the recorded cached tokens that counts for a target
	// whose cache events were lost. Zero counts none. Maintenance lowers it, because
	// targets restart and lose their caches more often.
	UncertainShare float64
	// RetryShare is the number of retries allowed per request of recent traffic. Zero
	// allows only RetryFloor. Peak lowers it, so that retries don't add to an
	// overload; maintenance raises it, because planned stops make more retries
	// necessary.
	RetryShare float64
	// RetryFloor is the number of retries that a host without recent traffic may make in
	// a burst.
	RetryFloor float64
	// EjectAfter is the number of consecutive failures that ejects a target. Zero never
	// ejects. Maintenance lowers it, because a target that fails is likely being
	// stopped.
	EjectAfter int
	// EjectFor is how long the first ejection lasts; each further one doubles it.
	EjectFor time.Duration
	// ReinstateOver is how long a target takes to return to full traffic after an
	// ejection. Peak lengthens it, because a cold target with full traffic at peak
	// builds a queue at once.
	ReinstateOver time.Duration
	// QueueItems bounds the requests that wait at one target on this host. Peak raises
	// it: bursts are larger, and a refusal costs an account more than waiting.
	QueueItems int
	// AccountShare is the share of QueueItems that one account may occupy.
	AccountShare float64
	// Quantum is the number of tokens that an account may send per round of the queue.
	Quantum int
	// OverRateShare is the share of the work in flight that accounts above their rate
	// may occupy. Peak and maintenance lower it, to keep room for accounts within
	// their rate while capacity is short.
	OverRateShare float64
	// DelayTarget is the queueing delay at a target above which the limit of work in
	// flight shrinks. Maintenance raises it, because fewer targets carry the load and
	// queues are expected.
	DelayTarget time.Duration
	// MinInFlight and MaxInFlight bound the limit of requests in flight per target.
	MinInFlight, MaxInFlight int
	// LimitWaitFactor multiplies the setting --limit-wait, the longest wait of a request
	// for tokens of its client account. Zero rejects at once. Peak raises it, because a
	// caller that is rejected at full load sends again, which adds load; maintenance
	// raises it further, because after a change of the hosts that hold the shares of an
	// account, a new one lends nothing for some seconds and the others lend in small
	// parts, so that a short wait rejects requests of accounts within their rate.
	LimitWaitFactor float64
	// DefaultDeadline is the time for a request that sets none. Peak and maintenance
	// lengthen it: queues are longer, tokens come slower and streams are continued on
	// other targets, and a deadline that passes cuts off a partly delivered
	// response. Callers that need a response sooner set a deadline of their own.
	DefaultDeadline time.Duration
}

// For returns the knobs of a preset; the zero preset means ordinary.
func For(p config.Preset) Knobs {
	k := ordinary()
	switch p {
	case config.PresetPeak:
		k.RecomputeWeight = 1.5
		k.TieShare = 0.15
		k.RetryShare = 0.05
		k.ReinstateOver = 20 * time.Second
		k.QueueItems = 2048
		k.OverRateShare = 0.25
		k.LimitWaitFactor = 2
		k.DefaultDeadline = 3 * time.Minute
	case config.PresetMaintenance:
		k.RecomputeWeight = 0.5
		k.TieShare = 0.35
		k.UncertainShare = 0.25
		k.RetryShare = 0.25
		k.EjectAfter = 2
		k.OverRateShare = 0.25
		k.DelayTarget = 400 * time.Millisecond
		k.LimitWaitFactor = 4
		k.DefaultDeadline = 4 * time.Minute
	}
	return k
}

func ordinary() Knobs {
	return Knobs{
		RecomputeWeight: 1,
		TieShare:        0.25,
		UncertainShare:  0.5,
		RetryShare:      0.1,
		RetryFloor:      10,
		EjectAfter:      3,
		EjectFor:        2 * time.Second,
		ReinstateOver:   10 * time.Second,
		QueueItems:      1024,
		AccountShare:    0.5,
		Quantum:         4000,
		OverRateShare:   0.5,
		DelayTarget:     200 * time.Millisecond,
		MinInFlight:     2,
		MaxInFlight:     256,
		LimitWaitFactor: 1,
		DefaultDeadline: 2 * time.Minute,
	}
}
