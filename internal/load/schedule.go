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

// Shape of the prompts. Lengths are in bytes, at 4 bytes a token.
const (
	minManual, maxManual     = 24_000, 56_000
	minSection, maxSection   = 4_000, 12_000
	minQuestion, maxQuestion = 200, 1_600
	sectionsPerManual        = 4
	minOutput, maxOutput     = 8, 24
	// shortShare of the requests are questions without a shared prefix.
	shortShare = 0.2
	// hotShare of an account's long requests go to its hot manual, which changes
	// every hotPeriod; the others follow a Zipf law with exponent zipfExponent.
	hotShare     = 0.25
	hotPeriod    = 5 * time.Second
	zipfExponent = 0.9
)

// Limits of the accounts, relative to their mean use.
const (
	rateHeadroom = 1.6
	burstSeconds = 4
	// surgeFactor is the offered load of the surging account relative to its usual
	// one, which is about 2.5 times its rate.
	surgeFactor = 4
)

// Request is one request of the schedule.
type Request struct {
	// At is the scheduled arrival, counted from the start of the load.
	At      time.Duration
	Account int
	Zone    int
	// Manual is the index of the manual of the account, -1 for a short request.
	Manual    int
	Section   int
	Question  string
	MaxTokens int
	// WithinRate says that the account's requests up to this one fit its rate and
	// burst.
	WithinRate bool
}

// Schedule is the whole load of a run. The same seed gives the same schedule.
type Schedule struct {
	Requests []Request
	// Rates and Bursts of the accounts in tokens per second and tokens.
	Rates, Bursts []int64
	manuals       [][]manual
}

type manual struct {
	text     string
	sections []string
}

type scheduleOptions struct {
	deployment Deployment
	seed       uint64
	total      time.Duration
	// surgeFrom and surgeTo bound the surge; equal values mean none.
	surgeFrom, surgeTo time.Duration
	rateFactor         float64
	// rampUp is the time over which the rate grows to its full value, since a fleet
	// with empty caches can't serve the full rate.
	rampUp time.Duration
}

// Streams of random numbers, so that a surge adds requests and changes no others.
const (
	streamTexts = iota + 1
	streamBase
	streamSurge
	streamRamp
)

// rampStart is the share of the rate at the start of the ramp.
const rampStart = 0.1

func newSchedule(o scheduleOptions) *Schedule {
	s := &Schedule{}
	s.writeManuals(o)
	rate := o.deployment.requestsPerSecond * o.rateFactor
	base, ramp := rand.New(rand.NewPCG(o.seed, streamBase)), rand.New(rand.NewPCG(o.seed, streamRamp))
	for at := exponential(base, rate); at < o.total; at += exponential(base, rate) {
		q := s.request(base, o, at, chooseAccount(base))
		if at >= o.rampUp || ramp.Float64() < rampStart+(1-rampStart)*at.Seconds()/o.rampUp.Seconds() {
			s.Requests = append(s.Requests, q)
		}
	}
	if o.surgeTo > o.surgeFrom {
		surge := rand.New(rand.NewPCG(o.seed, streamSurge))
		extra := rate * accounts[surgeAccount].share * (surgeFactor - 1)
		for at := o.surgeFrom + exponential(surge, extra); at < o.surgeTo; at += exponential(surge, extra) {
			s.Requests = append(s.Requests, s.request(surge, o, at, surgeAccount))
		}
		slices.SortStableFunc(s.Requests, func(a, b Request) int { return int(a.At - b.At) })
	}
	s.setLimits(rate)
	s.markWithinRate()
	return s
}

func exponential(r *rand.Rand, rate float64) time.Duration {
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

func (s *Schedule) request(r *rand.Rand, o scheduleOptions, at time.Duration, account int) Request {
	q := Request{
		At: at, Account: account, Zone: chooseZone(r, &o.deployment), Manual: -1,
		Question:  text(r, between(r, minQuestion, maxQuestion)),
		MaxTokens: between(r, minOutput, maxOutput),
	}
	if r.Float64() < shortShare {
		return q
	}
	count := len(s.manuals[account])
	if r.Float64() < hotShare {
		q.Manual = hotManual(at, account, count)
	} else {
		q.Manual = zipf(r, count)
	}
	q.Section = zipf(r, sectionsPerManual)
	return q
}

// hotManual goes through the manuals from the least asked one up, each account
// shifted, so that a manual that becomes hot is held by few engines.
func hotManual(at time.Duration, account, count int) int {
	turn := int(at/hotPeriod) + account
	return count - 1 - turn%count
}

// chooseZone spreads callers over the zones as the replicas are.
func chooseZone(r *rand.Rand, d *Deployment) int {
	n := r.IntN(d.replicas())
	for i, z := range d.zones {
		if n -= z.replicas; n < 0 {
			return i
		}
	}
	return 0
}

func zipf(r *rand.Rand, count int) int {
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

func between(r *rand.Rand, low, high int) int { return low + r.IntN(high-low+1) }

func (s *Schedule) writeManuals(o scheduleOptions) {
	r := rand.New(rand.NewPCG(o.seed, streamTexts))
	for _, a := range accounts {
		count := max(1, int(math.Round(float64(o.deployment.manuals)*a.share)))
		list := make([]manual, count)
		for i := range list {
			list[i].text = text(r, between(r, minManual, maxManual))
			for range sectionsPerManual {
				list[i].sections = append(list[i].sections, text(r, between(r, minSection, maxSection)))
			}
		}
		s.manuals = append(s.manuals, list)
	}
}

// text returns n bytes of random words that need no escapes in JSON.
func text(r *rand.Rand, n int) string {
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

// tokens is what a router reserves for a request.
func (s *Schedule) tokens(q *Request) int64 {
	n := len(q.Question)
	if q.Manual >= 0 {
		m := &s.manuals[q.Account][q.Manual]
		n += len(m.text) + len(m.sections[q.Section])
	}
	return int64(prefix.Tokens(n) + q.MaxTokens)
}

// setLimits gives each account headroom over its mean use, which follows from its
// share and the mean prompt length and not from the drawn requests.
func (s *Schedule) setLimits(requestsPerSecond float64) {
	const meanBytes = (1-shortShare)*(minManual+maxManual+minSection+maxSection)/2 + (minQuestion+maxQuestion)/2
	const meanTokens = meanBytes/prefix.BytesPerToken + (minOutput+maxOutput)/2
	for _, a := range accounts {
		rate := int64(requestsPerSecond * a.share * meanTokens * rateHeadroom)
		s.Rates = append(s.Rates, rate)
		s.Bursts = append(s.Bursts, rate*burstSeconds)
	}
}

// markWithinRate runs the requests of each account through one exact token bucket.
func (s *Schedule) markWithinRate() {
	level := make([]float64, len(accounts))
	last := make([]time.Duration, len(accounts))
	for a := range accounts {
		level[a] = float64(s.Bursts[a])
	}
	for i := range s.Requests {
		q := &s.Requests[i]
		a := q.Account
		level[a] = min(float64(s.Bursts[a]), level[a]+float64(s.Rates[a])*(q.At-last[a]).Seconds())
		last[a] = q.At
		if n := float64(s.tokens(q)); level[a] >= n {
			level[a] -= n
			q.WithinRate = true
		}
	}
}
