package load

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/admin"
	"github.com/sequoiaroad/sequoiaroad/internal/fleet"
	"github.com/sequoiaroad/sequoiaroad/internal/host"
	"github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/internal/settings"
	"github.com/sequoiaroad/sequoiaroad/internal/telemetry"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
	"github.com/sequoiaroad/sequoiaroad/standin/engine"
	standinplatform "github.com/sequoiaroad/sequoiaroad/standin/platform"
	"github.com/sequoiaroad/sequoiaroad/standin/service"
)

const (
	model          = "load-model"
	weightsVersion = "1"
	operatorID     = "load"
	loopback       = "127.0.0.1:0"
	secretBytes    = 32

	// locatorTTL and drainGrace are shorter than the defaults, so that a planned stop
	// fits into a run of 20 s.
	locatorTTL = 1500 * time.Millisecond
	drainGrace = 3 * time.Second

	readyTimeout = 30 * time.Second
	readyPoll    = 20 * time.Millisecond
	// limitStart is the wait of new homes of an account after a change of the member
	// list (see section 4 of the design), and the time to fill a burst.
	limitStart = 4500*time.Millisecond + burstSeconds*time.Second
)

// replica is an engine stand-in at its place.
type replica struct {
	id      string
	zone    int
	engine  *engine.Engine
	leaving bool // guarded by devFleet.mu
}

// router is a running host.
type router struct {
	id   string
	zone int
	host *host.Host
	done chan error
	tel  *telemetry.Telemetry
}

// devFleet is a whole deployment in this process.
type devFleet struct {
	deployment *Deployment
	network    *network
	policy     string
	kvCopies   bool
	secret     string
	keys       []string
	platform   *standinplatform.Server
	platformAt string
	store      *platform.Client
	ledger     *service.ExecutionCounter
	servers    []*http.Server

	mu       sync.Mutex
	replicas []*replica
	routers  []*router
}

// startFleet starts stand-ins and hosts and returns once all hosts are members and
// the limits of the accounts have started.
func startFleet(ctx context.Context, o *Options, s *Schedule, policy string) (*devFleet, error) {
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret) // never fails, see crypto/rand
	f := &devFleet{
		deployment: &o.Deployment, network: newNetwork(&o.Deployment), policy: policy, kvCopies: o.KVCopies, secret: hex.EncodeToString(secret),
	}
	if err := f.start(ctx, s, o.Preset); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func (f *devFleet) start(ctx context.Context, s *Schedule, preset config.Preset) (err error) {
	f.platform = standinplatform.New(standinplatform.Options{})
	if f.platformAt, err = f.serve(f.platform); err != nil {
		return err
	}
	document, err := f.startTargets(s, preset)
	if err != nil {
		return err
	}
	if f.store, err = platform.NewClient(platform.Options{BaseURL: f.platformAt}); err != nil {
		return err
	}
	if err := fleet.Bootstrap(ctx, f.store, document); err != nil {
		return err
	}
	for z := range f.deployment.zones {
		for range f.deployment.zones[z].hosts {
			if err := f.startHost(fmt.Sprintf("host-%d", len(f.routers)+1), z); err != nil {
				return err
			}
		}
	}
	if err := f.awaitMembers(ctx); err != nil {
		return err
	}
	return sleep(ctx, limitStart)
}

func (f *devFleet) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", errors.Wrap(err, "listen for a stand-in")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readyTimeout}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }()
	return "http://" + listener.Addr().String(), nil
}

