package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/sequoiaroad/sequoiaroad/internal/dispatch"
	"github.com/sequoiaroad/sequoiaroad/internal/fleet"
	"github.com/sequoiaroad/sequoiaroad/internal/idempotency"
	"github.com/sequoiaroad/sequoiaroad/internal/quota"
	"github.com/sequoiaroad/sequoiaroad/internal/refusal"
	"github.com/sequoiaroad/sequoiaroad/internal/target"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
	"github.com/sequoiaroad/sequoiaroad/standin/engine"
	"github.com/sequoiaroad/sequoiaroad/standin/service"
)

const (
	clubKey   = "sk-club-0123456789abcdef"
	schoolKey = "sk-school-fedcba9876543210"
)

// testView is a fleet.View whose state is set by the test.
type testView struct {
	mu        sync.Mutex
	index     *config.Index
	fresh     bool
	withdrawn map[string]bool
	hosts     []fleet.HostStatus
	listeners []func()
}

func (v *testView) Index() *config.Index { v.mu.Lock(); defer v.mu.Unlock(); return v.index }
func (v *testView) Self() config.Member {
	return config.Member{HostID: "h1", CallerAddress: "127.0.0.1:1"}
}
func (v *testView) Fresh() bool           { v.mu.Lock(); defer v.mu.Unlock(); return v.fresh }
func (v *testView) FreshUntil() time.Time { return time.Now().Add(time.Second) }
func (v *testView) Withdrawn(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.withdrawn[id]
}
func (v *testView) Hosts() []fleet.HostStatus { v.mu.Lock(); defer v.mu.Unlock(); return v.hosts }
func (v *testView) Subscribe(f func())        { v.listeners = append(v.listeners, f) }
func (v *testView) set(change func(*testView)) {
	v.mu.Lock()
	change(v)
	v.mu.Unlock()
	for _, f := range v.listeners {
		f()
	}
}

// testLimiter counts reserved and settled tokens, and reservations that are not settled.
type testLimiter struct {
	mu  sync.Mutex
	err error
	// expireAll and expireFirst make all reservations or the first one expired.
	expireAll      bool
	expireFirst    bool
	unsettled      int
	reservedTokens int64
	settledTokens  int64
}

func (l *testLimiter) Reserve(_ context.Context, account string, tokens int64) (quota.Reservation, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return nil, l.err
	}
	l.unsettled++
	l.reservedTokens += tokens
	return &testReservation{limiter: l, expired: l.expireFirst && l.reservedTokens == tokens}, nil
}

type testReservation struct {
	limiter *testLimiter
	settled bool
	expired bool
}

func (r *testReservation) Valid() bool {
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	return !r.limiter.expireAll && !r.expired
}

func (r *testReservation) Settle(used int64) {
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	if r.settled {
		panic("reservation settled twice")
	}
	r.settled = true
	r.limiter.unsettled--
	r.limiter.settledTokens += used
}

// testCompleter sends each completion once, to one engine.
type testCompleter struct {
	client *target.HTTPEngineClient
	target *config.Target
}

func (c *testCompleter) Complete(ctx context.Context, completion *dispatch.Completion, sink func(dispatch.Token) error) (dispatch.Result, error) {
	result := dispatch.Result{TargetID: c.target.ID}
	if err := completion.AllowDispatch(); err != nil {
		return result, err
	}
	var stream target.TokenStream
	var err error
	id, next := completion.RequestID+"-1", 0
	if completion.ResumeFrom != nil {
		id, next = completion.ResumeFrom.EngineRequestID, completion.ResumeFrom.Offset
		stream, err = c.client.Resume(ctx, c.target, id, next)
	} else {
		salt := prefix.Namespace{AccountID: completion.AccountID, Model: completion.Model}.Seed()
		stream, err = c.client.Complete(ctx, c.target, &target.CompletionRequest{RequestID: id, Chat: completion.Chat, Body: completion.Body, CacheSalt: salt.String()})
	}
	if err != nil {
		return result, engineRefusal(err)
	}
	defer stream.Close()
	for {
		e, err := stream.Next()
		switch {
		case err != nil:
			return result, engineRefusal(err)
		case e.Done:
			return result, nil
		case e.Usage != nil:
			result.Usage = *e.Usage
			continue
		}
		next = e.Offset + 1
		position := dispatch.StreamPosition{EngineRequestID: id, TargetID: c.target.ID, Epoch: stream.Epoch(), Offset: next}
		if err := sink(dispatch.Token{Position: position, Text: e.Text, FinishReason: e.FinishReason}); err != nil {
			return result, errors.New("the caller has disconnected")
		}
	}
}

