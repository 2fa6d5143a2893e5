package forward

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/policy/quarantine"
)

// Quarantine decides which requests are rejected because prompts with the same parts
// crashed targets.
type Quarantine interface {
	// Match returns the entry that rejects a request with the given shared parts.
	Match(parts []string) (quarantine.Entry, bool)
	// Suspected reports whether a request with the given shared parts must not be
	// retried.
	Suspected(parts []string) bool
	// RecordCrash records that a target ended after it had begun to respond.
	RecordCrash(c quarantine.Crash)
	// RecordCompletion records that a target completed a request.
	RecordCompletion(parts []string)
}

// promptAttempt is an attempt of a prompt whose response has not begun.
type promptAttempt struct {
	call     *call
	plan     *plan
	watchdog *watchdog
	cancel   context.CancelFunc
}

// checkQuarantine returns the failure of a request that is in quarantine, or nil.
func (r *Router) checkQuarantine(c *call) *failure {
	e, ok := r.Quarantine.Match(c.parts)
	if !ok {
		return nil
	}
	f := notExecutedFailure(http.StatusServiceUnavailable, "the prompt has parts on which several targets crashed", time.Until(e.Until))
	f.final = true
	f.cause = errors.Errorf("entry %s: %s", e.ID, strings.Join(e.Parts, " "))
	return f
}

// recordCrash records a response that ended after its head and before its first event.
func (r *Router) recordCrash(c *call, p *plan) {
	r.Quarantine.RecordCrash(quarantine.Crash{
		Parts: c.parts, Target: p.target.ID + "/" + strconv.FormatInt(p.target.Started, 10),
	})
}

// trackPrompt lets WithdrawMatching find an attempt until it is untracked.
func (r *Router) trackPrompt(a *promptAttempt) {
	if len(a.call.parts) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prompts[a.plan] = a
}

func (r *Router) untrackPrompt(p *plan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.prompts, p)
}

// WithdrawMatching ends the attempts that an entry in quarantine would have rejected and
// that have sent no event, before they crash their targets too.
func (r *Router) WithdrawMatching(e quarantine.Entry) {
	r.mu.Lock()
	var matching []*promptAttempt
	for _, a := range r.prompts {
		if !slices.ContainsFunc(e.Parts, func(part string) bool { return !slices.Contains(a.call.parts, part) }) {
			matching = append(matching, a)
		}
	}
	r.mu.Unlock()
	for _, a := range matching {
		a.watchdog.abort(&failure{
			status: http.StatusBadGateway, reason: "the prompt has parts on which several targets crashed", retryAfter: time.Until(e.Until), final: true,
			cause: errors.Errorf("withdrawn from target %s: entry %s", a.plan.target.ID, e.ID),
		}, a.cancel)
	}
}