// startTargets starts the targets and returns the first configuration.
func (f *devFleet) startTargets(s *Schedule, preset config.Preset) (*config.Document, error) {
	now := time.Now().UTC()
	d := &config.Document{
		Preset:       preset,
		OperatorKeys: []config.OperatorKey{{ID: operatorID, Hash: config.HashKey(admin.NewOperatorKey()), Role: config.RoleAdmin}},
		Models:       []config.Model{{ID: model, WeightsVersion: weightsVersion}},
		Change:       config.ChangeRecord{Operator: operatorID, At: now, Summary: "first configuration"},
	}
	for i, a := range accounts {
		key := admin.NewClientKey()
		f.keys = append(f.keys, key)
		d.Accounts = append(d.Accounts, config.Account{ID: a.id, RateTokensPerSecond: s.Rates[i], BurstTokens: s.Bursts[i]})
		d.ClientKeys = append(d.ClientKeys, config.ClientKey{ID: a.id, AccountID: a.id, Hash: config.HashKey(key), CreatedAt: now})
	}
	for z := range f.deployment.zones {
		for range f.deployment.zones[z].replicas {
			id := fmt.Sprintf("engine-%02d", len(f.replicas)+1)
			e := engine.New(engine.Options{
				ID: id, Models: []string{model}, WeightsVersion: weightsVersion, CacheBlocks: cacheBlocks,
				PrefillPerToken: prefillPerToken, DecodePerToken: decodePerToken, MaxRunning: maxRunning,
				LoadReportAge: loadLag, EventDelay: eventDelay, EventLossRate: eventLoss,
				StreamRetention: streamRetention, Seed: uint64(len(f.replicas)) + 1,
			})
			f.replicas = append(f.replicas, &replica{id: id, zone: z, engine: e})
			if err := f.addTarget(d, e, config.Target{ID: id, Kind: config.TargetEngine, Models: []string{model}}, z); err != nil {
				return nil, err
			}
		}
	}
	f.ledger = service.NewExecutionCounter()
	for i := range f.deployment.serviceReplicas {
		id := fmt.Sprintf("%s-%d", f.deployment.service, i+1)
		replica := service.New(service.Options{ID: id, Executions: f.ledger})
		t := config.Target{ID: id, Kind: config.TargetService, Service: f.deployment.service}
		if err := f.addTarget(d, replica, t, i%len(f.deployment.zones)); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (f *devFleet) addTarget(d *config.Document, h http.Handler, t config.Target, zone int) error {
	url, err := f.serve(h)
	if err != nil {
		return err
	}
	t.URL, t.Zone, t.Region = url, f.deployment.zones[zone].name, f.deployment.zones[zone].region
	d.Targets = append(d.Targets, t)
	return f.network.place(url, zone)
}

// startHost starts a host, or starts it again under a new incarnation.
func (f *devFleet) startHost(id string, zone int) error {
	s := settings.Defaults()
	s.HostID, s.Zone, s.Region = id, f.deployment.zones[zone].name, f.deployment.zones[zone].region
	s.CallerListen, s.InnerListen, s.AdminListen = loopback, loopback, loopback
	s.PlatformURL, s.FleetSecret, s.RoutingPolicy = f.platformAt, f.secret, f.policy
	s.LocatorTTL, s.DrainGrace, s.KVCopies = locatorTTL, drainGrace, f.kvCopies
	if err := s.Validate(); err != nil {
		return err
	}
	tel, err := telemetry.New(context.Background(), telemetry.Options{LogLevel: "error", LogOutput: os.Stderr})
	if err != nil {
		return err
	}
	client, err := platform.NewClient(platform.Options{BaseURL: f.platformAt})
	if err != nil {
		return err
	}
	h, err := host.New(host.Options{
		Settings: *s, Platform: host.Platform{Store: client, Objects: client, HostList: client}, Telemetry: tel,
		WrapTransport: f.network.transportFrom(zone),
	})
	if err != nil {
		return err
	}
	r := &router{id: id, zone: zone, host: h, done: make(chan error, 1), tel: tel}
	f.platform.SetHost(standinplatform.Host{ID: id, Role: "router", Address: h.Member().InnerAddress, Zone: s.Zone})
	go func() {
		defer client.Close()
		r.done <- h.Run(context.Background())
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.routers {
		if f.routers[i].id == id {
			f.routers[i] = r
			return nil
		}
	}
	f.routers = append(f.routers, r)
	return nil
}

// awaitMembers waits until every host is ready and sees all hosts in the member list.
func (f *devFleet) awaitMembers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		ready := 0
		for _, r := range f.routers {
			if r.host.Ready() && len(r.host.View().Index().Document().Members) == len(f.routers) {
				ready++
			}
		}
		if ready == len(f.routers) {
			return nil
		}
		if err := sleep(ctx, readyPoll); err != nil {
			return errors.Errorf("%d of %d hosts were ready within %v", ready, len(f.routers), readyTimeout)
		}
	}
}

// addresses returns the callers' addresses of all hosts.
func (f *devFleet) addresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for _, r := range f.routers {
		list = append(list, r.host.Member().CallerAddress)
	}
	return list
}

// copies returns the copies of KV caches by the running hosts and their size in MB.
func (f *devFleet) copies() (count uint64, megabytes float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.routers {
		t := r.host.KVCopyTotals()
		count += t.Done
		megabytes += float64(t.Bytes) / 1e6
	}
	return count, megabytes
}

// zoneOf returns the zone of the host with a callers' address.
func (f *devFleet) zoneOf(address string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.routers {
		if r.host.Member().CallerAddress == address {
			return r.zone
		}
	}
	return 0
}

// cached returns the most prompt tokens that any live engine has cached.
func (f *devFleet) cached(chain []prefix.BlockHash) int {
	f.mu.Lock()
	live := make([]*engine.Engine, 0, len(f.replicas))
	for _, r := range f.replicas {
		if !r.leaving {
			live = append(live, r.engine)
		}
	}
	f.mu.Unlock()
	most := 0
	for _, e := range live {
		most = max(most, e.CachedPrefixBlocks(chain))
	}
	return most * prefix.BlockBytes / prefix.BytesPerToken
}

// computedTokens returns the prefill work done so far by each engine.
func (f *devFleet) computedTokens() []int {
	list := make([]int, len(f.replicas))
	for i, r := range f.replicas {
		list[i] = r.engine.Counters().ComputedTokens
	}
	return list
}

// restartHost stops a host as planned and starts it again.
func (f *devFleet) restartHost(ctx context.Context, index int) error {
	f.mu.Lock()
	r := f.routers[index]
	f.mu.Unlock()
	r.host.Drain()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case err := <-r.done:
		if err != nil {
			return errors.Wrapf(err, "stop %s", r.id)
		}
	}
	return f.startHost(r.id, r.zone)
}

// leave makes an engine leave for a time; it returns with an empty cache.
func (f *devFleet) leave(ctx context.Context, index int, away time.Duration) error {
	r := f.replicas[index]
	f.setLeaving(r, true)
	err := sleep(ctx, away)
	r.engine.Crash()
	f.setLeaving(r, false)
	return err
}

func (f *devFleet) setLeaving(r *replica, leaving bool) {
	f.mu.Lock()
	r.leaving = leaving
	f.mu.Unlock()
	state := "live"
	if leaving {
		state = "leaving"
	}
	f.platform.SetHost(standinplatform.Host{ID: r.id, Role: "target", Zone: f.deployment.zones[r.zone].name, State: state})
	r.engine.SetDraining(leaving)
}

// stop ends all hosts and stand-ins. Hosts get a planned stop each, all at once.
func (f *devFleet) stop() {
	for _, r := range f.routers {
		r.host.Drain()
	}
	for _, r := range f.routers {
		select {
		case <-r.done:
		case <-time.After(readyTimeout):
		}
	}
	if f.store != nil {
		f.store.Close()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
}
