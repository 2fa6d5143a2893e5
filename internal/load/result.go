package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histograms record microseconds up to two minutes with three significant digits.
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
	// Failed counts requests that were neither completed nor refused with not_run.
	Failed int `json:"failed"`
	// RefusedWithinRate counts refused requests that conform to the rate and burst of
	// their account, RefusedOverRate the other refused requests.
	RefusedWithinRate int `json:"refused_within_rate"`
	RefusedOverRate   int `json:"refused_over_rate"`

	// PromptTokens counts the prompt tokens of completed requests. PrefixHitRate is the
	// fraction of them that the chosen engine had cached, OracleHitRate the fraction that
	// the best engine had cached.
	PromptTokens  int     `json:"prompt_tokens"`
	PrefixHitRate float64 `json:"prefix_hit_rate"`
	OracleHitRate float64 `json:"oracle_hit_rate"`
	// WastedRecomputeTokens counts prompt tokens that were computed although another engine
	// had them cached.
	WastedRecomputeTokens int `json:"wasted_recompute_tokens"`

	TTFTP50Ms             float64         `json:"ttft_p50_ms"`
	TTFTP99Ms             float64         `json:"ttft_p99_ms"`
	WorstAccount          string          `json:"worst_account"`
	WorstAccountTTFTP99Ms float64         `json:"worst_account_ttft_p99_ms"`
	Accounts              []AccountResult `json:"accounts"`
	Phases                []PhaseResult   `json:"phases"`
	// SurgeRatio is the largest ratio, over the accounts that do not surge, of the p99 in
	// the middle third to the p99 outside it; zero without a surge.
	SurgeRatio   float64 `json:"surge_ratio,omitempty"`
	SurgeAccount string  `json:"surge_account,omitempty"`

	// EngineUtilization is the fraction of time that the engines spent on prefill.
	EngineUtilization    float64 `json:"engine_utilization"`
	MaxEngineUtilization float64 `json:"max_engine_utilization"`
	// LinkMbps is the mean traffic of request bodies between the regions.
	LinkMbps float64 `json:"link_mbps"`
	// KVCopies and KVCopyMB are the number and size of KV cache copies since the start of
	// the fleet.
	KVCopies uint64  `json:"kv_copies"`
	KVCopyMB float64 `json:"kv_copy_mb"`
	// GeneratorLagP99Ms is the delay of sends after their scheduled time. Above a few
	// milliseconds the machine was overloaded and the results are not meaningful.
	GeneratorLagP99Ms float64 `json:"generator_lag_p99_ms"`
	GeneratorLagMaxMs float64 `json:"generator_lag_max_ms"`
	// Refusals counts refused and failed requests by error code or error text.
	Refusals map[string]int `json:"refusals,omitempty"`
	// Bookings counts bookings sent with an idempotency key, BookingRepeats those that
	// were executed more than once.
	Bookings       int `json:"bookings"`
	BookingRepeats int `json:"booking_repeats"`
}

// AccountResult holds the results of one account.
type AccountResult struct {
	Account           string  `json:"account"`
	Requests          int     `json:"requests"`
	RefusedWithinRate int     `json:"refused_within_rate"`
	RefusedOverRate   int     `json:"refused_over_rate"`
	TTFTP50Ms         float64 `json:"ttft_p50_ms"`
	TTFTP99Ms         float64 `json:"ttft_p99_ms"`
	// MiddleTTFTP99Ms covers the middle third of the run, OuterTTFTP99Ms the rest.
	MiddleTTFTP99Ms float64 `json:"middle_ttft_p99_ms"`
	OuterTTFTP99Ms  float64 `json:"outer_ttft_p99_ms"`
}

// PhaseResult holds the results of one third of the run.
type PhaseResult struct {
	PrefixHitRate         float64 `json:"prefix_hit_rate"`
	OracleHitRate         float64 `json:"oracle_hit_rate"`
	WastedRecomputeTokens int     `json:"wasted_recompute_tokens"`
	TTFTP50Ms             float64 `json:"ttft_p50_ms"`
	TTFTP99Ms             float64 `json:"ttft_p99_ms"`
	RefusedWithinRate     int     `json:"refused_within_rate"`
}

// phaseCount is the number of equal parts of the measured window.
const phaseCount = 3

// collector aggregates outcomes. It is safe for concurrent use.
type collector struct {
	mu            sync.Mutex
	result        Result
	generatorLag  *hdrhistogram.Histogram
	total         requestStats
	accounts      []requestStats
	outsideMiddle []requestStats
	phases        []requestStats
	middle        []requestStats
}

