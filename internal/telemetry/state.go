package telemetry

import (
	"context"
	"math"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// State holds the values that a host exports in addition to its request metrics. Totals
// count since the start of the process.
type State struct {
	ConfigurationRevision uint64
	// EvidenceAge is the age of the newest evidence that the revision is the newest;
	// math.MaxInt64 means that there is none.
	EvidenceAge      time.Duration
	Fresh            bool
	HostsLive        int
	HostsListed      int
	StreamsOpen      int64
	RingDrops        uint64
	OpenClaims       int64
	WaitingRecords   int64
	CacheIndexBlocks int
	Copies           CopyState
	Store            StoreState
	Targets          []TargetState
	Accounts         []AccountState
}

// CopyState describes copies of KV caches between engines. Changed counts copies that were
// abandoned because the epoch or the weights of either engine changed.
type CopyState struct {
	Done, Failed, Changed uint64
	Tokens, Bytes         uint64
}

// StoreState describes the calls to the platform.
type StoreState struct {
	Reads, Writes StoreCalls
	BreakerOpen   bool
}

// StoreCalls describes the calls of one kind.
type StoreCalls struct {
	Calls, Failures, Refused uint64
	// BudgetUsed is the used share of the burst: from 0 to 1, and above 1 while calls
	// wait.
	BudgetUsed float64
}

// TargetState describes the traffic to one target. Plain services have no queue, no
// in-flight limit and no cache events.
type TargetState struct {
	TargetID                string
	Queued, QueuedTokens    int
	PrefillWaiters          int
	InFlight, InFlightLimit int
	Ejections, EventGaps    uint64
}

// AccountState describes the tokens of one client account at this host.
type AccountState struct {
	AccountID                string
	Level, Outstanding, Held int64
	Granted, Reserved        int64
	Refused                  int64
	Waiting                  int
}

// stateInstruments collects the instruments and the functions that observe them.
type stateInstruments struct {
	meter       metric.Meter
	instruments []metric.Observable
	observe     []func(metric.Observer, *State)
	err         error
}

// ExportState registers the metrics of State. It calls read each time the metrics are
// collected.
func (t *Telemetry) ExportState(read func() State) error {
	i := &stateInstruments{meter: t.Meter}
	i.host()
	i.copies()
	i.store()
	i.targets()
	i.accounts()
	if i.err != nil {
		return errors.Wrap(i.err, "define metrics")
	}
	_, err := t.Meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		s := read()
		for _, observe := range i.observe {
			observe(o, &s)
		}
		return nil
	}, i.instruments...)
	return errors.Wrap(err, "export state")
}

// point is one value of an instrument.
type point[T int64 | float64] struct {
	value      T
	attributes []attribute.KeyValue
}

func singlePoint[T int64 | float64](value T, attributes ...attribute.KeyValue) []point[T] {
	return []point[T]{{value, attributes}}
}

func (i *stateInstruments) add(instrument metric.Observable, err error, observe func(metric.Observer, *State)) {
	if err != nil {
		i.err = err
		return
	}
	i.instruments = append(i.instruments, instrument)
	i.observe = append(i.observe, observe)
}

func (i *stateInstruments) gauge(name, unit, description string, values func(*State) []point[int64]) {
	g, err := i.meter.Int64ObservableGauge("sequoiaroad."+name, metric.WithUnit(unit), metric.WithDescription(description))
	i.add(g, err, func(o metric.Observer, s *State) {
		for _, p := range values(s) {
			o.ObserveInt64(g, p.value, metric.WithAttributes(p.attributes...))
		}
	})
}

func (i *stateInstruments) floatGauge(name, unit, description string, values func(*State) []point[float64]) {
	g, err := i.meter.Float64ObservableGauge("sequoiaroad."+name, metric.WithUnit(unit), metric.WithDescription(description))
	i.add(g, err, func(o metric.Observer, s *State) {
		for _, p := range values(s) {
			o.ObserveFloat64(g, p.value, metric.WithAttributes(p.attributes...))
		}
	})
}

