// Package load sends an open-loop load to a fleet and measures the latency, the errors
// and the prefix cache hits of its callers. It compares routing policies on the same load
// with hosts and stand-ins in this process.
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

// Scenario is an event in the middle third of a run.
type Scenario string

// The scenarios.
const (
	// ScenarioOrdinary is a steady load.
	ScenarioOrdinary Scenario = "ordinary"
	// ScenarioSurge makes one account send several times its rate in the middle third.
	ScenarioSurge Scenario = "surge"
	// ScenarioMaintenance drains and restarts several engines, one after the other, in the
	// middle third.
	ScenarioMaintenance Scenario = "maintenance"
	// ScenarioRestart restarts one host at the start of the middle third.
	ScenarioRestart Scenario = "restart"
)

// Policies are the routing policies that can be compared; the first is the default.
var Policies = []string{"predicted-ttft", "round-robin", "least-loaded", "prefix-hash"}

const (
	// DefaultDuration gives about 3,000 requests, 200 of them from the smallest account.
	DefaultDuration = 20 * time.Second
	// defaultWarmUp fills the caches and is not measured; the rate ramps up over its first
	// half.
	defaultWarmUp = 12 * time.Second
	// drainTimeout is the wait for responses after the end of the load.
	drainTimeout = 20 * time.Second
	// leavingEngines is the number of engines that the maintenance scenario drains.
	leavingEngines = 3
	// restartedHostIndex is the index of the host that the restart scenario restarts.
	restartedHostIndex = 1
	// bookingInterval is the time between bookings.
	bookingInterval = 500 * time.Millisecond
)

// Options configures a run.
type Options struct {
	Deployment Deployment
	Policies   []string
	Seed       uint64
	// Duration is the length of the measured window; zero means 20 s.
	Duration time.Duration
	// WarmUp is the length of the load before the measured window; zero means 12 s. The
	// rate ramps up over its first half.
	WarmUp   time.Duration
	Scenario Scenario
	Preset   config.Preset
	// KVCopies enables copies of KV caches in the hosts that Run starts.
	KVCopies bool
	// RateFactor scales the request rate; zero means 1.
	RateFactor float64
	// Addresses, Keys and Model specify a running fleet. Without addresses, Run starts
	// hosts and stand-ins. Keys has one client key for each account of the load.
	Addresses []string
	Keys      []string
	Model     string
	// Progress receives a line per policy; nil discards them.
	Progress io.Writer
}