// requestStats aggregates the outcomes of a set of requests.
type requestStats struct {
	requests, refusedWithinRate, refusedOverRate           int
	promptTokens, cachedTokens, oracleTokens, wastedTokens int
	ttft                                                   *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func newStats(n int) []requestStats {
	list := make([]requestStats, n)
	for i := range list {
		list[i].ttft = newHistogram()
	}
	return list
}

func newCollector() *collector {
	return &collector{
		generatorLag: newHistogram(), total: newStats(1)[0], accounts: newStats(len(accounts)),
		outsideMiddle: newStats(len(accounts)), middle: newStats(len(accounts)), phases: newStats(phaseCount),
		result: Result{Refusals: map[string]int{}},
	}
}

// record records a duration, clamped to the range of the histogram.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(1, min(d.Microseconds(), histogramMax))) // fails only out of range
}

func (c *collector) addGeneratorLag(d time.Duration) {
	c.mu.Lock()
	record(c.generatorLag, d)
	c.mu.Unlock()
}

// add adds the outcome of a request that arrived in the given third of the run.
func (c *collector) add(q *Request, phase int, o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	accountPhase := &c.outsideMiddle[q.Account]
	if phase == phaseCount/2 {
		accountPhase = &c.middle[q.Account]
	}
	for _, s := range []*requestStats{&c.total, &c.accounts[q.Account], &c.phases[phase], accountPhase} {
		s.add(q, o)
	}
	switch {
	case o.completed:
		c.result.Completed++
		return
	case o.refusalCode != "":
		c.result.Refusals[o.refusalCode]++
	case o.err != nil:
		c.result.Refusals[failureText(o.err)]++
	}
	if !o.notRun {
		c.result.Failed++
	}
}

const maxFailureBytes = 100

// failureText returns the end of an error's text, which names its cause.
func failureText(err error) string {
	text := err.Error()
	return text[max(0, len(text)-maxFailureBytes):]
}

func (s *requestStats) add(q *Request, o outcome) {
	s.requests++
	switch {
	case o.completed:
		s.promptTokens += o.promptTokens
		s.cachedTokens += o.cachedTokens
		s.oracleTokens += o.oracleTokens
		s.wastedTokens += max(0, o.oracleTokens-o.cachedTokens)
		record(s.ttft, o.timeToFirstToken)
	case o.notRun && q.WithinRate:
		s.refusedWithinRate++
	case o.notRun:
		s.refusedOverRate++
	}
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func quantileMs(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / 1000
}

const medianPercentile, tailPercentile = 50, 99

func (s *requestStats) p50() float64 { return quantileMs(s.ttft, medianPercentile) }
func (s *requestStats) p99() float64 { return quantileMs(s.ttft, tailPercentile) }

// finish computes the result. surgingAccount is the index of the account that surged, or
// -1.
func (c *collector) finish(surgingAccount int) Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.result
	total := &c.total
	r.Requests, r.RefusedWithinRate, r.RefusedOverRate = total.requests, total.refusedWithinRate, total.refusedOverRate
	r.PromptTokens, r.WastedRecomputeTokens = total.promptTokens, total.wastedTokens
	r.PrefixHitRate, r.OracleHitRate = ratio(total.cachedTokens, total.promptTokens), ratio(total.oracleTokens, total.promptTokens)
	r.TTFTP50Ms, r.TTFTP99Ms = total.p50(), total.p99()
	r.GeneratorLagP99Ms, r.GeneratorLagMaxMs = quantileMs(c.generatorLag, tailPercentile), float64(c.generatorLag.Max())/1000
	for i := range c.accounts {
		a := &c.accounts[i]
		r.Accounts = append(r.Accounts, AccountResult{
			Account: accounts[i].id, Requests: a.requests, RefusedWithinRate: a.refusedWithinRate, RefusedOverRate: a.refusedOverRate,
			TTFTP50Ms: a.p50(), TTFTP99Ms: a.p99(), MiddleTTFTP99Ms: c.middle[i].p99(), OuterTTFTP99Ms: c.outsideMiddle[i].p99(),
		})
		if i == surgingAccount {
			r.SurgeAccount = accounts[i].id
			continue // it sends above its rate, so its latency is not comparable
		}
		if p := a.p99(); p >= r.WorstAccountTTFTP99Ms {
			r.WorstAccount, r.WorstAccountTTFTP99Ms = accounts[i].id, p
		}
		if outer := c.outsideMiddle[i].p99(); surgingAccount >= 0 && outer > 0 {
			r.SurgeRatio = max(r.SurgeRatio, c.middle[i].p99()/outer)
		}
	}
	for i := range c.phases {
		phase := &c.phases[i]
		r.Phases = append(r.Phases, PhaseResult{
			PrefixHitRate: ratio(phase.cachedTokens, phase.promptTokens), OracleHitRate: ratio(phase.oracleTokens, phase.promptTokens), WastedRecomputeTokens: phase.wastedTokens,
			TTFTP50Ms: phase.p50(), TTFTP99Ms: phase.p99(), RefusedWithinRate: phase.refusedWithinRate,
		})
	}
	return r
}
