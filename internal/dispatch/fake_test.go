package dispatch

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/sequoiaroad/sequoiaroad/internal/target"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
)

const responseTokens = 10

var errFake = errors.New("injected failure")

// script defines how a fake engine handles an attempt.
type script struct {
	// callErr is returned by Complete.
	callErr *target.CallError
	// breakAt ends the stream with an error before that token; 0 means never.
	breakAt int
	// stallAt stops sending before that token, until the context ends.
	stallAt int
	// holdAt stops sending before that token until release is closed.
	holdAt  int
	release <-chan struct{}
	// skipAt omits that token once.
	skipAt int
	// repeat sends each token twice, followed by an older one.
	repeat bool
	// endAt sends the end marker before that token.
	endAt int
	// noResume rejects Resume; otherwise a resumed stream is healthy.
	noResume bool
	// hang blocks Complete until the context ends.
	hang bool
	// prefill delays the first token.
	prefill time.Duration
	// cached is the cached-token count of the usage.
	cached int
}

// fakeEngines is an EngineClient for all targets. It responds to every request with the
// tokens "0 ", "1 ", and so on.
type fakeEngines struct {
	mu       sync.Mutex
	scripts  map[string][]script // by target, consumed in order; then healthy
	epochs   map[string]string
	weights  map[string]string // by target; "v" if it has none
	sent     []string          // target and offset of each Complete
	requests []*target.CompletionRequest
	resumed  []string
	cancels  []string
	running  map[string]int
	peak     map[string]int
}

func newFakeEngines() *fakeEngines {
	return &fakeEngines{scripts: map[string][]script{}, epochs: map[string]string{}, weights: map[string]string{}, running: map[string]int{}, peak: map[string]int{}}
}

func (f *fakeEngines) epoch(id string) string {
	if e := f.epochs[id]; e != "" {
		return e
	}
	return "e"
}

func (f *fakeEngines) Complete(ctx context.Context, t *config.Target, r *target.CompletionRequest) (target.TokenStream, error) {
	f.mu.Lock()
	var s script
	if scripts := f.scripts[t.ID]; len(scripts) > 0 {
		s, f.scripts[t.ID] = scripts[0], scripts[1:]
	}
	f.sent = append(f.sent, fmt.Sprintf("%s@%d", t.ID, r.ResumeOffset))
	f.requests = append(f.requests, r)
	f.running[t.ID]++
	f.peak[t.ID] = max(f.peak[t.ID], f.running[t.ID])
	epoch := f.epoch(t.ID)
	f.mu.Unlock()
	if s.callErr != nil || s.hang {
		f.requestDone(t.ID)
	}
	if s.callErr != nil {
		return nil, s.callErr
	}
	if s.hang {
		<-ctx.Done()
		return nil, &target.CallError{Step: "response", Target: t.ID, Err: ctx.Err()}
	}
	return &fakeStream{ctx: ctx, engines: f, id: t.ID, request: r.RequestID, epoch: epoch, next: r.ResumeOffset, script: s}, nil
}

func (f *fakeEngines) requestDone(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[id]--
}

func (f *fakeEngines) Resume(ctx context.Context, t *config.Target, id string, offset int) (target.TokenStream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resumed = append(f.resumed, fmt.Sprintf("%s@%d", t.ID, offset))
	if scripts := f.scripts[t.ID+"/resume"]; len(scripts) > 0 {
		s := scripts[0]
		f.scripts[t.ID+"/resume"] = scripts[1:]
		if s.noResume {
			return nil, &target.CallError{Step: "response", Target: t.ID, Status: 404, Err: errFake}
		}
		return &fakeStream{ctx: ctx, engines: f, id: t.ID, request: id, epoch: f.epoch(t.ID), next: offset, script: s}, nil
	}
	return &fakeStream{ctx: ctx, engines: f, id: t.ID, request: id, epoch: f.epoch(t.ID), next: offset}, nil
}

func (f *fakeEngines) Cancel(_ context.Context, t *config.Target, id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancels = append(f.cancels, t.ID+"/"+id)
	return nil
}

func (f *fakeEngines) Load(_ context.Context, t *config.Target) (target.LoadReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	version := f.weights[t.ID]
	if version == "" {
		version = "v"
	}
	return target.LoadReport{Epoch: f.epoch(t.ID), WeightsVersion: version, MeasuredAt: time.Now()}, nil
}

type fakeStream struct {
	ctx     context.Context
	engines *fakeEngines
	id      string
	request string
	epoch   string
	next    int
	script  script
	pending []target.TokenEvent
	stage   int
	ended   bool
}

func fakeToken(i int) target.TokenEvent {
	e := target.TokenEvent{Offset: i, Text: fmt.Sprintf("%d ", i)}
	if i == responseTokens-1 {
		e.FinishReason = "stop"
	}
	return e
}