func (o *Options) setDefaultsAndValidate() error {
	if o.Duration == 0 {
		o.Duration = DefaultDuration
	}
	if o.WarmUp == 0 {
		o.WarmUp = defaultWarmUp
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

// Run measures each policy in turn with a new fleet, or the running fleet once.
func Run(ctx context.Context, o Options) ([]Result, error) {
	if err := o.setDefaultsAndValidate(); err != nil {
		return nil, err
	}
	schedule := newSchedule(o.scheduleOptions())
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

func (o *Options) scheduleOptions() scheduleOptions {
	s := scheduleOptions{deployment: o.Deployment, seed: o.Seed, total: o.WarmUp + o.Duration, rateFactor: o.RateFactor, rampUp: o.WarmUp / 2}
	if o.Scenario == ScenarioSurge {
		s.surgeFrom, s.surgeTo = o.WarmUp+o.Duration/phaseCount, o.WarmUp+2*o.Duration/phaseCount
	}
	return s
}

// surgingAccount returns the index of the account that surges, or -1.
func (o *Options) surgingAccount() int {
	if o.Scenario == ScenarioSurge {
		return surgeAccountIndex
	}
	return -1
}

func runRemote(ctx context.Context, o *Options, s *Schedule) (Result, error) {
	c := newCallers(o.Model, o.Keys, nil)
	c.entryAddresses = func() []string { return o.Addresses }
	collected := newCollector()
	generate(ctx, o, s, c, collected)
	r := collected.finish(o.surgingAccount())
	r.Policy, r.Seed, r.Scenario = "unknown", o.Seed, string(o.Scenario)
	return r, ctx.Err()
}

// runPolicy measures one policy on a new fleet.
func runPolicy(ctx context.Context, o *Options, s *Schedule, policy string) (Result, error) {
	f, err := startFleet(ctx, o, s, policy)
	if err != nil {
		return Result{}, err
	}
	defer f.stop()
	c := newCallers(model, f.keys, zoneNames(&o.Deployment))
	c.entryAddresses, c.oracle = f.callerAddresses, f.maxCachedTokens
	c.delay = func(zone int, address string) time.Duration {
		return f.network.delay(zone, f.zoneOf(address), 0) + 2*o.Deployment.callerDelay
	}
	collected := newCollector()
	taskCtx, stopTasks := context.WithCancel(ctx)
	tasks, taskCtx := errgroup.WithContext(taskCtx)
	var before, after []int
	var bookings *bookingLog
	var linkBefore, linkAfter int64
	tasks.Go(func() error {
		if sleep(taskCtx, o.WarmUp) != nil {
			return nil
		}
		before, linkBefore = f.computedTokens(), f.network.linkBytes()
		if sleep(taskCtx, o.Duration) != nil {
			return nil
		}
		after, linkAfter = f.computedTokens(), f.network.linkBytes()
		return nil
	})
	tasks.Go(func() error { return f.runScenario(taskCtx, o) })
	bookings = startBookings(taskCtx, tasks, c, f)
	generate(ctx, o, s, c, collected)
	stopTasks()
	if err := tasks.Wait(); err != nil {
		return Result{}, err
	}
	r := collected.finish(o.surgingAccount())
	r.Policy, r.Deployment, r.Scenario, r.Preset, r.Seed = policy, o.Deployment.Name, string(o.Scenario), string(o.Preset), o.Seed
	r.setUtilization(before, after, o.Duration)
	r.LinkMbps = float64(linkAfter-linkBefore) * 8 / 1e6 / o.Duration.Seconds()
	r.KVCopies, r.KVCopyMB = f.kvCopyTotals()
	r.Bookings, r.BookingRepeats = bookings.count(f.bookingExecutions)
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

// runScenario restarts the host or the engines as the scenario requires.
func (f *localFleet) runScenario(ctx context.Context, o *Options) error {
	third := o.Duration / phaseCount
	if (o.Scenario != ScenarioMaintenance && o.Scenario != ScenarioRestart) || sleep(ctx, o.WarmUp+third) != nil {
		return nil
	}
	if o.Scenario == ScenarioRestart {
		return errors.Wrap(f.restartHost(ctx, restartedHostIndex), "restart a host")
	}
	for i := range leavingEngines {
		if f.removeTemporarily(ctx, i*len(f.engines)/leavingEngines, third/leavingEngines) != nil {
			return nil
		}
	}
	return nil
}

// generate sends each request at its scheduled time, without waiting for earlier ones. It
// returns once all requests have ended, at the latest drainTimeout after the run.
func generate(ctx context.Context, o *Options, s *Schedule, c *callers, collected *collector) {
	start := time.Now()
	ctx, cancel := context.WithDeadline(ctx, start.Add(o.WarmUp+o.Duration+drainTimeout))
	defer cancel()
	var requests sync.WaitGroup
	for i := range s.Requests {
		q := &s.Requests[i]
		if sleep(ctx, time.Until(start.Add(q.At))) != nil {
			break
		}
		measured := q.At >= o.WarmUp
		if measured {
			collected.addGeneratorLag(time.Since(start.Add(q.At)))
		}
		requests.Go(func() {
			outcome := c.send(ctx, s, q, start)
			if measured {
				collected.add(q, int((q.At-o.WarmUp)*phaseCount/o.Duration), outcome)
			}
		})
	}
	requests.Wait()
	c.client.CloseIdleConnections()
}

// bookingLog records the ids of the bookings that were sent.
type bookingLog struct {
	mu  sync.Mutex
	ids []string
}

// startBookings sends bookings until ctx ends, each twice with the same idempotency key.
func startBookings(ctx context.Context, tasks *errgroup.Group, c *callers, f *localFleet) *bookingLog {
	b := &bookingLog{}
	tasks.Go(func() error {
		for n := 0; sleep(ctx, bookingInterval) == nil; n++ {
			id := fmt.Sprintf("booking-%d", n)
			addresses := f.callerAddresses()
			for attempt := range 2 {
				c.book(ctx, addresses[(n+attempt)%len(addresses)], f.deployment.service, id)
			}
			b.mu.Lock()
			b.ids = append(b.ids, id)
			b.mu.Unlock()
		}
		return nil
	})
	return b
}

// book sends one booking. It ignores the response, since the executions are counted at
// the service.
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

func (b *bookingLog) count(executions interface{ ForBooking(string) int }) (sent, repeated int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range b.ids {
		if executions.ForBooking(id) > 1 {
			repeated++
		}
	}
	return len(b.ids), repeated
}