func (i *stateInstruments) counter(name, unit, description string, values func(*State) []point[int64]) {
	c, err := i.meter.Int64ObservableCounter("sequoiaroad."+name, metric.WithUnit(unit), metric.WithDescription(description))
	i.add(c, err, func(o metric.Observer, s *State) {
		for _, p := range values(s) {
			o.ObserveInt64(c, p.value, metric.WithAttributes(p.attributes...))
		}
	})
}

func boolValue(set bool) int64 {
	if set {
		return 1
	}
	return 0
}

func evidenceSeconds(age time.Duration) float64 {
	if age == math.MaxInt64 {
		return math.Inf(1)
	}
	return age.Seconds()
}

func (i *stateInstruments) host() {
	i.gauge("configuration_revision", "{revision}", "configuration revision applied at this host",
		func(s *State) []point[int64] { return singlePoint(int64(s.ConfigurationRevision)) })
	i.floatGauge("configuration_evidence_age", "s", "age of the newest evidence that the applied revision is the newest",
		func(s *State) []point[float64] { return singlePoint(evidenceSeconds(s.EvidenceAge)) })
	i.gauge("fresh", "{host}", "1 while this host may serve keyed requests",
		func(s *State) []point[int64] { return singlePoint(boolValue(s.Fresh)) })
	i.gauge("hosts_live", "{host}", "hosts that answered a probe lately, this one included",
		func(s *State) []point[int64] { return singlePoint(int64(s.HostsLive)) })
	i.gauge("hosts_listed", "{host}", "hosts that the applied revision lists as members",
		func(s *State) []point[int64] { return singlePoint(int64(s.HostsListed)) })
	i.gauge("streams_open", "{stream}", "streams to callers that have begun and not ended",
		func(s *State) []point[int64] { return singlePoint(s.StreamsOpen) })
	i.counter("wire_ring_drops", "{message}", "messages between hosts that full send rings dropped or refused",
		func(s *State) []point[int64] { return singlePoint(int64(s.RingDrops)) })
	i.gauge("idempotency_open_claims", "{request}", "non-idempotent requests of this host whose record is not written yet",
		func(s *State) []point[int64] { return singlePoint(s.OpenClaims) })
	i.gauge("idempotency_waiting_records", "{request}", "open claims whose request has ended and whose record waits for the store",
		func(s *State) []point[int64] { return singlePoint(s.WaitingRecords) })
	i.gauge("cache_index_blocks", "{block}", "entries of the index of cached blocks",
		func(s *State) []point[int64] { return singlePoint(int64(s.CacheIndexBlocks)) })
}

func (i *stateInstruments) copies() {
	i.counter("kv_copies", "{copy}", "copies of KV caches between engines that have ended, by outcome", func(s *State) []point[int64] {
		outcome := func(name string, count uint64) point[int64] {
			return point[int64]{int64(count), []attribute.KeyValue{attribute.String("outcome", name)}}
		}
		return []point[int64]{outcome("done", s.Copies.Done), outcome("failed", s.Copies.Failed), outcome("changed", s.Copies.Changed)}
	})
	i.counter("kv_copied_tokens", "{token}", "prompt tokens whose KV cache was copied between engines",
		func(s *State) []point[int64] { return singlePoint(int64(s.Copies.Tokens)) })
	i.counter("kv_copy", "By", "bytes of KV caches that were read from engines for copies",
		func(s *State) []point[int64] { return singlePoint(int64(s.Copies.Bytes)) })
}