func engineRefusal(err error) error {
	r := refusal.New(refusal.TargetFailed, "the engine failed").WithCause(err)
	var failed *target.CallError
	if !errors.As(err, &failed) || !failed.NotExecuted {
		return r.WithExecution(refusal.ExecutionUnknown)
	}
	return r
}

// testChooser chooses the first replica that was not tried.
type testChooser struct {
	mu       sync.Mutex
	replicas []*config.Target
}

func (c *testChooser) ChooseService(_ string, tried []string) (*config.Target, func(error), error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.replicas {
		if !slices.Contains(tried, t.ID) {
			return t, func(error) {}, nil
		}
	}
	return nil, nil, refusal.New(refusal.TargetUnavailable, "no replica is left")
}

// testRegistry is an idempotency.Registry in memory.
type testRegistry struct {
	mu       sync.Mutex
	records  map[string]*testClaim
	beginErr error
	sendErr  error
}

type testClaim struct {
	registry    *testRegistry
	fingerprint string
	state       string
	response    idempotency.Response
	sends       int
}

func (r *testRegistry) Begin(_ context.Context, k idempotency.Key) (idempotency.Claim, *idempotency.Response, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.beginErr != nil {
		return nil, nil, r.beginErr
	}
	id := k.AccountID + "/" + k.Service + "/" + k.IdempotencyKey
	record := r.records[id]
	if record == nil {
		record = &testClaim{registry: r, fingerprint: k.Fingerprint, state: "not_run"}
		r.records[id] = record
	}
	if record.fingerprint != k.Fingerprint {
		return nil, nil, refusal.New(refusal.IdempotencyKeyReused, "the key was used for another request")
	}
	switch record.state {
	case "done":
		return nil, &record.response, nil
	case "unknown":
		return nil, nil, refusal.New(refusal.OutcomeUnknown, "the outcome is unknown").WithExecution(refusal.ExecutionUnknown)
	case "claimed":
		return nil, nil, refusal.New(refusal.StillRunning, "the request is running").WithExecution(refusal.ExecutionUnknown)
	}
	record.state = "claimed"
	return record, nil, nil
}

func (r *testRegistry) Unresolved(context.Context) ([]idempotency.Record, error) { return nil, nil }
func (r *testRegistry) Resolve(context.Context, string, string, string, *idempotency.Response) error {
	return nil
}

func (r *testRegistry) state(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.records[id] == nil {
		return ""
	}
	return r.records[id].state
}

func (c *testClaim) AllowSend(time.Time) error {
	c.registry.mu.Lock()
	defer c.registry.mu.Unlock()
	if c.registry.sendErr != nil {
		return c.registry.sendErr
	}
	c.sends++
	return nil
}

func (c *testClaim) end(state string, response idempotency.Response) {
	c.registry.mu.Lock()
	defer c.registry.mu.Unlock()
	if c.state != "claimed" {
		panic("claim ended twice: " + c.state + ", " + state)
	}
	c.state, c.response = state, response
}

func (c *testClaim) Complete(_ context.Context, response idempotency.Response) {
	c.end("done", response)
}
func (c *testClaim) MarkNotExecuted(context.Context) { c.end("not_run", idempotency.Response{}) }
func (c *testClaim) MarkUnknown(context.Context)     { c.end("unknown", idempotency.Response{}) }

// lockedBuffer collects log lines.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// fixture is a gateway with a stand-in engine and a stand-in service as targets.
type fixture struct {
	view     *testView
	limiter  *testLimiter
	engine   *engine.Engine
	service  *service.Service
	replicas []*config.Target
	chooser  *testChooser
	registry *testRegistry
	logs     *lockedBuffer
	options  Options
	url      string
	draining bool
	mu       sync.Mutex
}

type testingT interface {
	Cleanup(func())
	Fatal(args ...any)
}

