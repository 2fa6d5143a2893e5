package forward

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/message"
	"github.com/sequoiaroad/sequoiaroad/policy/quarantine"
	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

// Quarantine decides which requests are rejected because prompts with the same parts
// crashed targets.
type Quarantine interface {
	// Match returns the entry that rejects a request with the given parts, other than those
	// for which it is tried.
	Match(parts []string, trials quarantine.Trials) (quarantine.Entry, bool)
	// ClaimTrial reports whether a request may be tried although an entry rejects it.
	ClaimTrial(ctx context.Context, e quarantine.Entry) bool
	// Suspected reports whether a request with the given parts must not be retried.
	Suspected(parts []string) bool
	// RecordCrashes records that targets ended while they worked on requests.
	RecordCrashes(crashes []quarantine.Crash)
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

// trialRetryAfter is the least retry hint of a request that is rejected while another one may
// be tried.
const trialRetryAfter = time.Second

// claimTrials claims the trials that let a request pass, if all entries that reject it are
// due for one.
func (r *Router) claimTrials(ctx context.Context, c *call) {
	for {
		e, ok := r.Quarantine.Match(c.namedParts, c.trials)
		if !ok || !e.IsTrialDue(time.Now()) || !r.Quarantine.ClaimTrial(ctx, e) {
			return
		}
		if c.trials == nil {
			c.trials = quarantine.Trials{}
		}
		c.trials[e.ID] = true
	}
}

// checkQuarantine returns the failure of a request that is in quarantine, or nil.
func (r *Router) checkQuarantine(c *call) *failure {
	e, ok := r.Quarantine.Match(c.namedParts, c.trials)
	if !ok {
		return nil
	}
	r.metrics.recordQuarantined()
	f := notExecutedFailure(http.StatusServiceUnavailable, "the prompt has parts on which several targets crashed", max(trialRetryAfter, time.Until(e.Until)))
	f.final = true
	f.cause = errors.Errorf("entry %s: %s", e.ID, strings.Join(quarantine.Summarize(e.Parts), " "))
	return f
}

// promptParts returns what other requests may have in common with a prompt, with the model:
// all parts but the last, and the list of all parts, which only a repetition has. named also
// has the last part, which may be in the middle of another prompt.
func promptParts(m *message.Request) (parts, named []string) {
	if len(m.Parts) == 0 {
		return nil, nil
	}
	known := make(map[string]bool, len(m.Parts))
	named = make([]string, 0, len(m.Parts)+1)
	var whole xxhash.Digest
	whole.Reset()
	last := len(m.Parts) - 1
	for _, part := range m.Parts[:last] {
		_, _ = whole.WriteString(part.ID + ",") // xxhash never fails
		if !known[part.ID] {
			known[part.ID] = true
			named = append(named, m.Model+"/"+part.ID)
		}
	}
	_, _ = whole.WriteString(m.Parts[last].ID + ",")
	named = append(named, m.Model+"/prompt:"+strconv.FormatUint(whole.Sum64(), 16))
	parts = named[:len(named):len(named)]
	if !known[m.Parts[last].ID] {
		named = append(named, m.Model+"/"+m.Parts[last].ID)
	}
	return parts, named
}

func (c *call) crashAt(t *topology.Target) quarantine.Crash {
	crash := quarantine.Crash{Parts: c.parts, Target: t.ID + "/" + strconv.FormatInt(t.Started, 10)}
	if len(c.parts) > 0 {
		crash.Prompt = c.parts[len(c.parts)-1]
	}
	return crash
}

// recordCrash records a stream that ended after its head and before its first event.
func (r *Router) recordCrash(c *call, p *plan) {
	r.Quarantine.RecordCrashes([]quarantine.Crash{c.crashAt(p.target)})
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
	attempts := slices.Collect(maps.Values(r.prompts))
	r.mu.Unlock()
	index := quarantine.NewIndex(e)
	for _, a := range attempts {
		if _, ok := index.Match(a.call.namedParts, a.call.trials, time.Now()); !ok {
			continue
		}
		a.watchdog.abort(&failure{
			status: http.StatusBadGateway, reason: "the prompt has parts on which several targets crashed", retryAfter: time.Until(e.Until), final: true,
			cause: errors.Errorf("withdrawn from target %s: entry %s", a.plan.target.ID, e.ID),
		}, a.cancel)
	}
}