func (i *stateInstruments) store() {
	perKind := func(value func(*StoreCalls) int64) func(*State) []point[int64] {
		return func(s *State) []point[int64] {
			return append(singlePoint(value(&s.Store.Reads), attribute.String("kind", "read")),
				singlePoint(value(&s.Store.Writes), attribute.String("kind", "write"))...)
		}
	}
	i.counter("store_calls", "{call}", "calls sent to the platform's service, by kind",
		perKind(func(c *StoreCalls) int64 { return int64(c.Calls) }))
	i.counter("store_failures", "{call}", "calls that the platform's service did not answer, or answered with an error of its own, by kind",
		perKind(func(c *StoreCalls) int64 { return int64(c.Failures) }))
	i.counter("store_refused_calls", "{call}", "calls that the circuit breaker or the budget kept from being sent, by kind",
		perKind(func(c *StoreCalls) int64 { return int64(c.Refused) }))
	i.floatGauge("store_budget_use", "1", "share of the call budget's burst that is used up, above 1 while calls wait, by kind",
		func(s *State) []point[float64] {
			return append(singlePoint(s.Store.Reads.BudgetUsed, attribute.String("kind", "read")),
				singlePoint(s.Store.Writes.BudgetUsed, attribute.String("kind", "write"))...)
		})
	i.gauge("store_breaker_open", "{breaker}", "1 while the circuit breaker refuses calls of the platform's service",
		func(s *State) []point[int64] { return singlePoint(boolValue(s.Store.BreakerOpen)) })
}

func (i *stateInstruments) targets() {
	perTarget := func(value func(*TargetState) int64) func(*State) []point[int64] {
		return func(s *State) []point[int64] {
			points := make([]point[int64], len(s.Targets))
			for k := range s.Targets {
				points[k] = point[int64]{value(&s.Targets[k]), []attribute.KeyValue{attribute.String("target", s.Targets[k].TargetID)}}
			}
			return points
		}
	}
	i.gauge("target_queued_requests", "{request}", "requests that wait at this host, by target",
		perTarget(func(t *TargetState) int64 { return int64(t.Queued) }))
	i.gauge("target_queued_tokens", "{token}", "uncached prompt tokens of the requests that wait at this host, by target",
		perTarget(func(t *TargetState) int64 { return int64(t.QueuedTokens) }))
	i.gauge("target_prefill_waiters", "{request}", "requests that wait for another one to compute their shared prefix, by target",
		perTarget(func(t *TargetState) int64 { return int64(t.PrefillWaiters) }))
	i.gauge("target_requests_in_flight", "{request}", "requests of this host at the target, by target",
		perTarget(func(t *TargetState) int64 { return int64(t.InFlight) }))
	i.gauge("target_in_flight_limit", "{request}", "requests that this host may have at an engine, by target",
		perTarget(func(t *TargetState) int64 { return int64(t.InFlightLimit) }))
	i.counter("target_ejections", "{ejection}", "ejections after failures in a row, by target",
		perTarget(func(t *TargetState) int64 { return int64(t.Ejections) }))
	i.counter("cache_event_gaps", "{gap}", "losses of cache events that were noticed and led to a resync, by target",
		perTarget(func(t *TargetState) int64 { return int64(t.EventGaps) }))
}

func (i *stateInstruments) accounts() {
	perAccount := func(value func(*AccountState) int64) func(*State) []point[int64] {
		return func(s *State) []point[int64] {
			points := make([]point[int64], len(s.Accounts))
			for k := range s.Accounts {
				points[k] = point[int64]{value(&s.Accounts[k]), []attribute.KeyValue{attribute.String("account", s.Accounts[k].AccountID)}}
			}
			return points
		}
	}
	i.gauge("account_level", "{token}", "tokens in this host's pool of the account, by account",
		perAccount(func(a *AccountState) int64 { return a.Level }))
	i.gauge("account_outstanding", "{token}", "tokens granted to other hosts whose grants have not ended, by account",
		perAccount(func(a *AccountState) int64 { return a.Outstanding }))
	i.gauge("account_held", "{token}", "tokens granted to this host by others and not spent, by account",
		perAccount(func(a *AccountState) int64 { return a.Held }))
	i.counter("account_granted", "{token}", "tokens granted to other hosts, by account",
		perAccount(func(a *AccountState) int64 { return a.Granted }))
	i.counter("account_reserved", "{token}", "tokens reserved by requests at this host, by account",
		perAccount(func(a *AccountState) int64 { return a.Reserved }))
	i.counter("account_refused", "{request}", "requests refused for lack of tokens at this host, by account",
		perAccount(func(a *AccountState) int64 { return a.Refused }))
	i.gauge("account_waiting_requests", "{request}", "requests that wait for tokens at this host, by account",
		perAccount(func(a *AccountState) int64 { return int64(a.Waiting) }))
}
