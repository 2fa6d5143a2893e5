package soak

import (
	"strconv"
	"time"

	standin "github.com/sequoiaroad/sequoiaroad/standin/site"
)

const (
	// limitWindow is the time over which the requests to a target that has named a limit
	// are counted.
	limitWindow = 4 * time.Second
	// reactionTime is how long a host may take to act on what a target asked for.
	reactionTime = 500 * time.Millisecond
	// maxWithinPause is the number of requests that one host may send within a pause.
	maxWithinPause = 2
)

// statement is what one incarnation of a target asks for over some time.
type statement struct {
	started    int64
	rateLimit  string
	leaving    bool
	retryAfter time.Duration
}

// toldHosts follows the arrivals at a target while it goes on to ask for the same.
type toldHosts struct {
	in     *installation
	target string
	statement
	since time.Time
	// told is when each host first received the statement.
	told map[string]time.Time
	// pausedUntil and withinPause are the end of each host's first pause and the number of
	// its requests since.
	pausedUntil map[string]time.Time
	withinPause map[string]int
	// counted are the arrivals that count against the limit.
	counted []time.Time
}

// checkBackpressure checks that a target got no more requests than it had asked for, from
// hosts that it had told and that were neither restarted, frozen nor cut off since.
func (in *installation) checkBackpressure(r *replica, sent map[string]*request) {
	var current *toldHosts
	for _, a := range r.Arrivals() {
		s := statement{a.Started, a.RateLimit, a.Leaving, a.RetryAfter}
		if current == nil || current.statement != s {
			current = &toldHosts{in: in, target: r.id, statement: s, since: a.At, told: map[string]time.Time{}, pausedUntil: map[string]time.Time{}, withinPause: map[string]int{}}
		}
		if q := sent[a.ID]; q != nil {
			current.check(q, a)
		}
	}
}

func (c *toldHosts) check(q *request, a standin.Arrival) {
	told, known := c.told[q.host.ID]
	if !known && c.retryAfter > 0 && !a.Shed {
		return // only a response with status 503 states the pause
	}
	if !known || c.in.impaired(q.host.ID, told, a.At) {
		c.told[q.host.ID] = a.At
		c.pausedUntil[q.host.ID] = a.At.Add(c.retryAfter)
		c.withinPause[q.host.ID] = 0
		return
	}
	if a.At.Sub(told) < reactionTime {
		return
	}
	if c.leaving && q.sentAt.Sub(told) > standin.DrainBound {
		c.in.addViolation("%s reached %s from %s %v after the target said that it leaves", q.id, c.target, q.host.ID, a.At.Sub(told))
	}
	if a.At.Before(c.pausedUntil[q.host.ID]) {
		if c.withinPause[q.host.ID]++; c.withinPause[q.host.ID] > maxWithinPause {
			c.in.addViolation("%s reached %s from %s within its pause, request %d", q.id, c.target, q.host.ID, c.withinPause[q.host.ID])
		}
	}
	if c.rateLimit != "" && a.At.Sub(c.since) > standin.ContactTime {
		c.checkLimit(a.At)
	}
}

func (c *toldHosts) checkLimit(at time.Time) {
	c.counted = append(c.counted, at)
	for at.Sub(c.counted[0]) > limitWindow {
		c.counted = c.counted[1:]
	}
	limit, _ := strconv.ParseFloat(c.rateLimit, 64) // the faults set only numbers
	if allowed := int(1.5*limit*limitWindow.Seconds()) + 5; len(c.counted) > allowed {
		c.in.addViolation("%s named a limit of %s a second and got %d requests in %v, %d are allowed", c.target, c.rateLimit, len(c.counted), limitWindow, allowed)
	}
}

// impaired reports whether a fault has restarted, frozen or cut off a host in a period.
func (in *installation) impaired(host string, from, to time.Time) bool {
	for _, i := range in.impairments {
		if i.host == host && i.begin.Before(to) && i.end.After(from) {
			return true
		}
	}
	return false
}
