package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
)

// Parameters of the prompts, at 4 bytes per token. A long prompt is a manual, one of its
// sections and a question; prompts share the manual or both as a prefix.
const (
	minManualBytes, maxManualBytes     = 24_000, 56_000
	minSectionBytes, maxSectionBytes   = 4_000, 12_000
	minQuestionBytes, maxQuestionBytes = 200, 1_600
	sectionsPerManual                  = 4
	minOutputTokens, maxOutputTokens   = 8, 24
	// shortRequestRatio is the fraction of the requests without a manual and a section.
	shortRequestRatio = 0.2
	// hotManualRatio is the fraction of an account's long requests that use its hot
	// manual, which changes every hotManualPeriod. The others select a manual by a Zipf
	// distribution with exponent zipfExponent.
	hotManualRatio  = 0.25
	hotManualPeriod = 5 * time.Second
	zipfExponent    = 0.9
)

// Limits of the accounts, relative to their mean usage.
const (
	rateHeadroom = 1.6
	burstSeconds = 4
	// surgeFactor multiplies the load of the surging account, which makes it about 2.5
	// times its rate.
	surgeFactor = 4
)

// Request is a request of the schedule.
type Request struct {
	// At is the scheduled arrival time, relative to the start of the load.
	At      time.Duration
	Account int
	Zone    int
	// Manual is the index of one of the account's manuals, or -1 for a short request.
	Manual    int
	Section   int
	Question  string
	MaxTokens int
	// WithinRate means that the request conforms to the rate and burst of its account.
	WithinRate bool
}

// Schedule is the complete load of a run. It is deterministic for a seed.
type Schedule struct {
	Requests []Request
	// Rates and Bursts are the limits of the accounts in tokens per second and tokens.
	Rates, Bursts []int64
	manuals       [][]manual
}

// manual is a document that many prompts of an account begin with.
type manual struct {
	text     string
	sections []string
}

type scheduleOptions struct {
	deployment Deployment
	seed       uint64
	total      time.Duration
	// surgeFrom and surgeTo are the start and end of the surge; equal values mean none.
	surgeFrom, surgeTo time.Duration
	rateFactor         float64
	// rampUp is the time over which the rate increases to its full value, since a fleet
	// with empty caches can't serve the full rate.
	rampUp time.Duration
}

// Independent streams of random numbers. A surge therefore adds requests and does not
// change the others.
const (
	streamTexts = iota + 1
	streamBase
	streamSurge
	streamRamp
)

// rampStartRatio is the fraction of the full rate at the start of the ramp.
const rampStartRatio = 0.1

func newSchedule(o scheduleOptions) *Schedule {
	s := &Schedule{}
	s.generateManuals(o)
	rate := o.deployment.requestsPerSecond * o.rateFactor
	baseRNG, rampRNG := rand.New(rand.NewPCG(o.seed, streamBase)), rand.New(rand.NewPCG(o.seed, streamRamp))
	for at := exponentialInterval(baseRNG, rate); at < o.total; at += exponentialInterval(baseRNG, rate) {
		q := s.newRequest(baseRNG, o, at, chooseAccount(baseRNG))
		if at >= o.rampUp || rampRNG.Float64() < rampStartRatio+(1-rampStartRatio)*at.Seconds()/o.rampUp.Seconds() {
			s.Requests = append(s.Requests, q)
		}
	}
	if o.surgeTo > o.surgeFrom {
		surgeRNG := rand.New(rand.NewPCG(o.seed, streamSurge))
		extraRate := rate * accounts[surgeAccountIndex].share * (surgeFactor - 1)
		for at := o.surgeFrom + exponentialInterval(surgeRNG, extraRate); at < o.surgeTo; at += exponentialInterval(surgeRNG, extraRate) {
			s.Requests = append(s.Requests, s.newRequest(surgeRNG, o, at, surgeAccountIndex))
		}
		slices.SortStableFunc(s.Requests, func(a, b Request) int { return int(a.At - b.At) })
	}
	s.setLimits(rate)
	s.markWithinRate()
	return s
}

// exponentialInterval returns a random interval between arrivals of a Poisson process.
func exponentialInterval(r *rand.Rand, rate float64) time.Duration {
	return time.Duration(r.ExpFloat64() / rate * float64(time.Second))
}

func chooseAccount(r *rand.Rand) int {
	u := r.Float64()
	for i, a := range accounts {
		if u -= a.share; u < 0 {
			return i
		}
	}
	return 0
}

