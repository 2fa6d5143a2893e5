package forward

import (
	"slices"
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/quarantine"
	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

// maxEndedResponses bounds the responses that are remembered for each target.
const maxEndedResponses = 64

// responseEnd is how a response ended of which it is not known whether its target ended with
// it.
type responseEnd uint8

const (
	// endBroken means that it broke off.
	endBroken responseEnd = iota
	// endComplete means that it ended with its connection, and is complete unless the target has
	// crashed.
	endComplete
	// endMissing means that it did not come, or not to its end, in time.
	endMissing
)

// endedResponse is such a response.
type endedResponse struct {
	crash quarantine.Crash
	end   responseEnd
	at    time.Time
	// verdict gets the verdict on the target, once; nil if no request waits for it.
	verdict chan<- quarantine.Verdict
}

// tell sends the verdict to the request that waits for it.
func (e *endedResponse) tell(v quarantine.Verdict) {
	if e.verdict != nil {
		e.verdict <- v // has room for it
		e.verdict = nil
	}
}

// crashCheck holds the responses that ended at an incarnation of a target.
type crashCheck struct {
	target    *topology.Target
	responses []endedResponse
	signs     quarantine.CrashCheck
	// scheduled means that a sign is asked for soon.
	scheduled bool
	// absent means that the target's entry is gone.
	absent bool
}

// add adds a response in place of the oldest one for which no request waits if there are too
// many. The others are bounded by the requests in progress.
func (k *crashCheck) add(e endedResponse) {
	k.expire(e.at)
	if len(k.responses) >= maxEndedResponses {
		if oldest := slices.IndexFunc(k.responses, func(e endedResponse) bool { return e.verdict == nil }); oldest >= 0 {
			k.responses = slices.Delete(k.responses, oldest, oldest+1)
		}
	}
	k.responses = append(k.responses, e)
}

// take removes the responses for which selected is true and returns them.
func (k *crashCheck) take(selected func(e *endedResponse) bool) []endedResponse {
	var taken []endedResponse
	k.responses = slices.DeleteFunc(k.responses, func(e endedResponse) bool {
		if !selected(&e) {
			return false
		}
		taken = append(taken, e)
		return true
	})
	return taken
}

// expire drops the responses that no longer count.
func (k *crashCheck) expire(now time.Time) {
	k.take(func(e *endedResponse) bool { return e.verdict == nil && now.Sub(e.at) >= quarantine.MaxEvidenceAge })
}

// verdictOn returns the verdict on a target on which the signs alone have one. A target without
// an entry from which nothing comes has ended.
func (k *crashCheck) verdictOn(v quarantine.Verdict) quarantine.Verdict {
	if k.absent && v == quarantine.Undecided {
		return quarantine.Crashed
	}
	return v
}

// settle applies the verdict after a sign that was asked for at a time, and returns the
// responses that it settles. A sign of life says nothing of a response that ended later. again
// means that another sign is due for such a response.
func (k *crashCheck) settle(v quarantine.Verdict, asked time.Time) (settled []endedResponse, again bool) {
	switch v {
	case quarantine.Crashed:
		return k.take(func(*endedResponse) bool { return true }), false
	case quarantine.Alive:
		settled = k.take(func(e *endedResponse) bool { return (e.end != endMissing || k.absent) && !e.at.After(asked) })
	case quarantine.Undecided: // the target's entry may still decide
		for i := range k.responses {
			if e := &k.responses[i]; !e.at.After(asked) {
				e.tell(v)
			}
		}
	}
	again = slices.ContainsFunc(k.responses, func(e endedResponse) bool { return e.end != endMissing && e.at.After(asked) })
	return settled, again
}

// recordBrokenOff records a crash if the target of a response that ended before its head,
// after an event or within its body has ended itself. Such responses also end where
// connections are reset, so that the end alone shows no crash.
func (r *Router) recordBrokenOff(c *call, p *plan) { r.recordEnded(c, p, endBroken) }

// recordMissing records a crash if the target's entry is soon replaced, or removed and nothing
// comes from the target: a machine that fails does not close its connections.
func (r *Router) recordMissing(c *call, p *plan) { r.recordEnded(c, p, endMissing) }

func (r *Router) recordEnded(c *call, p *plan, end responseEnd) {
	if crash := c.crashAt(p.target); len(crash.Parts) > 0 {
		r.checkTarget(p.target, endedResponse{crash: crash, end: end, at: time.Now()})
	}
}

// checkTarget finds out whether a target has ended with a response.
func (r *Router) checkTarget(t *topology.Target, e endedResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := t.Incarnation()
	check := r.crashChecks[id]
	if check == nil {
		check = &crashCheck{target: t}
		r.crashChecks[id] = check
	}
	check.add(e)
	if e.end != endMissing && !check.scheduled {
		check.scheduled, check.signs = true, quarantine.CrashCheck{}
		time.AfterFunc(quarantine.FirstCheckDelay, func() { r.checkCrash(id) })
	}
}

// checkCrash asks a target for a sign of life, once for all responses that ended before.
func (r *Router) checkCrash(id topology.Incarnation) {
	r.mu.Lock()
	check := r.crashChecks[id]
	if check == nil { // the target's entry has decided
		r.mu.Unlock()
		return
	}
	target, asked := check.target, time.Now()
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
	verdict = check.verdictOn(verdict)
	settled, again := check.settle(verdict, asked)
	check.scheduled = again
	if verdict == quarantine.Crashed {
		delete(r.crashChecks, id)
	}
	if again {
		check.signs = quarantine.CrashCheck{}
		time.AfterFunc(quarantine.FirstCheckDelay, func() { r.checkCrash(id) })
	}
	r.mu.Unlock()
	r.metrics.recordCrashCheck(verdict)
	r.Log.Info("checked whether a target crashed as its answers ended", "target", id.ID, "address", target.Address,
		"answers", len(settled), "crashed", verdict == quarantine.Crashed, "undecided", verdict == quarantine.Undecided, "error", err)
	r.resolve(target, settled, verdict)
}

// resolve records the responses of a target on which there is a verdict. A target that leaves
// may end after a complete response, which is no crash then.
func (r *Router) resolve(t *topology.Target, ended []endedResponse, verdict quarantine.Verdict) {
	left := r.leaves(t)
	var crashes []quarantine.Crash
	for _, e := range ended {
		e.tell(verdict)
		switch {
		case len(e.crash.Parts) == 0:
		case verdict == quarantine.Crashed && !(left && e.end == endComplete):
			crashes = append(crashes, e.crash)
		case verdict == quarantine.Alive && e.end == endComplete:
			r.Quarantine.RecordCompletion(e.crash.Parts)
		}
	}
	if len(crashes) > 0 {
		r.Quarantine.RecordCrashes(crashes)
	}
}

// resolveReplaced ends the checks of targets whose entries show by now that another incarnation
// has taken their place, and asks those whose entries are gone for a sign of life: an entry also
// lapses if its target does not reach the store. The caller holds the mutex.
func (r *Router) resolveReplaced(targets map[string]*topology.Target, now time.Time) {
	for id, check := range r.crashChecks {
		check.expire(now)
		current := targets[id.ID]
		check.absent = current == nil
		switch {
		case current != nil && !current.SameIncarnation(check.target), current == nil && check.target.Leaving:
			r.resolveByEntry(id, check)
		case len(check.responses) == 0 && !check.scheduled:
			delete(r.crashChecks, id)
		case current != nil:
			check.target = current // it may leave
		case !check.scheduled:
			check.scheduled, check.signs = true, quarantine.CrashCheck{}
			go r.checkCrash(id)
		}
	}
}

// resolveByEntry ends a check: the target has crashed unless it left. The caller holds the mutex.
func (r *Router) resolveByEntry(id topology.Incarnation, check *crashCheck) {
	delete(r.crashChecks, id)
	verdict := quarantine.Crashed
	if check.target.Leaving {
		verdict = quarantine.Undecided
	}
	if len(check.responses) > 0 {
		go r.resolve(check.target, check.responses, verdict)
	}
}