// newFixture returns a fixture. adjust may change its fields and options before the
// gateway is created.
func newFixture(t testingT, adjust func(*fixture)) *fixture {
	f := &fixture{
		view: &testView{fresh: true, withdrawn: map[string]bool{}}, limiter: &testLimiter{},
		engine:  engine.New(engine.Options{WeightsVersion: "v1", DecodePerToken: time.Millisecond}),
		service: service.New(service.Options{}), registry: &testRegistry{records: map[string]*testClaim{}},
		logs: &lockedBuffer{},
	}
	engineServer, serviceServer := httptest.NewServer(f.engine), httptest.NewServer(f.service)
	t.Cleanup(engineServer.Close)
	t.Cleanup(serviceServer.Close)
	for i := range 2 {
		f.replicas = append(f.replicas, &config.Target{
			ID: fmt.Sprintf("booking-%d", i), Kind: config.TargetService, Service: "booking", URL: serviceServer.URL,
		})
	}
	f.chooser = &testChooser{replicas: f.replicas}
	f.view.index = config.NewIndex(&config.Document{
		Accounts: []config.Account{{ID: "club"}, {ID: "school"}},
		ClientKeys: []config.ClientKey{
			{ID: "k1", AccountID: "club", Hash: config.HashKey(clubKey)},
			{ID: "k2", AccountID: "school", Hash: config.HashKey(schoolKey)},
		},
		Models: []config.Model{{ID: "m", WeightsVersion: "v1"}},
		Routes: []config.Route{
			{Service: "booking", PathPrefix: "/runs", Idempotent: true},
			{Service: "booking", PathPrefix: "/echo", Open: true, Idempotent: true},
		},
		Targets: []config.Target{*f.replicas[0], *f.replicas[1]},
	})
	f.options = Options{
		View: f.view, Limiter: f.limiter, Services: f.chooser, Claims: f.registry, ServiceClient: target.NewServiceClient(),
		Completer:    &testCompleter{target.NewEngineClient(), &config.Target{ID: "e1", URL: engineServer.URL}},
		StreamSecret: []byte("secret"), DefaultTimeout: func() time.Duration { return 10 * time.Second },
		Logger:   hclog.New(&hclog.LoggerOptions{Output: f.logs, Level: hclog.Trace}),
		Draining: func() bool { f.mu.Lock(); defer f.mu.Unlock(); return f.draining },
	}
	if adjust != nil {
		adjust(f)
	}
	server := httptest.NewServer(New(f.options))
	t.Cleanup(server.Close)
	f.url = server.URL
	return f
}

// callResult is a response, or the error instead of one, as received by a caller.
type callResult struct {
	status int
	header http.Header
	body   string
	err    error
}

func (r callResult) refusal() errorDetail {
	var b errorBody
	_ = json.Unmarshal([]byte(r.body), &b)
	return b.Error
}

func (f *fixture) do(method, path, key, body string, headers ...string) callResult {
	request, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	if err != nil {
		return callResult{err: err}
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return callResult{response.StatusCode, response.Header, string(data), err}
}

// event is a server-sent event as parsed by a caller.
type event struct{ id, name, data string }

func parseEvents(text string) []event {
	var events []event
	for block := range strings.SplitSeq(strings.TrimSuffix(text, "\n\n"), "\n\n") {
		var e event
		for line := range strings.SplitSeq(block, "\n") {
			name, value, _ := strings.Cut(line, ": ")
			switch name {
			case "id":
				e.id = value
			case "event":
				e.name = value
			case "data":
				e.data = value
			}
		}
		events = append(events, e)
	}
	return events
}

func eventText(events []event) string {
	var text strings.Builder
	for _, e := range events {
		var b completionBody
		if json.Unmarshal([]byte(e.data), &b) != nil || len(b.Choices) == 0 {
			continue
		}
		if b.Choices[0].Text != nil {
			text.WriteString(*b.Choices[0].Text)
		}
		if b.Choices[0].Delta != nil {
			text.WriteString(b.Choices[0].Delta.Content)
		}
	}
	return text.String()
}

// unreachableReplica returns a target with a closed port.
func unreachableReplica(t testingT) *config.Target {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	return &config.Target{ID: "unreachable", Kind: config.TargetService, Service: "booking", URL: "http://" + listener.Addr().String()}
}

var _ testingT = (*testing.T)(nil)
