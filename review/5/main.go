// Command 5 shows that the KV cache of a tenant goes on being used by others after the
// operator has isolated that tenant.
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
	clubKey, schoolKey = "key-of-club", "key-of-school"
	requestTime        = 6 * time.Second
	warmUp             = 4 * time.Second
	// settleTime is well beyond the time within which a configuration must be in force.
	settleTime = 2 * stage.ConfigDeadline
	manuals    = 6
	pause      = 150 * time.Millisecond
)

func config(version int, schoolIsolated bool) stage.Object {
	tenant := func(name, key string, isolated bool) stage.Object {
		return stage.Object{"name": name, "api_keys": []string{key}, "priority": 1, "unit": "tokens", "plain_tokens": 200, "isolated": isolated, "rate_per_s": 0, "burst": 0}
	}
	return stage.Object{
		"version": version,
		"routes": []stage.Object{{
			"name": "diagnosis", "host": stage.VirtualHost, "prefix": "/diagnosis/", "kind": "streaming", "timeout_ms": 6000, "slo_ms": 600, "priority": 1,
			"service": "diag-llm", "max_attempts": 1, "public": false, "sticky": true, "resumable": false, "gap_aim_ms": 200,
		}},
		"services": []stage.Object{{"name": "diag-llm", "health_path": "/health", "max_conns": 230, "engine": stage.Object{
			"slots": 32, "kv_capacity_tokens": 130652, "token_kv_bytes": 131072, "link_mbps": 370000.0, "max_inflight": 12,
			"models": []stage.Object{{"name": "model-a"}},
		}}},
		"limits":  stage.Limits(),
		"tenants": []stage.Object{tenant("club", clubKey, false), tenant("school", schoolKey, schoolIsolated)},
	}
}

// cachedPart identifies a part as an engine finds it: under one text of X-Cache-Salt.
type cachedPart struct{ salt, id string }

// caches are the caches of all engines: who made each part that they keep. Nothing yields,
// since the parts of the run are far below the engines' memory.
type caches struct {
	stage *stage.Stage
	mu    sync.Mutex
	byID  map[string]map[cachedPart]string
	// address and id relate the engines to their addresses, for X-Kv-Fetch.
	byAddress map[string]string
	// isolatedFrom is when the isolation of school must be in force; zero if never.
	isolatedFrom time.Time
	foreign      int
	used         int
}

func (c *caches) onRun(r *stage.Replica, run stage.Run, parts []stage.Part) {
	c.mu.Lock()
	defer c.mu.Unlock()
	own := c.byID[r.ID]
	if own == nil {
		own = map[cachedPart]string{}
		c.byID[r.ID] = own
	}
	source := c.byID[c.byAddress[run.Header.Get("X-Kv-Fetch")]]
	for _, part := range parts[:len(parts)-1] { // the last one is the request's own
		key := cachedPart{run.Header.Get("X-Cache-Salt"), part.ID}
		maker, cached := own[key]
		if !cached && source != nil {
			maker, cached = source[key]
		}
		if !cached {
			own[key] = run.Tenant
			c.stage.Note("%s: %s of %s makes part %s under salt %q", r.ID, run.ID, run.Tenant, part.ID, key.salt)
			continue
		}
		own[key] = maker
		c.used++
		if maker == run.Tenant {
			continue
		}
		late := !c.isolatedFrom.IsZero() && run.At.After(c.isolatedFrom)
		c.stage.Note("%s: %s of %s uses part %s that a request of %s made, salt %q, school isolated: %v", r.ID, run.ID, run.Tenant, part.ID, maker, key.salt, late)
		if late {
			c.foreign++
		}
	}
}

func prompt(key string, manual, n int) stage.Request {
	return stage.Request{Method: "POST", Path: "/diagnosis/q", Key: key, Body: strings.NewReader("prompt"), Length: 6, Deadline: requestTime, Header: map[string]string{
		"X-Model": "model-a", "X-Token-Usage": "14660,80", "X-Prefix-Hash": fmt.Sprintf("5c1e%04x:13300,e4%06x:1360", manual, n),
	}}
}

// ask sends a prompt on each manual through each host, and returns how many were answered.
func ask(callers []*stage.Caller, key string, first int) int {
	answered := 0
	for manual := range manuals {
		for i, caller := range callers {
			if r := caller.Send(prompt(key, manual, first+manual*len(callers)+i)); r.Complete() && r.Status == 200 {
				answered++
			}
			time.Sleep(pause)
		}
	}
	return answered
}

func run(s *stage.Stage) (int, error) {
	if err := s.PublishConfig(config(1, false)); err != nil {
		return 0, err
	}
	c := &caches{stage: s, byID: map[string]map[cachedPart]string{}, byAddress: map[string]string{}}
	zones := []string{"kigali-a", "kigali-b"}
	for i := range 3 {
		r := &stage.Replica{
			ID: fmt.Sprintf("engine-%d", i), Service: "diag-llm", Zone: zones[i%len(zones)], Model: "model-a", Slots: 32,
			Work: 50 * time.Millisecond, Events: 5, Interval: 10 * time.Millisecond, OnRun: c.onRun,
		}
		if err := s.AddReplica(r); err != nil {
			return 0, err
		}
		c.byAddress[r.Address()] = r.ID
	}
	hosts, err := s.AddHosts(2, zones...)
	if err != nil {
		return 0, err
	}
	var callers []*stage.Caller
	for _, h := range hosts {
		callers = append(callers, s.NewCaller(h))
	}
	time.Sleep(warmUp)
	before := ask(callers, schoolKey, 0)
	if stage.Trouble() {
		if err := s.PublishConfig(config(2, true)); err != nil {
			return 0, err
		}
		c.mu.Lock()
		c.isolatedFrom = time.Now().Add(stage.ConfigDeadline)
		c.mu.Unlock()
	}
	time.Sleep(settleTime)
	after := ask(callers, clubKey, 1000)
	s.Say("%d prompts of school and then %d of club were answered; parts were used from a cache %d times", before, after, c.used)
	if before == 0 || after == 0 {
		return 0, errors.New("no prompt was answered")
	}
	if c.foreign > 0 {
		s.Say("WALL is broken: club used parts that requests of school had made %d times, later than %v after the ack that isolated school", c.foreign, stage.ConfigDeadline)
		return stage.ExitBroken, nil
	}
	s.Say("the rule held")
	return stage.ExitHeld, nil
}

func main() { stage.Main("review/5", run) }
