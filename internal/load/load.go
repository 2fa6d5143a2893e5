// Package load sends an open-loop load to a fleet and measures what its callers see.
// With stand-ins in this process it compares routing policies on the same load.
package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

// Scenario names what happens in the middle of a run.
type Scenario string

// The scenarios.
const (
	// ScenarioOrdinary is a steady load.
	ScenarioOrdinary Scenario = "ordinary"
	// ScenarioSurge makes one account send several times its rate in the middle third.
	ScenarioSurge Scenario = "surge"
	// ScenarioMaintenance makes targets leave one after the other in the middle third.
	ScenarioMaintenance Scenario = "maintenance"
	// ScenarioRestart restarts one host at the start of the middle third.
	ScenarioRestart Scenario = "restart"
)

// Policies are the routing policies that can be compared; the first is the default.
var Policies = []string{"predicted-ttft", "round-robin", "least-loaded", "prefix-hash"}

const (
	// DefaultDuration gives about 3,000 requests and 200 of the smallest account.
	DefaultDuration = 20 * time.Second
	// warmUp fills the caches and is not measured; the rate grows over its first half.
	warmUp = 12 * time.Second
	// drainTime is the wait for answers after the last arrival.
	drainTime = 20 * time.Second
	// leavingReplicas leave in the maintenance scenario.
	leavingReplicas = 3
	// restartedHost is the index of the host that the restart scenario restarts.
	restartedHost = 1
	// bookingInterval is the pause between two bookings.
	bookingInterval = 500 * time.Millisecond
)

// Options are the settings of a run.
type Options struct {
	Deployment Deployment
	Policies   []string
	Seed       uint64
	// Duration of the measured window; zero means 20 s.
	Duration time.Duration
	// WarmUp before the measured window; zero means 12 s; the rate grows over its first half.
	WarmUp   time.Duration
	Scenario Scenario
	Preset   config.Preset
	// KVCopies switches copies of KV caches on in hosts that are started.
	KVCopies bool
	// RateFactor scales the request rate; zero means 1.
	RateFactor float64
	// Addresses, Keys and Model name a running fleet; without addresses, stand-ins
	// are started. Keys has one client key for each account of the load.
	Addresses []string
	Keys      []string
	Model     string
	// Progress takes a line per policy; nil means none.
	Progress io.Writer
}

