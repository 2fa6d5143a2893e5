// Command 3 shows that all hosts stop answering for seconds when one engine crashes while it
// works on prompts of many parts.
package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/sequoiaroad/sequoiaroad/review/stage"
)

const (
	key = "key-of-club"
	// partsOfPrompt fit into max_header_bytes; their list has some 7,200 of 16,384 bytes.
	partsOfPrompt = 600
	longPrompts   = 16
	promptTime    = 6 * time.Second
	// bookTimeout is the route's timeout; callers would wait longer.
	bookTimeout  = 1200 * time.Millisecond
	bookDeadline = 4 * time.Second
	graceOfRule  = 500 * time.Millisecond
	callersAHost = 6
	callerPause  = 100 * time.Millisecond
	warmUp       = 5 * time.Second // hosts and engines are in touch then
	crashAfter   = 300 * time.Millisecond
	crashTime    = 3 * time.Second
	watchTime    = 30 * time.Second
	// minUnanswered is the number of late requests from which the rule is judged.
	minUnanswered = 8
)

func config() stage.Object {
	return stage.Object{
		"version": 1,
		"routes": []stage.Object{
			{
				"name": "diagnosis", "host": stage.VirtualHost, "prefix": "/diagnosis/", "kind": "streaming", "timeout_ms": 6000, "slo_ms": 600, "priority": 1,
				"service": "diag-llm", "max_attempts": 1, "public": false, "sticky": true, "resumable": false, "gap_aim_ms": 200,
			},
			{
				"name": "book", "host": stage.VirtualHost, "prefix": "/book/", "kind": "unsafe", "timeout_ms": bookTimeout.Milliseconds(), "slo_ms": 200, "priority": 2,
				"service": "dispatch-app", "max_attempts": 1, "public": false,
			},
		},
		"services": []stage.Object{
			{"name": "diag-llm", "health_path": "/health", "max_conns": 230, "engine": stage.Object{
				"slots": 32, "kv_capacity_tokens": 130652, "token_kv_bytes": 131072, "link_mbps": 370000.0, "max_inflight": 12,
				"models": []stage.Object{{"name": "model-a"}},
			}},
			{"name": "dispatch-app", "health_path": "/health", "max_conns": 100},
		},
		"limits":  stage.Limits(),
		"tenants": []stage.Object{{"name": "club", "api_keys": []string{key}, "priority": 1, "unit": "tokens", "plain_tokens": 200, "isolated": false, "rate_per_s": 0, "burst": 0}},
	}
}

// longPrompt returns a prompt of many parts, all but the last of which others share.
func longPrompt(n int) stage.Request {
	parts := make([]string, 0, partsOfPrompt)
	for i := range partsOfPrompt - 1 {
		parts = append(parts, fmt.Sprintf("%08x:16", 0x5c1e07a2+i*7919))
	}
	parts = append(parts, fmt.Sprintf("e4%06x:250", n))
	return stage.Request{Method: "POST", Path: "/diagnosis/q", Key: key, Body: strings.NewReader("prompt"), Length: 6, Deadline: promptTime, Header: map[string]string{
		"X-Model": "model-a", "X-Token-Usage": "9834,80", "X-Prefix-Hash": strings.Join(parts, ","),
	}}
}

// bookings counts what callers of a route with a short timeout have seen.
type bookings struct {
	mu                                sync.Mutex
	sent, inTime, late, noAnswer, bad int
	longest                           time.Duration
}

func (b *bookings) add(r stage.Result, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent++
	b.longest = max(b.longest, took)
	if r.Complete() && r.Status != 200 {
		b.bad++
	}
	switch {
	case took <= bookTimeout:
		b.inTime++
	case took <= bookTimeout+graceOfRule:
		b.late++
	default:
		b.noAnswer++
	}
}

// crashBusiest crashes the engine that runs the most prompts.
func crashBusiest(s *stage.Stage, engines []*stage.Replica) {
	busiest := engines[0]
	for _, e := range engines {
		if len(e.Runs()) > len(busiest.Runs()) {
			busiest = e
		}
	}
	s.Note("%s runs %d prompts", busiest.ID, len(busiest.Runs()))
	busiest.Crash(crashTime)
}

func run(s *stage.Stage) (int, error) {
	if err := s.PublishConfig(config()); err != nil {
		return 0, err
	}
	zones := []string{"kigali-a", "kigali-b"}
	var engines []*stage.Replica
	for i := range 6 {
		zone := zones[i%len(zones)]
		engine := &stage.Replica{
			ID: fmt.Sprintf("engine-%d", i), Service: "diag-llm", Zone: zone, Model: "model-a", Slots: 32,
			Work: time.Second, HeadFirst: true, Events: 5, Interval: 30 * time.Millisecond,
		}
		app := &stage.Replica{ID: fmt.Sprintf("app-%d", i), Service: "dispatch-app", Zone: zone, Slots: 6, Work: 30 * time.Millisecond}
		for _, r := range []*stage.Replica{engine, app} {
			if err := s.AddReplica(r); err != nil {
				return 0, err
			}
		}
		engines = append(engines, engine)
	}
	hosts, err := s.AddHosts(3, zones...)
	if err != nil {
		return 0, err
	}
	seen := &bookings{}
	var traffic sync.WaitGroup
	end := time.Now().Add(warmUp + watchTime)
	for _, h := range hosts {
		for range callersAHost {
			traffic.Go(func() {
				caller := s.NewCaller(h)
				for time.Now().Before(end) {
					r := caller.Send(stage.Request{Method: "POST", Path: "/book/visit", Key: key, Body: strings.NewReader("visit"), Length: 5, Deadline: bookDeadline})
					seen.add(r, time.Since(r.SentAt))
					time.Sleep(callerPause)
				}
			})
		}
	}
	time.Sleep(warmUp)
	for n := range longPrompts {
		traffic.Go(func() { s.NewCaller(hosts[n%len(hosts)]).Send(longPrompt(n)) })
	}
	time.Sleep(crashAfter)
	if stage.Trouble() {
		crashBusiest(s, engines)
	}
	traffic.Wait()
	unanswered := seen.late + seen.noAnswer
	s.Say("bookings: %d sent, %d ended within their route's timeout of %v, %d of the others not within %v more; longest %d ms; %d with a failure",
		seen.sent, seen.inTime, bookTimeout, seen.noAnswer, graceOfRule, seen.longest.Milliseconds(), seen.bad)
	if seen.inTime == 0 {
		return 0, errors.New("no booking was answered")
	}
	if unanswered >= minUnanswered && 2*seen.noAnswer > unanswered {
		s.Say("CONFIG is broken: %d of %d requests that were unanswered at their route's timeout had no answer half a second later", seen.noAnswer, unanswered)
		return stage.ExitBroken, nil
	}
	s.Say("the rule held")
	return stage.ExitHeld, nil
}

func main() { stage.Main("review/3", run) }
