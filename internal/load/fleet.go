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

	// locatorTTL and drainGrace are shorter than their defaults, so that a planned stop
	// fits into a run of 20 s.
	locatorTTL = 1500 * time.Millisecond
	drainGrace = 3 * time.Second

	readyTimeout = 30 * time.Second
	readyPoll    = 20 * time.Millisecond
	// limitWarmUp is the time for which a new home of an account (a host with a share of
	// its limit) waits after a change of the member list (see section 4 of the design),
	// plus the time to fill a burst.
	limitWarmUp = 4500*time.Millisecond + burstSeconds*time.Second
)

// engineReplica is an engine stand-in and its zone.
type engineReplica struct {
	id      string
	zone    int
	engine  *engine.Engine
	leaving bool // guarded by localFleet.mu
}

// runningHost is a host that runs in this process.
type runningHost struct {
	id      string
	zone    int
	host    *host.Host
	stopped chan error
	tel     *telemetry.Telemetry
}

// localFleet is a deployment that runs in this process.
type localFleet struct {
	deployment        *Deployment
	network           *network
	policy            string
	kvCopies          bool
	secret            string
	keys              []string
	platform          *standinplatform.Server
	platformURL       string
	store             *platform.Client
	bookingExecutions *service.ExecutionCounter
	servers           []*http.Server

	mu      sync.Mutex
	engines []*engineReplica
	hosts   []*runningHost
}

// startFleet starts the stand-ins and hosts. It returns once all hosts are members and
// the token buckets of the accounts are full.
func startFleet(ctx context.Context, o *Options, s *Schedule, policy string) (*localFleet, error) {
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret) // never fails, see crypto/rand
	f := &localFleet{
		deployment: &o.Deployment, network: newNetwork(&o.Deployment), policy: policy, kvCopies: o.KVCopies, secret: hex.EncodeToString(secret),
	}
	if err := f.start(ctx, s, o.Preset); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func (f *localFleet) start(ctx context.Context, s *Schedule, preset config.Preset) (err error) {
	f.platform = standinplatform.New(standinplatform.Options{})
	if f.platformURL, err = f.serveStandin(f.platform); err != nil {
		return err
	}
	document, err := f.startTargets(s, preset)
	if err != nil {
		return err
	}
	if f.store, err = platform.NewClient(platform.Options{BaseURL: f.platformURL}); err != nil {
		return err
	}
	if err := fleet.Bootstrap(ctx, f.store, document); err != nil {
		return err
	}
	for z := range f.deployment.zones {
		for range f.deployment.zones[z].hosts {
			if err := f.startHost(fmt.Sprintf("host-%d", len(f.hosts)+1), z); err != nil {
				return err
			}
		}
	}
	if err := f.awaitMembers(ctx); err != nil {
		return err
	}
	return sleep(ctx, limitWarmUp)
}

func (f *localFleet) serveStandin(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", errors.Wrap(err, "listen for a stand-in")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readyTimeout}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }()
	return "http://" + listener.Addr().String(), nil
}

// startTargets starts the targets and returns the initial configuration.
func (f *localFleet) startTargets(s *Schedule, preset config.Preset) (*config.Document, error) {
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
		for range f.deployment.zones[z].engines {
			id := fmt.Sprintf("engine-%02d", len(f.engines)+1)
			e := engine.New(engine.Options{
				ID: id, Models: []string{model}, WeightsVersion: weightsVersion, CacheBlocks: cacheBlocks,
				PrefillPerToken: prefillPerToken, DecodePerToken: decodePerToken, MaxRunning: maxRunning,
				LoadReportAge: loadReportAge, EventDelay: eventDelay, EventLossRate: eventLossRate,
				StreamRetention: streamRetention, Seed: uint64(len(f.engines)) + 1,
			})
			f.engines = append(f.engines, &engineReplica{id: id, zone: z, engine: e})
			if err := f.addTarget(d, e, config.Target{ID: id, Kind: config.TargetEngine, Models: []string{model}}, z); err != nil {
				return nil, err
			}
		}
	}
	f.bookingExecutions = service.NewExecutionCounter()
	for i := range f.deployment.serviceReplicas {
		id := fmt.Sprintf("%s-%d", f.deployment.service, i+1)
		s := service.New(service.Options{ID: id, Executions: f.bookingExecutions})
		t := config.Target{ID: id, Kind: config.TargetService, Service: f.deployment.service}
		if err := f.addTarget(d, s, t, i%len(f.deployment.zones)); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (f *localFleet) addTarget(d *config.Document, h http.Handler, t config.Target, zone int) error {
	url, err := f.serveStandin(h)
	if err != nil {
		return err
	}
	t.URL, t.Zone, t.Region = url, f.deployment.zones[zone].name, f.deployment.zones[zone].region
	d.Targets = append(d.Targets, t)
	return f.network.setZone(url, zone)
}

// startHost starts a host, or restarts it with a new incarnation.
func (f *localFleet) startHost(id string, zone int) error {
	s := settings.Defaults()
	s.HostID, s.Zone, s.Region = id, f.deployment.zones[zone].name, f.deployment.zones[zone].region
	s.CallerListen, s.InnerListen, s.AdminListen = loopback, loopback, loopback
	s.PlatformURL, s.FleetSecret, s.RoutingPolicy = f.platformURL, f.secret, f.policy
	s.LocatorTTL, s.DrainGrace, s.KVCopies = locatorTTL, drainGrace, f.kvCopies
	if err := s.Validate(); err != nil {
		return err
	}
	tel, err := telemetry.New(context.Background(), telemetry.Options{LogLevel: "error", LogOutput: os.Stderr})
	if err != nil {
		return err
	}
	client, err := platform.NewClient(platform.Options{BaseURL: f.platformURL})
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
	running := &runningHost{id: id, zone: zone, host: h, stopped: make(chan error, 1), tel: tel}
	f.platform.SetHost(standinplatform.Host{ID: id, Role: "router", Address: h.Member().InnerAddress, Zone: s.Zone})
	go func() {
		defer client.Close()
		running.stopped <- h.Run(context.Background())
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.hosts {
		if f.hosts[i].id == id {
			f.hosts[i] = running
			return nil
		}
	}
	f.hosts = append(f.hosts, running)
	return nil
}

// awaitMembers waits until every host is ready and has all hosts in its member list.
func (f *localFleet) awaitMembers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		ready := 0
		for _, h := range f.hosts {
			if h.host.Ready() && len(h.host.View().Index().Document().Members) == len(f.hosts) {
				ready++
			}
		}
		if ready == len(f.hosts) {
			return nil
		}
		if err := sleep(ctx, readyPoll); err != nil {
			return errors.Errorf("%d of %d hosts were ready within %v", ready, len(f.hosts), readyTimeout)
		}
	}
}

