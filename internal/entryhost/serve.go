package entryhost

import (
	"context"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/clock"
	"github.com/sequoiaroad/sequoiaroad/internal/view"
)

const (
	// locatorTTL is how long callers keep an answer of the locator.
	locatorTTL = 2 * time.Second
	// enoughHosts near a caller are named without those farther away.
	enoughHosts = 2
	// stopPoll is how often a stopping host looks whether it is idle.
	stopPoll = 20 * time.Millisecond
	// minLinger is how long a stopping host accepts connections: callers keep the
	// locator's answers for some time.
	minLinger = 2500 * time.Millisecond
	// lastRefusals is how long a host that is done still refuses requests.
	lastRefusals = 100 * time.Millisecond
	// stopMargin before the end of the grace is when the host ends at the latest.
	stopMargin = 700 * time.Millisecond
)

// errStopped ends the group after a planned stop.
var errStopped = errors.New("stopped as planned")

// server is one listener with its HTTP server.
type server struct {
	name     string
	listener net.Listener
	http     *http.Server
	closed   chan struct{}
}

// serve returns after close. http.Server.Serve returns as soon as the listener is
// closed, while requests are still in progress; the group that runs the servers must
// not end then.
func (s *server) serve() error {
	err := s.http.Serve(s.listener)
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return errors.Wrapf(err, "serve %s", s.name)
	}
	<-s.closed
	return nil
}

func (s *server) close() {
	_ = s.http.Close()
	close(s.closed)
}

func newServer(name, address string, handler http.Handler, logger hclog.Logger) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s on %s", name, address)
	}
	return &server{name: name, listener: listener, closed: make(chan struct{}), http: &http.Server{
		Handler: handler, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: idleTimeout, ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog: log.New(logger.StandardWriter(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}), "", 0),
	}}, nil
}

// listen opens all listeners of the host. The first serves callers.
func (h *Host) listen() ([]*server, error) {
	d := h.options.Deployment
	parts := []struct {
		name, address string
		handler       http.Handler
	}{
		{"callers", d.CallerListen, h.router},
		{"readiness", d.ReadyListen, h.options.Platform.ReadyHandler(h.ready)},
		{"locator", d.LocatorListen, h.options.Platform.LocatorHandler(h.locate, h.log)},
		{"metrics", h.options.MetricsListen, h.options.Telemetry.MetricsHandler()},
	}
	var out []*server
	for _, p := range parts {
		if p.address == "" {
			continue
		}
		s, err := newServer(p.name, p.address, p.handler, h.log)
		if err != nil {
			for _, open := range out {
				_ = open.listener.Close()
			}
			return nil, err
		}
		out = append(out, s)
	}
	return out, nil
}

// locate names hosts near a caller: those of its zone, then of its region, then all.
func (h *Host) locate(region, zone string) ([]string, time.Duration) {
	hosts := h.peers.Live()
	if h.ready() {
		hosts = append(hosts, h.self)
	}
	near := func(keep func(view.Host) bool) []string {
		var out []string
		for _, host := range hosts {
			if keep(host) {
				out = append(out, host.CallerAddress)
			}
		}
		slices.Sort(out)
		return out
	}
	ttl := min(locatorTTL, h.options.Deployment.LocatorTTLMax)
	out := near(func(v view.Host) bool { return v.Zone == zone })
	if len(out) < enoughHosts {
		out = near(func(v view.Host) bool { return v.Region == region })
	}
	if len(out) < enoughHosts {
		out = near(func(view.Host) bool { return true })
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out, ttl
}

// awaitStop ends the host as planned once ctx ends: it is no longer ready, finishes
// what it has, and ends before the platform kills it.
func (h *Host) awaitStop(ctx, background context.Context, servers []*server) error {
	select {
	case <-ctx.Done():
	case <-background.Done():
		return nil
	}
	grace := h.options.Deployment.StopGrace
	h.log.Info("planned stop", "active", h.router.Active(), "grace_ms", grace.Milliseconds())
	h.leaving.Store(true)
	close(h.stopping)
	h.router.Leave()
	started := time.Now()
	clock.Sleep(background, min(minLinger, grace/3))
	if err := servers[0].listener.Close(); err != nil {
		h.log.Warn("callers' listener was not closed", "error", err)
	}
	// Idle connections stay open: http.Server.Shutdown closes them, also one whose
	// next request has just been read, and that request would be passed on for nobody.
	h.router.Stop()
	finish, cancel := context.WithDeadline(background, started.Add(grace-stopMargin))
	defer cancel()
	for h.router.Active() > 0 && finish.Err() == nil {
		clock.Sleep(finish, stopPoll)
	}
	if active := h.router.Active(); active > 0 {
		h.log.Warn("requests were still in progress at the stop", "active", active)
	}
	// Requests that were read meanwhile get their refusals.
	clock.Sleep(background, lastRefusals)
	return errStopped
}
