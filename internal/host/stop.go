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

// refusalLinger is how long a stopping host still answers after its last request has
// ended. A stream that began before the stop leaves its connection open; a caller that
// uses it again must get a refusal and not a closed connection.
const refusalLinger = time.Second

// pollInterval is how often the planned stop looks whether requests are running.
const pollInterval = 20 * time.Millisecond

// stopState counts running requests and says when new ones are refused.
type stopState struct {
	draining atomic.Bool
	refuse   atomic.Bool
	running  atomic.Int64
}

func (s *stopState) refusing() bool { return s.refuse.Load() }

// count counts requests that the host may serve; requests that a draining host
// refuses do not delay its stop.
func (s *stopState) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			// Without it a caller could send on a kept connection just when the stop
			// closes it, and could not tell whether its request ran.
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

// plannedStop waits for the start of a planned stop and carries it out: the host
// leaves the locator at once, goes on serving for a grace longer than the locator's
// time to live, then refuses new requests, waits for the running ones, gives its
// grants back and leaves the member list.
func (h *Host) plannedStop(ctx, stopCtx context.Context) error {
	select {
	case <-ctx.Done():
	case <-h.drain:
	case <-stopCtx.Done():
		return nil
	}
	s := &h.options.Settings
	h.logger.Info("planned stop starts", "grace", s.DrainGrace)
	h.stop.draining.Store(true)
	h.fleet.SetDraining(true)
	if !clock.Sleep(stopCtx, s.DrainGrace) {
		return nil
	}
	h.stop.refuse.Store(true)
	if !h.waitForRequests(stopCtx, s.DrainTimeout) {
		h.logger.Warn("planned stop ends with requests still running", "requests", h.stop.running.Load())
	}
	h.recordOutcomes(stopCtx)
	h.leave(stopCtx)
	h.waitForHandover(stopCtx)
	clock.Sleep(stopCtx, refusalLinger)
	return nil
}

func (h *Host) waitForRequests(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for h.stop.running.Load() > 0 {
		if !clock.Sleep(ctx, pollInterval) {
			return false
		}
	}
	return true
}

// recordOutcomes waits until the outcomes of non-idempotent requests are recorded. What
// is not written within stopTimeout, as in a store outage, becomes unresolved.
func (h *Host) recordOutcomes(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := h.claims.Drain(ctx); err != nil {
		h.logger.Warn("outcomes were not all recorded", "records", h.claims.Stats().WaitingRecords, "error", err)
	}
}

// waitForHandover keeps the host answering until the new homes of its client accounts
// have asked for its shares, or no longer need them.
func (h *Host) waitForHandover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, h.limiter.TakeoverWait())
	defer cancel()
	for !h.limiter.HandedOver() {
		if !clock.Sleep(ctx, pollInterval) {
			return
		}
	}
}

// leave gives grants back and removes this host from the member list, so that its
// accounts move to other hosts at once. It does what it can within stopTimeout: a
// member that stays listed is removed by the others.
func (h *Host) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := h.limiter.Return(ctx); err != nil {
		h.logger.Warn("grants were not all returned", "error", err)
	}
	remove := func(d *config.Document) error {
		d.Members = slices.DeleteFunc(d.Members, func(m config.Member) bool {
			return m.HostID == h.self.HostID && m.Incarnation == h.self.Incarnation
		})
		return nil
	}
	_, err := h.fleet.Propose(ctx, remove, fleet.ProposeOptions{Operator: h.self.HostID, Summary: "host leaves"})
	if err != nil {
		h.logger.Warn("host did not leave the member list", "error", err)
	}
}
