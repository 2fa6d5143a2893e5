package forward

import (
	"context"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/message"
	"github.com/sequoiaroad/sequoiaroad/policy/quarantine"
	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

// Reporter reads the reports of engines.
type Reporter interface {
	// State reads the report of a target.
	State(ctx context.Context, t *topology.Target) (message.EngineState, error)
}

// maxEndedResponses bounds the responses that are remembered for each target.
const maxEndedResponses = 64

// responseEnd is how a response ended of which it is not known whether its target ended with
// it.
type responseEnd uint8

const (
	// endBroken means that it broke off.
	endBroken responseEnd = iota
	// endComplete means that it is complete unless the target has crashed.
	endComplete
	// endMissing means that it did not come, or not to its end, in time.
	endMissing
)

// endedResponse is such a response.
type endedResponse struct {
	crash quarantine.Crash
	end   responseEnd
	at    time.Time
}

// crashCheck holds the responses that ended at an incarnation of a target.
type crashCheck struct {
	target    *topology.Target
	responses []endedResponse
	signs     quarantine.CrashCheck
	// scheduled means that a sign is asked for soon.
	scheduled bool
}

// take removes the responses of some ends and returns them.
func (k *crashCheck) take(ends ...responseEnd) []endedResponse {
	var taken []endedResponse
	k.responses = slices.DeleteFunc(k.responses, func(e endedResponse) bool {
		if !slices.Contains(ends, e.end) {
			return false
		}
		taken = append(taken, e)
		return true
	})
	return taken
}

// expire drops the responses that no longer count.
func (k *crashCheck) expire(now time.Time) {
	k.responses = slices.DeleteFunc(k.responses, func(e endedResponse) bool { return now.Sub(e.at) >= quarantine.MaxEvidenceAge })
}

// recordBrokenOff records a crash if the target of a response that ended before its head,
// after an event or within its body has ended itself. Such responses also end where
// connections are reset, so that the end alone shows no crash.
func (r *Router) recordBrokenOff(c *call, p *plan) { r.recordEnded(c, p, endBroken) }

// recordMissing records a crash if the target's entry soon shows that it has ended: a machine
// that fails does not close its connections.
func (r *Router) recordMissing(c *call, p *plan) { r.recordEnded(c, p, endMissing) }

// recordUnframedEnd records a completion if the target of a response that ended with its
// connection lives: the response of one that has crashed may look complete.
func (r *Router) recordUnframedEnd(c *call, p *plan) { r.recordEnded(c, p, endComplete) }

func (r *Router) recordEnded(c *call, p *plan, end responseEnd) {
	crash := c.crashAt(p.target)
	if len(crash.Parts) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	id, now := p.target.Incarnation(), time.Now()
	check := r.crashChecks[id]
	if check == nil {
		check = &crashCheck{target: p.target}
		r.crashChecks[id] = check
	}
	check.expire(now)
	if len(check.responses) >= maxEndedResponses {
		check.responses = slices.Delete(check.responses, 0, 1)
	}
	check.responses = append(check.responses, endedResponse{crash, end, now})
	if end != endMissing && !check.scheduled {
		check.scheduled, check.signs = true, quarantine.CrashCheck{}
		time.AfterFunc(quarantine.FirstCheckDelay, func() { r.checkCrash(id) })
	}
}

// checkCrash asks a target for a sign of life, once for all responses that ended meanwhile.
func (r *Router) checkCrash(id topology.Incarnation) {
	r.mu.Lock()
	check := r.crashChecks[id]
	if check == nil { // the target's entry has decided
		r.mu.Unlock()
		return
	}
	target := check.target
	r.mu.Unlock()
	sign, err := r.observe(target)
	r.mu.Lock()
	if r.crashChecks[id] != check { // the target's entry has decided meanwhile
		r.mu.Unlock()
		return
	}
	verdict, delay := check.signs.Observe(sign)
	if verdict == quarantine.CheckAgain {
		r.mu.Unlock()
		time.AfterFunc(delay, func() { r.checkCrash(id) })
		return
	}
	check.scheduled = false
	var ended []endedResponse
	switch verdict {
	case quarantine.Crashed:
		ended = check.take(endBroken, endComplete, endMissing)
		delete(r.crashChecks, id)
	case quarantine.Alive:
		ended = check.take(endBroken, endComplete)
	}
	r.mu.Unlock()
	r.metrics.recordCrashCheck(verdict)
	r.Log.Info("checked whether a target crashed as its answers ended", "target", id.ID, "address", target.Address,
		"answers", len(ended), "crashed", verdict == quarantine.Crashed, "undecided", verdict == quarantine.Undecided, "error", err)
	r.resolve(ended, verdict)
}

// resolve records the responses of a target on which there is a verdict.
func (r *Router) resolve(ended []endedResponse, verdict quarantine.Verdict) {
	var crashes []quarantine.Crash
	for _, e := range ended {
		switch {
		case verdict == quarantine.Crashed:
			crashes = append(crashes, e.crash)
		case e.end == endComplete:
			r.Quarantine.RecordCompletion(e.crash.Parts)
		}
	}
	if len(crashes) > 0 {
		r.Quarantine.RecordCrashes(crashes)
	}
}

// observe asks a target for its report.
func (r *Router) observe(t *topology.Target) (quarantine.Sign, error) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	state, err := r.Reports.State(ctx, t)
	var status *message.StatusError
	var timeout net.Error
	switch {
	case err == nil && t.Started != 0 && state.Started != 0 && state.Started != t.Started:
		return quarantine.SignEnded, errors.Errorf("target %s started at %d, the one at %s at %d", t.ID, t.Started, t.Address, state.Started)
	case err == nil:
		return quarantine.SignAlive, nil
	case errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &status) && status.Status == http.StatusMisdirectedRequest:
		return quarantine.SignEnded, err
	case errors.As(err, &status) && status.Status < http.StatusInternalServerError:
		return quarantine.SignAlive, err
	case ctx.Err() != nil || errors.As(err, &timeout) && timeout.Timeout():
		return quarantine.SignSilent, err
	}
	return quarantine.SignNoReport, err
}

// resolveReplaced takes the responses that ended at targets whose entries show by now that
// they have ended without leaving. The caller holds the mutex.
func (r *Router) resolveReplaced(targets map[string]*topology.Target, now time.Time) []endedResponse {
	var ended []endedResponse
	for id, check := range r.crashChecks {
		check.expire(now)
		current := targets[id.ID]
		if current != nil && current.SameIncarnation(check.target) {
			check.target = current // it may leave
			if len(check.responses) == 0 && !check.scheduled {
				delete(r.crashChecks, id)
			}
			continue
		}
		if !check.target.Leaving {
			ended = append(ended, check.responses...)
		}
		delete(r.crashChecks, id)
	}
	return ended
}