func (s *Schedule) newRequest(r *rand.Rand, o scheduleOptions, at time.Duration, account int) Request {
	q := Request{
		At: at, Account: account, Zone: chooseZone(r, &o.deployment), Manual: -1,
		Question:  randomText(r, randomBetween(r, minQuestionBytes, maxQuestionBytes)),
		MaxTokens: randomBetween(r, minOutputTokens, maxOutputTokens),
	}
	if r.Float64() < shortRequestRatio {
		return q
	}
	count := len(s.manuals[account])
	if r.Float64() < hotManualRatio {
		q.Manual = hotManual(at, account, count)
	} else {
		q.Manual = zipfIndex(r, count)
	}
	q.Section = zipfIndex(r, sectionsPerManual)
	return q
}

// hotManual returns the hot manual of an account. It cycles through the manuals from the
// least popular one, so that few engines have cached a manual that becomes hot. The
// cycles of the accounts are shifted against each other.
func hotManual(at time.Duration, account, count int) int {
	period := int(at/hotManualPeriod) + account
	return count - 1 - period%count
}

// chooseZone selects the zone of a caller, in proportion to the engines of the zones.
func chooseZone(r *rand.Rand, d *Deployment) int {
	n := r.IntN(d.engineCount())
	for i, z := range d.zones {
		if n -= z.engines; n < 0 {
			return i
		}
	}
	return 0
}

// zipfIndex returns a random index below count by a Zipf distribution.
func zipfIndex(r *rand.Rand, count int) int {
	sum := 0.0
	for i := range count {
		sum += math.Pow(float64(i+1), -zipfExponent)
	}
	u := r.Float64() * sum
	for i := range count {
		if u -= math.Pow(float64(i+1), -zipfExponent); u < 0 {
			return i
		}
	}
	return 0
}

func randomBetween(r *rand.Rand, low, high int) int { return low + r.IntN(high-low+1) }

func (s *Schedule) generateManuals(o scheduleOptions) {
	r := rand.New(rand.NewPCG(o.seed, streamTexts))
	for _, a := range accounts {
		count := max(1, int(math.Round(float64(o.deployment.manuals)*a.share)))
		manuals := make([]manual, count)
		for i := range manuals {
			manuals[i].text = randomText(r, randomBetween(r, minManualBytes, maxManualBytes))
			for range sectionsPerManual {
				manuals[i].sections = append(manuals[i].sections, randomText(r, randomBetween(r, minSectionBytes, maxSectionBytes)))
			}
		}
		s.manuals = append(s.manuals, manuals)
	}
}

// randomText returns n bytes of random words that need no escaping in JSON.
func randomText(r *rand.Rand, n int) string {
	var b strings.Builder
	for b.Len() < n {
		fmt.Fprintf(&b, "%x ", r.Uint64())
	}
	return b.String()[:n]
}

// Prompt returns the prompt of a request.
func (s *Schedule) Prompt(q *Request) string {
	if q.Manual < 0 {
		return q.Question
	}
	m := &s.manuals[q.Account][q.Manual]
	return m.text + m.sections[q.Section] + q.Question
}

// reservedTokens returns the number of tokens that a router reserves for a request.
func (s *Schedule) reservedTokens(q *Request) int64 {
	n := len(q.Question)
	if q.Manual >= 0 {
		m := &s.manuals[q.Account][q.Manual]
		n += len(m.text) + len(m.sections[q.Section])
	}
	return int64(prefix.Tokens(n) + q.MaxTokens)
}

// setLimits sets the limit of each account to its mean usage plus headroom. The mean
// usage is computed from the account's share and the mean prompt length, not from the
// generated requests.
func (s *Schedule) setLimits(requestsPerSecond float64) {
	const meanBytes = (1-shortRequestRatio)*(minManualBytes+maxManualBytes+minSectionBytes+maxSectionBytes)/2 + (minQuestionBytes+maxQuestionBytes)/2
	const meanTokens = meanBytes/prefix.BytesPerToken + (minOutputTokens+maxOutputTokens)/2
	for _, a := range accounts {
		rate := int64(requestsPerSecond * a.share * meanTokens * rateHeadroom)
		s.Rates = append(s.Rates, rate)
		s.Bursts = append(s.Bursts, rate*burstSeconds)
	}
}

// markWithinRate sets WithinRate by an exact token bucket for each account.
func (s *Schedule) markWithinRate() {
	available := make([]float64, len(accounts))
	lastArrival := make([]time.Duration, len(accounts))
	for a := range accounts {
		available[a] = float64(s.Bursts[a])
	}
	for i := range s.Requests {
		q := &s.Requests[i]
		a := q.Account
		available[a] = min(float64(s.Bursts[a]), available[a]+float64(s.Rates[a])*(q.At-lastArrival[a]).Seconds())
		lastArrival[a] = q.At
		if n := float64(s.reservedTokens(q)); available[a] >= n {
			available[a] -= n
			q.WithinRate = true
		}
	}
}