func (o *Options) complete() error {
	if o.Duration == 0 {
		o.Duration = DefaultDuration
	}
	if o.WarmUp == 0 {
		o.WarmUp = warmUp
	}
	if o.RateFactor == 0 {
		o.RateFactor = 1
	}
	if o.Scenario == "" {
		o.Scenario = ScenarioOrdinary
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	if !slices.Contains([]Scenario{ScenarioOrdinary, ScenarioSurge, ScenarioMaintenance, ScenarioRestart}, o.Scenario) {
		return errors.Errorf("scenario %q is not ordinary, surge, maintenance or restart", o.Scenario)
	}
	for _, p := range o.Policies {
		if !slices.Contains(Policies, p) {
			return errors.Errorf("policy %q is not one of %s", p, strings.Join(Policies, ", "))
		}
	}
	if len(o.Addresses) == 0 {
		return nil
	}
	if len(o.Keys) != len(accounts) || o.Model == "" {
		return errors.Errorf("a running fleet needs a model and %d client keys, one per account", len(accounts))
	}
	if o.Scenario == ScenarioMaintenance || o.Scenario == ScenarioRestart {
		return errors.Errorf("scenario %q needs stand-ins", o.Scenario)
	}
	return nil
}

// Run measures each policy in turn, or the running fleet once.
func Run(ctx context.Context, o Options) ([]Result, error) {
	if err := o.complete(); err != nil {
		return nil, err
	}
	schedule := newSchedule(o.schedule())
	if len(o.Addresses) > 0 {
		result, err := runRemote(ctx, &o, schedule)
		return []Result{result}, err
	}
	var results []Result
	for _, policy := range o.Policies {
		fmt.Fprintf(o.Progress, "%s: %d requests in %v\n", policy, len(schedule.Requests), o.WarmUp+o.Duration)
		result, err := runPolicy(ctx, &o, schedule, policy)
		if err != nil {
			return results, errors.Wrap(err, policy)
		}
		results = append(results, result)
	}
	return results, nil
}

func (o *Options) schedule() scheduleOptions {
	s := scheduleOptions{deployment: o.Deployment, seed: o.Seed, total: o.WarmUp + o.Duration, rateFactor: o.RateFactor, rampUp: o.WarmUp / 2}
	if o.Scenario == ScenarioSurge {
		s.surgeFrom, s.surgeTo = o.WarmUp+o.Duration/phases, o.WarmUp+2*o.Duration/phases
	}
	return s
}

func (o *Options) surging() int {
	if o.Scenario == ScenarioSurge {
		return surgeAccount
	}
	return -1
}

func runRemote(ctx context.Context, o *Options, s *Schedule) (Result, error) {
	c := newCallers(o.Model, o.Keys, nil)
	c.entry = func() []string { return o.Addresses }
	t := newTally()
	generate(ctx, o, s, c, t)
	r := t.finish(o.surging())
	r.Policy, r.Seed, r.Scenario = "unknown", o.Seed, string(o.Scenario)
	return r, ctx.Err()
}

// runPolicy measures one policy on a fresh fleet.
func runPolicy(ctx context.Context, o *Options, s *Schedule, policy string) (Result, error) {
	f, err := startFleet(ctx, o, s, policy)
	if err != nil {
		return Result{}, err
	}
	defer f.stop()
	c := newCallers(model, f.keys, zoneNames(&o.Deployment))
	c.entry, c.cached = f.addresses, f.cached
	c.delay = func(zone int, address string) time.Duration {
		return f.network.delay(zone, f.zoneOf(address), 0) + 2*o.Deployment.toCallers
	}
	t := newTally()
	side, stopSide := context.WithCancel(ctx)
	tasks, side := errgroup.WithContext(side)
	var before, after []int
	var bookings *bookings
	var linkBefore, linkAfter int64
	tasks.Go(func() error {
		if sleep(side, o.WarmUp) != nil {
			return nil
		}
		before, linkBefore = f.computedTokens(), f.network.linkBytes()
		if sleep(side, o.Duration) != nil {
			return nil
		}
		after, linkAfter = f.computedTokens(), f.network.linkBytes()
		return nil
	})
	tasks.Go(func() error { return f.play(side, o) })
	bookings = startBookings(side, tasks, c, f)
	generate(ctx, o, s, c, t)
	stopSide()
	if err := tasks.Wait(); err != nil {
		return Result{}, err
	}
	r := t.finish(o.surging())
	r.Policy, r.Deployment, r.Scenario, r.Preset, r.Seed = policy, o.Deployment.Name, string(o.Scenario), string(o.Preset), o.Seed
	r.setUtilization(before, after, o.Duration)
	r.LinkMbps = float64(linkAfter-linkBefore) * 8 / 1e6 / o.Duration.Seconds()
	r.KVCopies, r.KVCopyMB = f.copies()
	r.Bookings, r.BookingRepeats = bookings.count(f.ledger)
	return r, ctx.Err()
}

func zoneNames(d *Deployment) []string {
	var names []string
	for _, z := range d.zones {
		names = append(names, z.name)
	}
	return names
}

func (r *Result) setUtilization(before, after []int, window time.Duration) {
	for i := range after {
		busy := float64(after[i]-before[i]) * prefillPerToken.Seconds() / window.Seconds()
		r.EngineUtilization += busy / float64(len(after))
		r.MaxEngineUtilization = max(r.MaxEngineUtilization, busy)
	}
}

// play carries out what the scenario does to the fleet.
func (f *devFleet) play(ctx context.Context, o *Options) error {
	third := o.Duration / phases
	if (o.Scenario != ScenarioMaintenance && o.Scenario != ScenarioRestart) || sleep(ctx, o.WarmUp+third) != nil {
		return nil
	}
	if o.Scenario == ScenarioRestart {
		return errors.Wrap(f.restartHost(ctx, restartedHost), "restart a host")
	}
	for i := range leavingReplicas {
		if f.leave(ctx, i*len(f.replicas)/leavingReplicas, third/leavingReplicas) != nil {
			return nil
		}
	}
	return nil
}

// generate sends the requests at their times, whatever becomes of earlier ones, and
// returns once all have ended or drainTime has passed.
func generate(ctx context.Context, o *Options, s *Schedule, c *callers, t *tally) {
	start := time.Now()
	ctx, cancel := context.WithDeadline(ctx, start.Add(o.WarmUp+o.Duration+drainTime))
	defer cancel()
	var all sync.WaitGroup
	for i := range s.Requests {
		q := &s.Requests[i]
		if sleep(ctx, time.Until(start.Add(q.At))) != nil {
			break
		}
		measured := q.At >= o.WarmUp
		if measured {
			t.addLag(time.Since(start.Add(q.At)))
		}
		all.Go(func() {
			outcome := c.send(ctx, s, q, start)
			if measured {
				t.add(q, int((q.At-o.WarmUp)*phases/o.Duration), outcome)
			}
		})
	}
	all.Wait()
	c.client.CloseIdleConnections()
}

// bookings counts calls of the plain service.
type bookings struct {
	mu  sync.Mutex
	ids []string
}

// startBookings sends bookings with idempotency keys until ctx ends, each twice.
func startBookings(ctx context.Context, tasks *errgroup.Group, c *callers, f *devFleet) *bookings {
	b := &bookings{}
	tasks.Go(func() error {
		for n := 0; sleep(ctx, bookingInterval) == nil; n++ {
			id := fmt.Sprintf("booking-%d", n)
			addresses := f.addresses()
			for copyOf := range 2 {
				c.book(ctx, addresses[(n+copyOf)%len(addresses)], f.deployment.service, id)
			}
			b.mu.Lock()
			b.ids = append(b.ids, id)
			b.mu.Unlock()
		}
		return nil
	})
	return b
}

// book sends one booking; what it did is read from the service's ledger.
func (c *callers) book(ctx context.Context, address, service, id string) {
	body := strings.NewReader(fmt.Sprintf(`{"booking_id":%q}`, id))
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/services/"+service+"/bookings", body)
	if err != nil {
		return
	}
	r.Header.Set("Authorization", "Bearer "+c.keys[0])
	r.Header.Set("Idempotency-Key", id)
	r.Header.Set("Content-Type", "application/json")
	if response, err := c.client.Do(r); err == nil {
		_ = response.Body.Close()
	}
}

func (b *bookings) count(ledger interface{ ForBooking(string) int }) (sent, repeated int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range b.ids {
		if ledger.ForBooking(id) > 1 {
			repeated++
		}
	}
	return len(b.ids), repeated
}
