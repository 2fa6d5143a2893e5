// Package dev runs a complete small system in one process: an in-memory platform, two
// simulated engines, a simulated booking service and one host.
package dev

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/admin"
	"github.com/sequoiaroad/sequoiaroad/internal/fleet"
	"github.com/sequoiaroad/sequoiaroad/internal/host"
	"github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/internal/settings"
	"github.com/sequoiaroad/sequoiaroad/internal/telemetry"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/standin/engine"
	standinplatform "github.com/sequoiaroad/sequoiaroad/standin/platform"
	"github.com/sequoiaroad/sequoiaroad/standin/service"
)

const (
	// Model is the model that the simulated engines serve.
	Model          = "dev-model"
	weightsVersion = "1"
	accountID      = "dev"
	clientKeyID    = "dev-key"
	operatorID     = "dev-operator"
	serviceName    = "booking"
	zone           = "dev-a"
	region         = "dev"

	rateTokensPerSecond = 50_000
	burstTokens         = 200_000

	// locatorTTL and drainGrace are short, so that a planned stop of the only host
	// takes about a second.
	locatorTTL = 500 * time.Millisecond
	drainGrace = 2 * locatorTTL
	// prefillPerToken is the prefill time of an uncached prompt token on the simulated
	// engines.
	prefillPerToken   = 100 * time.Microsecond
	engineCount       = 2
	secretBytes       = 32
	readyPollInterval = 10 * time.Millisecond
	readyTimeout      = 15 * time.Second
)

// Options are the settings of the dev mode.
type Options struct {
	// Listen is the address for callers; port 0 picks a free port.
	Listen string
	// ServiceDelay is the time before each response of the booking service.
	ServiceDelay time.Duration
	// TokenDelay is the time between two tokens of the engines.
	TokenDelay time.Duration
	// RoutingPolicy is a policy name; empty means predicted-ttft.
	RoutingPolicy string
	Telemetry     *telemetry.Telemetry
}

// Info holds the addresses, keys and names that a user of the system needs.
type Info struct {
	Address      string `json:"address"`
	AdminAddress string `json:"admin_address"`
	ClientKey    string `json:"client_key"`
	ClientKeyID  string `json:"client_key_id"`
	OperatorKey  string `json:"operator_key"`
	Model        string `json:"model"`
}

// System is a system that is ready to run or running.
type System struct {
	Info    Info
	Engines []*engine.Engine
	Service *service.Service

	host    *host.Host
	servers []*standinServer
}

// standinServer serves a simulated component on a free loopback port.
type standinServer struct {
	listener net.Listener
	server   *http.Server
}

func newStandinServer(handler http.Handler) (*standinServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a stand-in")
	}
	s := &standinServer{listener: listener, server: &http.Server{Handler: handler, ReadHeaderTimeout: readyTimeout}}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *standinServer) url() string { return "http://" + s.listener.Addr().String() }

// New starts the simulated components and creates the configuration and the host.
func New(ctx context.Context, o Options) (*System, error) {
	s := &System{}
	if err := s.build(ctx, o); err != nil {
		s.closeStandins()
		return nil, err
	}
	return s, nil
}

func (s *System) build(ctx context.Context, o Options) error {
	platformURL, err := s.startStandin(standinplatform.New(standinplatform.Options{}))
	if err != nil {
		return err
	}
	document, err := s.startTargets(o)
	if err != nil {
		return err
	}
	client, err := platform.NewClient(platform.Options{BaseURL: platformURL})
	if err != nil {
		return err
	}
	if err := fleet.Bootstrap(ctx, client, document); err != nil {
		return err
	}
	hostSettings, err := hostSettings(o, platformURL)
	if err != nil {
		return err
	}
	s.host, err = host.New(host.Options{
		Settings:  *hostSettings,
		Platform:  host.Platform{Store: client, Objects: client, HostList: client},
		Telemetry: o.Telemetry,
	})
	if err != nil {
		return err
	}
	s.Info.Address = s.host.Member().CallerAddress
	s.Info.AdminAddress = s.host.Member().AdminAddress
	s.Info.Model = Model
	return nil
}

func (s *System) startStandin(handler http.Handler) (string, error) {
	server, err := newStandinServer(handler)
	if err != nil {
		return "", err
	}
	s.servers = append(s.servers, server)
	return server.url(), nil
}

