package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histograms hold microseconds up to two minutes with three digits.
const (
	histogramMax    = int64(2 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// Result is the outcome of a run of one policy.
type Result struct {
	Policy     string `json:"policy"`
	Deployment string `json:"deployment,omitempty"`
	Scenario   string `json:"scenario,omitempty"`
	Preset     string `json:"preset,omitempty"`
	Seed       uint64 `json:"seed"`
	Requests   int    `json:"requests"`
	Completed  int    `json:"completed"`
	// Failed requests were neither completed nor refused with not_run.
	Failed int `json:"failed"`
	// RefusedWithinRate counts refusals of requests that fit the rate and burst of
	// their account, RefusedOverRate the others.
	RefusedWithinRate int `json:"refused_within_rate"`
	RefusedOverRate   int `json:"refused_over_rate"`

	PromptTokens          int     `json:"prompt_tokens"`
	PrefixHitRate         float64 `json:"prefix_hit_rate"`
	OracleHitRate         float64 `json:"oracle_hit_rate"`
	WastedRecomputeTokens int     `json:"wasted_recompute_tokens"`

	TTFTP50Ms             float64         `json:"ttft_p50_ms"`
	TTFTP99Ms             float64         `json:"ttft_p99_ms"`
	WorstAccount          string          `json:"worst_account"`
	WorstAccountTTFTP99Ms float64         `json:"worst_account_ttft_p99_ms"`
	Accounts              []AccountResult `json:"accounts"`
	Phases                []PhaseResult   `json:"phases"`
	// SurgeRatio is the largest ratio, over the accounts that do not surge, of the
	// p99 in the middle third to that outside it; zero without a surge.
	SurgeRatio   float64 `json:"surge_ratio,omitempty"`
	SurgeAccount string  `json:"surge_account,omitempty"`

	// EngineUtilization is the share of time that the engines spent on prefill.
	EngineUtilization    float64 `json:"engine_utilization"`
	MaxEngineUtilization float64 `json:"max_engine_utilization"`
	// LinkMbps is the mean traffic of requests between the regions.
	LinkMbps float64 `json:"link_mbps"`
	// KVCopies and KVCopyMB count the copies of KV caches since the start of the fleet.
	KVCopies uint64  `json:"kv_copies"`
	KVCopyMB float64 `json:"kv_copy_mb"`
	// GeneratorLagP99Ms is how late the generator sent; above a few milliseconds the
	// machine was overloaded and the run says little.
	GeneratorLagP99Ms float64 `json:"generator_lag_p99_ms"`
	GeneratorLagMaxMs float64 `json:"generator_lag_max_ms"`
	// Refusals counts the codes of refusals and failures.
	Refusals map[string]int `json:"refusals,omitempty"`
	// Bookings were sent with an idempotency key; BookingRepeats ran more than once.
	Bookings       int `json:"bookings"`
	BookingRepeats int `json:"booking_repeats"`
}

// AccountResult holds the figures of one account.
type AccountResult struct {
	Account           string  `json:"account"`
	Requests          int     `json:"requests"`
	RefusedWithinRate int     `json:"refused_within_rate"`
	RefusedOverRate   int     `json:"refused_over_rate"`
	TTFTP50Ms         float64 `json:"ttft_p50_ms"`
	TTFTP99Ms         float64 `json:"ttft_p99_ms"`
	// MiddleTTFTP99Ms is of the middle third of the run, OuterTTFTP99Ms of the rest.
	MiddleTTFTP99Ms float64 `json:"middle_ttft_p99_ms"`
	OuterTTFTP99Ms  float64 `json:"outer_ttft_p99_ms"`
}

// PhaseResult holds the figures of one third of the run.
type PhaseResult struct {
	PrefixHitRate         float64 `json:"prefix_hit_rate"`
	OracleHitRate         float64 `json:"oracle_hit_rate"`
	WastedRecomputeTokens int     `json:"wasted_recompute_tokens"`
	TTFTP50Ms             float64 `json:"ttft_p50_ms"`
	TTFTP99Ms             float64 `json:"ttft_p99_ms"`
	RefusedWithinRate     int     `json:"refused_within_rate"`
}

// phases is the number of equal parts of the measured window.
const phases = 3

// tally sums outcomes; its methods may be called concurrently.
type tally struct {
	mu       sync.Mutex
	result   Result
	lag      *hdrhistogram.Histogram
	total    group
	accounts []group
	outer    []group
	thirds   []group
	middle   []group
}

// group is a set of requests that share figures.
type group struct {
	requests, within, over       int
	prompt, cached, held, wasted int
	times                        *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func newGroups(n int) []group {
	list := make([]group, n)
	for i := range list {
		list[i].times = newHistogram()
	}
	return list
}

func newTally() *tally {
	return &tally{
		lag: newHistogram(), total: newGroups(1)[0], accounts: newGroups(len(accounts)),
		outer: newGroups(len(accounts)), middle: newGroups(len(accounts)), thirds: newGroups(phases),
		result: Result{Refusals: map[string]int{}},
	}
}

// record bounds a duration to what a histogram holds.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(1, min(d.Microseconds(), histogramMax))) // in range
}

func (t *tally) addLag(d time.Duration) {
	t.mu.Lock()
	record(t.lag, d)
	t.mu.Unlock()
}

// add takes the outcome of a request of one third of the run.
func (t *tally) add(q *Request, third int, o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	part := &t.outer[q.Account]
	if third == phases/2 {
		part = &t.middle[q.Account]
	}
	for _, g := range []*group{&t.total, &t.accounts[q.Account], &t.thirds[third], part} {
		g.add(q, o)
	}
	switch {
	case o.completed:
		t.result.Completed++
		return
	case o.code != "":
		t.result.Refusals[o.code]++
	case o.err != nil:
		t.result.Refusals[failureKind(o.err)]++
	}
	if !o.notRun {
		t.result.Failed++
	}
}

const maxFailureText = 100

func failureKind(err error) string {
	text := err.Error()
	return text[max(0, len(text)-maxFailureText):]
}

func (g *group) add(q *Request, o outcome) {
	g.requests++
	switch {
	case o.completed:
		g.prompt += o.prompt
		g.cached += o.cached
		g.held += o.held
		g.wasted += max(0, o.held-o.cached)
		record(g.times, o.firstToken)
	case o.notRun && q.WithinRate:
		g.within++
	case o.notRun:
		g.over++
	}
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func quantileMs(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / 1000
}

const median, tail = 50, 99

func (g *group) p50() float64 { return quantileMs(g.times, median) }
func (g *group) p99() float64 { return quantileMs(g.times, tail) }

// finish computes the result. surging is the index of the account that surged, or -1.
func (t *tally) finish(surging int) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.result
	g := &t.total
	r.Requests, r.RefusedWithinRate, r.RefusedOverRate = g.requests, g.within, g.over
	r.PromptTokens, r.WastedRecomputeTokens = g.prompt, g.wasted
	r.PrefixHitRate, r.OracleHitRate = share(g.cached, g.prompt), share(g.held, g.prompt)
	r.TTFTP50Ms, r.TTFTP99Ms = g.p50(), g.p99()
	r.GeneratorLagP99Ms, r.GeneratorLagMaxMs = quantileMs(t.lag, tail), float64(t.lag.Max())/1000
	for i := range t.accounts {
		a := &t.accounts[i]
		r.Accounts = append(r.Accounts, AccountResult{
			Account: accounts[i].id, Requests: a.requests, RefusedWithinRate: a.within, RefusedOverRate: a.over,
			TTFTP50Ms: a.p50(), TTFTP99Ms: a.p99(), MiddleTTFTP99Ms: t.middle[i].p99(), OuterTTFTP99Ms: t.outer[i].p99(),
		})
		if i == surging {
			r.SurgeAccount = accounts[i].id
			continue // it is served at its rate, not at what it sends
		}
		if p := a.p99(); p >= r.WorstAccountTTFTP99Ms {
			r.WorstAccount, r.WorstAccountTTFTP99Ms = accounts[i].id, p
		}
		if outer := t.outer[i].p99(); surging >= 0 && outer > 0 {
			r.SurgeRatio = max(r.SurgeRatio, t.middle[i].p99()/outer)
		}
	}
	for i := range t.thirds {
		p := &t.thirds[i]
		r.Phases = append(r.Phases, PhaseResult{
			PrefixHitRate: share(p.cached, p.prompt), OracleHitRate: share(p.held, p.prompt), WastedRecomputeTokens: p.wasted,
			TTFTP50Ms: p.p50(), TTFTP99Ms: p.p99(), RefusedWithinRate: p.within,
		})
	}
	return r
}
