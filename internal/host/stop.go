package host

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sequoiaroad/sequoiaroad/internal/clock"
	"github.com/sequoiaroad/sequoiaroad/internal/fleet"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

// refusalGracePeriod is how long a stopping host still responds after its last request has
// ended. A stream that began before the stop leaves its connection open; a caller that
// reuses the connection must get a refusal and not a closed connection.
const refusalGracePeriod = time.Second

// stopPollInterval is how often the planned stop checks for running requests and for an
// incomplete handover.
const stopPollInterval = 20 * time.Millisecond

// stopState is the progress of a planned stop and the number of running requests.
type stopState struct {
	draining  atomic.Bool
	refuseNew atomic.Bool
	running   atomic.Int64
}

func (s *stopState) refusing() bool { return s.refuseNew.Load() }

// countRequests counts the running requests, except those that arrive after the host has
// begun to refuse requests, so that these do not delay its stop.
func (s *stopState) countRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			// Otherwise a caller could send a request on an idle connection just when the
			// stop closes it, and could not determine whether the request was executed.
			w.Header().Set("Connection", "close")
		}
		s.running.Add(1)
		if s.refusing() {
			s.running.Add(-1)
		} else {
			defer s.running.Add(-1)
		}
		next.ServeHTTP(w, r)
	})
}

// plannedStop waits until a planned stop is requested and carries it out: the locator
// stops listing the host at once. The host continues to serve for a grace period longer
// than the locator's time to live, then refuses new requests, waits for the running ones,
// returns its token grants and leaves the member list.
func (h *Host) plannedStop(ctx, stopCtx context.Context) error {
	select {
	case <-ctx.Done():
	case <-h.drain:
	case <-stopCtx.Done():
		return nil
	}
	s := &h.options.Settings
	h.logger.Info("starting planned stop", "grace", s.DrainGrace)
	h.stop.draining.Store(true)
	h.fleet.SetDraining(true)
	if !clock.Sleep(stopCtx, s.DrainGrace) {
		return nil
	}
	h.stop.refuseNew.Store(true)
	if !h.waitForRequests(stopCtx, s.DrainTimeout) {
		h.logger.Warn("requests still running at the end of the planned stop", "requests", h.stop.running.Load())
	}
	h.recordOutcomes(stopCtx)
	h.leaveFleet(stopCtx)
	h.waitForHandover(stopCtx)
	clock.Sleep(stopCtx, refusalGracePeriod)
	return nil
}

func (h *Host) waitForRequests(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for h.stop.running.Load() > 0 {
		if !clock.Sleep(ctx, stopPollInterval) {
			return false
		}
	}
	return true
}

// recordOutcomes waits until the outcomes of non-idempotent requests are recorded. A
// request whose outcome is not written within stopTimeout, for example because of a store
// outage, becomes unresolved.
func (h *Host) recordOutcomes(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := h.claims.Drain(ctx); err != nil {
		h.logger.Warn("some outcomes were not recorded", "records", h.claims.Stats().WaitingRecords, "error", err)
	}
}

// waitForHandover waits, while the host keeps responding, until the new homes of its
// client accounts have requested its shares of their tokens or no longer need them.
func (h *Host) waitForHandover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, h.limiter.TakeoverWait())
	defer cancel()
	for !h.limiter.HandedOver() {
		if !clock.Sleep(ctx, stopPollInterval) {
			return
		}
	}
}

// leaveFleet returns unspent grants and removes this host from the member list, so that
// its accounts move to other hosts at once. It gives up after stopTimeout: the other hosts
// remove a member that stays listed.
func (h *Host) leaveFleet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := h.limiter.ReturnGrants(ctx); err != nil {
		h.logger.Warn("some grants were not returned", "error", err)
	}
	remove := func(d *config.Document) error {
		d.Members = slices.DeleteFunc(d.Members, func(m config.Member) bool {
			return m.HostID == h.self.HostID && m.Incarnation == h.self.Incarnation
		})
		return nil
	}
	_, err := h.fleet.Propose(ctx, remove, fleet.ProposeOptions{Operator: h.self.HostID, Summary: "host leaves"})
	if err != nil {
		h.logger.Warn("host could not leave the member list", "error", err)
	}
}