// startTargets starts the simulated targets and returns the first configuration.
func (s *System) startTargets(o Options) (*config.Document, error) {
	s.Info.ClientKey, s.Info.OperatorKey = admin.NewClientKey(), admin.NewOperatorKey()
	s.Info.ClientKeyID = clientKeyID
	d := &config.Document{
		Preset:   config.PresetOrdinary,
		Accounts: []config.Account{{ID: accountID, RateTokensPerSecond: rateTokensPerSecond, BurstTokens: burstTokens}},
		ClientKeys: []config.ClientKey{{
			ID: clientKeyID, AccountID: accountID, Hash: config.HashKey(s.Info.ClientKey), CreatedAt: time.Now().UTC(),
		}},
		OperatorKeys: []config.OperatorKey{{ID: operatorID, Hash: config.HashKey(s.Info.OperatorKey), Role: config.RoleAdmin}},
		Models:       []config.Model{{ID: Model, WeightsVersion: weightsVersion}},
		Routes: []config.Route{
			{Service: serviceName, PathPrefix: "/runs", Method: http.MethodGet, Idempotent: true},
			{Service: serviceName, PathPrefix: "/echo", Method: http.MethodGet, Idempotent: true},
		},
		Change: config.ChangeRecord{Operator: operatorID, At: time.Now().UTC(), Summary: "first configuration"},
	}
	for i := range engineCount {
		id := "engine-" + string(rune('a'+i))
		e := engine.New(engine.Options{
			ID: id, Models: []string{Model}, WeightsVersion: weightsVersion,
			PrefillPerToken: prefillPerToken, DecodePerToken: o.TokenDelay,
		})
		url, err := s.startStandin(e)
		if err != nil {
			return nil, err
		}
		s.Engines = append(s.Engines, e)
		d.Targets = append(d.Targets, config.Target{
			ID: id, Kind: config.TargetEngine, URL: url, Zone: zone, Region: region, Models: []string{Model},
		})
	}
	s.Service = service.New(service.Options{ID: serviceName, Delay: o.ServiceDelay})
	url, err := s.startStandin(s.Service)
	if err != nil {
		return nil, err
	}
	d.Targets = append(d.Targets, config.Target{
		ID: serviceName + "-a", Kind: config.TargetService, URL: url, Zone: zone, Region: region, Service: serviceName,
	})
	return d, nil
}

func hostSettings(o Options, platformURL string) (*settings.Host, error) {
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret) // never fails, see crypto/rand
	s := settings.Defaults()
	s.HostID, s.Zone, s.Region = "dev-host", zone, region
	s.CallerListen, s.InnerListen, s.AdminListen = o.Listen, "127.0.0.1:0", "127.0.0.1:0"
	s.PlatformURL = platformURL
	s.FleetSecret = hex.EncodeToString(secret)
	s.LocatorTTL, s.DrainGrace = locatorTTL, drainGrace
	s.CallerMetrics = true
	if o.RoutingPolicy != "" {
		s.RoutingPolicy = o.RoutingPolicy
	}
	return s, s.Validate()
}

// Run serves until ctx ends and the planned stop that follows is complete. It calls ready
// once the host serves requests with a key.
func (s *System) Run(ctx context.Context, ready func()) error {
	defer s.closeStandins()
	var group run.Group
	hostCtx, stopHost := context.WithCancel(ctx)
	group.Add(func() error { return s.host.Run(hostCtx) }, func(error) { stopHost() })
	waitCtx, stopWait := context.WithCancel(ctx)
	group.Add(func() error {
		if err := s.waitReady(waitCtx); err != nil {
			return err
		}
		ready()
		<-waitCtx.Done()
		return nil
	}, func(error) { stopWait() })
	return group.Run()
}

func (s *System) waitReady(ctx context.Context) error {
	timeout := time.After(readyTimeout)
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for !s.host.Ready() {
		select {
		case <-ctx.Done():
			return nil
		case <-timeout:
			return errors.Errorf("the host was not ready within %v", readyTimeout)
		case <-ticker.C:
		}
	}
	return nil
}

func (s *System) closeStandins() {
	for _, server := range s.servers {
		_ = server.server.Close()
	}
}