func (s *fakeStream) Next() (target.TokenEvent, error) {
	if len(s.pending) > 0 {
		e := s.pending[0]
		s.pending = s.pending[1:]
		return e, nil
	}
	if s.next == 0 && s.script.prefill > 0 {
		select {
		case <-time.After(s.script.prefill):
		case <-s.ctx.Done():
			return target.TokenEvent{}, s.ctx.Err()
		}
	}
	if s.script.holdAt > 0 && s.next >= s.script.holdAt {
		<-s.script.release
	}
	switch {
	case s.script.breakAt > 0 && s.next >= s.script.breakAt:
		s.end()
		return target.TokenEvent{}, &target.CallError{Step: "stream", Target: s.id, Err: errFake}
	case s.script.stallAt > 0 && s.next >= s.script.stallAt:
		<-s.ctx.Done()
		s.end()
		return target.TokenEvent{}, s.ctx.Err()
	case s.script.endAt > 0 && s.next >= s.script.endAt:
		s.end()
		return target.TokenEvent{Done: true}, nil
	case s.next < responseTokens:
		return s.nextToken(), nil
	}
	s.stage++
	if s.stage == 1 {
		return target.TokenEvent{Usage: &target.Usage{PromptTokens: 1000, CompletionTokens: responseTokens, CachedTokens: s.script.cached}}, nil
	}
	s.end()
	return target.TokenEvent{Done: true}, nil
}

func (s *fakeStream) nextToken() target.TokenEvent {
	if s.script.skipAt > 0 && s.next == s.script.skipAt {
		s.script.skipAt = 0
		s.next++
	}
	e := fakeToken(s.next)
	s.next++
	if s.script.repeat {
		s.pending = append(s.pending, e, fakeToken(s.next/2))
	}
	return e
}

func (s *fakeStream) end() {
	if !s.ended {
		s.ended = true
		s.engines.requestDone(s.id)
	}
}

func (s *fakeStream) Epoch() string { return s.epoch }

func (s *fakeStream) Close() {
	if s.stage < 2 {
		_ = s.engines.Cancel(context.Background(), &config.Target{ID: s.id}, s.request)
	}
	s.end()
}

// fixture is a dispatcher with fake engines.
type fixture struct {
	d        *Dispatcher
	engines  *fakeEngines
	document *config.Document
	index    *config.Index
	mu       sync.Mutex
}

func newFixture(targets int) *fixture {
	f := &fixture{engines: newFakeEngines()}
	f.document = &config.Document{
		Revision: 1,
		Models:   []config.Model{{ID: "m", WeightsVersion: "v"}},
		Accounts: []config.Account{{ID: "a", RateTokensPerSecond: 1_000_000, BurstTokens: 1_000_000}, {ID: "b", RateTokensPerSecond: 1, BurstTokens: 1}},
	}
	for i := range targets {
		f.document.Targets = append(f.document.Targets, config.Target{ID: fmt.Sprint("t", i), Kind: config.TargetEngine, Models: []string{"m"}})
	}
	for i := range 3 {
		f.document.Targets = append(f.document.Targets, config.Target{ID: fmt.Sprint("s", i), Kind: config.TargetService, Service: "booking"})
	}
	f.index = config.NewIndex(f.document)
	d, err := New(Options{Config: f.config, Engines: f.engines, StallTimeout: 30 * time.Millisecond, IndexBlocks: 10_000})
	if err != nil {
		panic(err)
	}
	f.d = d
	return f
}

func (f *fixture) config() *config.Index {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.index
}

func (f *fixture) updateConfig(mutate func(*config.Document)) {
	next := f.config().Document().Clone()
	mutate(next)
	next.Revision++
	f.mu.Lock()
	defer f.mu.Unlock()
	f.index = config.NewIndex(next)
}

func (f *fixture) reportLoad(id string) {
	f.d.ObserveLoad(id, target.LoadReport{Epoch: f.engines.epoch(id), WeightsVersion: "v", MeasuredAt: time.Now()})
}

func completion(account string, blocks int) *Completion {
	return &Completion{
		RequestID: "r", AccountID: account, Model: "m", Prompt: make([]byte, blocks*prefix.BlockBytes+10), MaxOutputTokens: responseTokens,
	}
}

// collectTokens returns a sink, and a function that returns the text and tokens it
// received.
func collectTokens() (func(Token) error, func() (string, []Token)) {
	var mu sync.Mutex
	var text strings.Builder
	var tokens []Token
	return func(t Token) error {
			mu.Lock()
			defer mu.Unlock()
			text.WriteString(t.Text)
			tokens = append(tokens, t)
			return nil
		}, func() (string, []Token) {
			mu.Lock()
			defer mu.Unlock()
			return text.String(), tokens
		}
}

func fullResponseText() string {
	var b strings.Builder
	for i := range responseTokens {
		b.WriteString(fakeToken(i).Text)
	}
	return b.String()
}