// callerAddresses returns the addresses at which the hosts serve callers.
func (f *localFleet) callerAddresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addresses []string
	for _, h := range f.hosts {
		addresses = append(addresses, h.host.Member().CallerAddress)
	}
	return addresses
}

// kvCopyTotals returns the number of KV cache copies by the running hosts and their size
// in MB.
func (f *localFleet) kvCopyTotals() (count uint64, megabytes float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hosts {
		t := h.host.KVCopyTotals()
		count += t.Done
		megabytes += float64(t.Bytes) / 1e6
	}
	return count, megabytes
}

// zoneOf returns the zone of the host that serves callers at the address.
func (f *localFleet) zoneOf(address string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hosts {
		if h.host.Member().CallerAddress == address {
			return h.zone
		}
	}
	return 0
}

// maxCachedTokens returns the most tokens of a prompt that any live engine has cached.
func (f *localFleet) maxCachedTokens(chain []prefix.BlockHash) int {
	f.mu.Lock()
	live := make([]*engine.Engine, 0, len(f.engines))
	for _, e := range f.engines {
		if !e.leaving {
			live = append(live, e.engine)
		}
	}
	f.mu.Unlock()
	maxBlocks := 0
	for _, e := range live {
		maxBlocks = max(maxBlocks, e.CachedPrefixBlocks(chain))
	}
	return maxBlocks * prefix.BlockBytes / prefix.BytesPerToken
}

// computedTokens returns the number of prompt tokens that each engine has computed.
func (f *localFleet) computedTokens() []int {
	tokens := make([]int, len(f.engines))
	for i, e := range f.engines {
		tokens[i] = e.engine.Counters().ComputedTokens
	}
	return tokens
}

// restartHost drains and stops a host and starts it again.
func (f *localFleet) restartHost(ctx context.Context, index int) error {
	f.mu.Lock()
	h := f.hosts[index]
	f.mu.Unlock()
	h.host.Drain()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case err := <-h.stopped:
		if err != nil {
			return errors.Wrapf(err, "stop %s", h.id)
		}
	}
	return f.startHost(h.id, h.zone)
}

// removeTemporarily drains an engine for a time. The engine then restarts with an empty
// cache.
func (f *localFleet) removeTemporarily(ctx context.Context, index int, duration time.Duration) error {
	e := f.engines[index]
	f.setLeaving(e, true)
	err := sleep(ctx, duration)
	e.engine.Crash()
	f.setLeaving(e, false)
	return err
}

func (f *localFleet) setLeaving(e *engineReplica, leaving bool) {
	f.mu.Lock()
	e.leaving = leaving
	f.mu.Unlock()
	state := "live"
	if leaving {
		state = "leaving"
	}
	f.platform.SetHost(standinplatform.Host{ID: e.id, Role: "target", Zone: f.deployment.zones[e.zone].name, State: state})
	e.engine.SetDraining(leaving)
}

// stop stops all hosts, in parallel and after draining, and then the stand-ins.
func (f *localFleet) stop() {
	for _, h := range f.hosts {
		h.host.Drain()
	}
	for _, h := range f.hosts {
		select {
		case <-h.stopped:
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
