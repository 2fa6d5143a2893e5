package routehost

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
	// locatorTTL is how long callers may cache a response of the locator.
	locatorTTL = 2 * time.Second
	// minNearbyHosts is the number of nearby hosts below which the locator also returns
	// hosts farther away.
	minNearbyHosts = 2
	// drainPollInterval is the interval at which a stopping host checks for active
	// requests.
	drainPollInterval = 20 * time.Millisecond
	// listenerLinger is how long a stopping host accepts connections, since callers
	// cache the responses of the locator.
	listenerLinger = 2500 * time.Millisecond
	// finalRefusalWindow is how long an idle stopping host still refuses requests.
	finalRefusalWindow = 100 * time.Millisecond
	// stopMargin is how long before the end of the stop grace the host answers all requests
	// that are still in progress, and answerTimeout how long that may take. With
	// finalRefusalWindow it leaves some time for the exit.
	stopMargin    = 700 * time.Millisecond
	answerTimeout = 300 * time.Millisecond
)

// errStopped ends the run group after a planned stop.
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
	endpoints := []struct {
		name, address string
		handler       http.Handler
	}{
		{"callers", d.CallerListen, h.router},
		{"readiness", d.ReadyListen, h.options.Platform.ReadyHandler(h.ready)},
		{"locator", d.LocatorListen, h.options.Platform.LocatorHandler(h.locate, h.log)},
		{"metrics", h.options.MetricsListen, h.options.Telemetry.MetricsHandler()},
	}
	var out []*server
	for _, e := range endpoints {
		if e.address == "" {
			continue
		}
		s, err := newServer(e.name, e.address, e.handler, h.log)
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

// locate returns the addresses of hosts near a caller: those of its zone, else of its
// region, else all.
func (h *Host) locate(region, zone string) ([]string, time.Duration) {
	hosts := h.peers.Live()
	if h.ready() {
		hosts = append(hosts, h.self)
	}
	addresses := func(match func(view.Host) bool) []string {
		var out []string
		for _, host := range hosts {
			if match(host) {
				out = append(out, host.CallerAddress)
			}
		}
		slices.Sort(out)
		return out
	}
	ttl := min(locatorTTL, h.options.Deployment.MaxLocatorTTL)
	out := addresses(func(v view.Host) bool { return v.Zone == zone })
	if len(out) < minNearbyHosts {
		out = addresses(func(v view.Host) bool { return v.Region == region })
	}
	if len(out) < minNearbyHosts {
		out = addresses(func(view.Host) bool { return true })
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out, ttl
}

// awaitShutdown performs the planned stop once ctx ends: the host becomes not ready,
// completes its active requests, and exits before the platform kills it.
func (h *Host) awaitShutdown(ctx, background context.Context, servers []*server) error {
	select {
	case <-ctx.Done():
	case <-background.Done():
		return nil
	}
	grace := h.options.Deployment.StopGrace
	h.log.Info("planned stop", "active", h.router.Active(), "grace_ms", grace.Milliseconds())
	h.draining.Store(true)
	close(h.stopping)
	h.router.Drain()
	started := time.Now()
	clock.Sleep(background, min(listenerLinger, grace/3))
	if err := servers[0].listener.Close(); err != nil {
		h.log.Warn("failed to close the callers' listener", "error", err)
	}
	// Idle connections stay open: http.Server.Shutdown would also close one whose next
	// request has just been read, and that request would be forwarded without a caller.
	h.router.StopAdmission()
	drainCtx, cancel := context.WithDeadline(background, started.Add(grace-stopMargin))
	defer cancel()
	h.awaitIdle(drainCtx)
	if active := h.router.Active(); active > 0 {
		h.log.Warn("requests were still in progress at the stop", "active", active)
		h.router.EndRequests()
		answerCtx, cancelAnswers := context.WithTimeout(background, answerTimeout)
		defer cancelAnswers()
		h.awaitIdle(answerCtx)
	}
	// Requests that were read in the meantime are still refused.
	clock.Sleep(background, finalRefusalWindow)
	return errStopped
}

// awaitIdle waits until no request is in progress or ctx ends.
func (h *Host) awaitIdle(ctx context.Context) {
	for h.router.Active() > 0 && ctx.Err() == nil {
		clock.Sleep(ctx, drainPollInterval)
	}
}
