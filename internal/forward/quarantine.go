package forward

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
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
	// Match returns the entry that rejects a request with the given parts.
	Match(parts []string) (quarantine.Entry, bool)
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

// checkQuarantine returns the failure of a request that is in quarantine, or nil.
func (r *Router) checkQuarantine(c *call) *failure {
	e, ok := r.Quarantine.Match(c.parts)
	if !ok {
		return nil
	}
	r.metrics.recordQuarantined()
	f := notExecutedFailure(http.StatusServiceUnavailable, "the prompt has parts on which several targets crashed", time.Until(e.Until))
	f.final = true
	f.cause = errors.Errorf("entry %s: %s", e.ID, strings.Join(quarantine.Summarize(e.Parts), " "))
	return f
}

// promptParts returns what other requests may have in common with a prompt, with the model:
// all parts but the last, and the list of all parts, which only a repetition has.
func promptParts(m *message.Request) []string {
	if len(m.Parts) == 0 {
		return nil
	}
	known := make(map[string]bool, len(m.Parts))
	parts := make([]string, 0, len(m.Parts))
	var whole xxhash.Digest
	whole.Reset()
	for i, part := range m.Parts {
		_, _ = whole.WriteString(part.ID + ",") // xxhash never fails
		if i < len(m.Parts)-1 && !known[part.ID] {
			known[part.ID] = true
			parts = append(parts, m.Model+"/"+part.ID)
		}
	}
	return append(parts, m.Model+"/prompt:"+strconv.FormatUint(whole.Sum64(), 16))
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

// crashCheckDelay is how long after the end of an answer the host looks whether the target
// still takes connections. A process that ends may close its connections before its port,
// and a target that has crashed is away for seconds.
const crashCheckDelay = 100 * time.Millisecond

// endedAnswer is an answer of which it is not known whether its target ended with it.
type endedAnswer struct {
	crash quarantine.Crash
	// looksComplete means that the answer is complete unless the target has crashed.
	looksComplete bool
}

// recordBrokenOff records a crash if the target of an answer that ended before its head,
// after an event or within its body has ended itself. Such answers also end where
// connections are reset, so that the end alone shows no crash.
func (r *Router) recordBrokenOff(c *call, p *plan) {
	r.checkLater(p.target, endedAnswer{crash: c.crashAt(p.target)})
}

// recordUnframedEnd records a completion unless the target of a stream that ended with its
// connection has ended itself: between two events, the stream then looks complete.
func (r *Router) recordUnframedEnd(c *call, p *plan) {
	r.checkLater(p.target, endedAnswer{c.crashAt(p.target), true})
}

// checkLater looks soon whether the target of an answer has crashed, once for all answers
// that end meanwhile.
func (r *Router) checkLater(t *topology.Target, a endedAnswer) {
	if len(a.crash.Parts) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	waiting, scheduled := r.endedAnswers[t.Incarnation()]
	r.endedAnswers[t.Incarnation()] = append(waiting, a)
	if !scheduled {
		time.AfterFunc(crashCheckDelay, func() { r.checkCrash(t) })
	}
}

// checkCrash records the answers that ended at a target as crashes if the target refuses
// connections.
func (r *Router) checkCrash(t *topology.Target) {
	err := probe(t.Address)
	r.mu.Lock()
	answers := r.endedAnswers[t.Incarnation()]
	delete(r.endedAnswers, t.Incarnation())
	r.mu.Unlock()
	crashed := errors.Is(err, syscall.ECONNREFUSED)
	r.metrics.recordCrashCheck(crashed)
	var crashes []quarantine.Crash
	for _, a := range answers {
		switch {
		case crashed:
			crashes = append(crashes, a.crash)
		case a.looksComplete:
			r.Quarantine.RecordCompletion(a.crash.Parts)
		}
	}
	r.Log.Info("checked whether a target crashed as its answers ended", "target", t.ID, "address", t.Address, "answers", len(answers), "crashed", crashed, "error", err)
	if crashed {
		r.Quarantine.RecordCrashes(crashes)
	}
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
		if _, ok := index.Match(a.call.parts, time.Now()); !ok {
			continue
		}
		a.watchdog.abort(&failure{
			status: http.StatusBadGateway, reason: "the prompt has parts on which several targets crashed", retryAfter: time.Until(e.Until), final: true,
			cause: errors.Errorf("withdrawn from target %s: entry %s", a.plan.target.ID, e.ID),
		}, a.cancel)
	}
}
