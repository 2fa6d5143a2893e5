// Command 2 shows that a part of prompts goes on crashing engines if they crash after the
// first event of an answer.
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
	key          = "key-of-club"
	deadlyPart   = "dead0001"
	requestTime  = 6 * time.Second
	soundCallers = 30
	soundPause   = 250 * time.Millisecond
	warmUp       = 5 * time.Second // hosts and engines are in touch then
	deadlyPeriod = 20 * time.Second
	deadlyEvery  = time.Second
	downTime     = 4 * time.Second // the replica is back after some seconds
	coolDown     = 3 * time.Second
	// crashesBefore and maxDeadly are those of the rule.
	crashesBefore = 5
	maxDeadly     = 3
)

func config() stage.Object {
	return stage.Object{
		"version": 1,
		"routes": []stage.Object{{
			"name": "diagnosis", "host": stage.VirtualHost, "prefix": "/diagnosis/", "kind": "streaming", "timeout_ms": 6000, "slo_ms": 600, "priority": 1,
			"service": "diag-llm", "max_attempts": 1, "public": false, "sticky": true, "resumable": false, "gap_aim_ms": 200,
		}},
		"services": []stage.Object{{"name": "diag-llm", "health_path": "/health", "max_conns": 230, "engine": stage.Object{
			"slots": 32, "kv_capacity_tokens": 130652, "token_kv_bytes": 131072, "link_mbps": 370000.0, "max_inflight": 12,
			"models": []stage.Object{{"name": "model-a"}},
		}}},
		"limits":  stage.Limits(),
		"tenants": []stage.Object{{"name": "club", "api_keys": []string{key}, "priority": 1, "unit": "tokens", "plain_tokens": 200, "isolated": false, "rate_per_s": 0, "burst": 0}},
	}
}

func prompt(prefix string) stage.Request {
	return stage.Request{Method: "POST", Path: "/diagnosis/q", Key: key, Body: strings.NewReader("prompt"), Length: 6, Deadline: requestTime, Header: map[string]string{
		"X-Model": "model-a", "X-Token-Usage": "1460,80", "X-Prefix-Hash": prefix,
	}}
}

// crashes records when engines crashed, and when requests with the deadly part reached one.
type crashes struct {
	mu               sync.Mutex
	crashed, arrived []time.Time
}

func isDeadly(run stage.Run) bool {
	return strings.Contains(run.Header.Get("X-Prefix-Hash"), deadlyPart)
}

func (c *crashes) onRun(_ *stage.Replica, run stage.Run, _ []stage.Part) {
	if !isDeadly(run) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrived = append(c.arrived, time.Now())
}

// onEvent crashes the engine after the first event of an answer to a deadly prompt.
func (c *crashes) onEvent(r *stage.Replica, run stage.Run, _ int) bool {
	if !isDeadly(run) {
		return true
	}
	c.mu.Lock()
	c.crashed = append(c.crashed, time.Now())
	c.mu.Unlock()
	r.Crash(downTime)
	return false
}

// countLate counts the deadly requests that the rule judges.
func (c *crashes) countLate() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashed) < crashesBefore {
		return 0
	}
	from, late := c.crashed[crashesBefore-1].Add(stage.Contact), 0
	for _, at := range c.arrived {
		if at.After(from) {
			late++
		}
	}
	return late
}

func run(s *stage.Stage) (int, error) {
	if err := s.PublishConfig(config()); err != nil {
		return 0, err
	}
	seen := &crashes{}
	zones := []string{"kigali-a", "kigali-b"}
	for i := range 9 {
		err := s.AddReplica(&stage.Replica{
			ID: fmt.Sprintf("engine-%d", i), Service: "diag-llm", Zone: zones[i%len(zones)], Model: "model-a", Slots: 32,
			Work: 80 * time.Millisecond, Events: 17, Interval: 30 * time.Millisecond, OnRun: seen.onRun, OnEvent: seen.onEvent,
		})
		if err != nil {
			return 0, err
		}
	}
	hosts, err := s.AddHosts(3, zones...)
	if err != nil {
		return 0, err
	}
	var traffic sync.WaitGroup
	var mu sync.Mutex
	sent, complete, broken := 0, 0, 0
	end := time.Now().Add(warmUp + deadlyPeriod + coolDown)
	for i := range soundCallers {
		traffic.Go(func() {
			caller := s.NewCaller(hosts[i%len(hosts)])
			for n := 0; time.Now().Before(end); n++ {
				r := caller.Send(prompt(fmt.Sprintf("5c1e07a2:800,91bd%04x:410,e4%02x%04x:250", i, i, n)))
				mu.Lock()
				sent++
				switch {
				case !r.Complete():
					broken++
				case r.Status == 200:
					complete++
				}
				mu.Unlock()
				time.Sleep(soundPause)
			}
		})
	}
	time.Sleep(warmUp)
	if stage.Trouble() {
		for n := range int(deadlyPeriod / deadlyEvery) {
			traffic.Go(func() {
				s.NewCaller(hosts[n%len(hosts)]).Send(prompt(fmt.Sprintf("5c1e07a2:800,%s:200,aa%06x:250", deadlyPart, n)))
			})
			time.Sleep(deadlyEvery)
		}
	}
	traffic.Wait()
	late := seen.countLate()
	s.Say("engines crashed %d times; %d requests with the part that crashes them reached engines", len(seen.crashed), len(seen.arrived))
	s.Say("%d of these later than %v after the fifth crash; the rule allows %d", late, stage.Contact, maxDeadly)
	s.Say("sound prompts: %d sent, %d complete, %d broken off", sent, complete, broken)
	if complete == 0 {
		return 0, errors.New("no prompt was answered")
	}
	if late > maxDeadly {
		s.Say("BUDGET is broken")
		return stage.ExitBroken, nil
	}
	s.Say("the rule held")
	return stage.ExitHeld, nil
}

func main() { stage.Main("review/2", run) }
