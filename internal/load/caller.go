package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
)

const (
	// maxTries bounds the hosts that a caller asks for one request.
	maxTries = 3
	// callerConnections is the number of idle connections that callers keep per host.
	callerConnections = 256
)

// outcome is what a caller saw of one request.
type outcome struct {
	completed bool
	// notRun says that the last host refused the request and it did not run.
	notRun bool
	code   string
	// firstToken counts from the scheduled arrival.
	firstToken time.Duration
	prompt     int
	cached     int
	// held is what the oracle found when the request arrived.
	held int
	err  error
}

// callers send the requests of all accounts. They ask the locator and keep its
// answers for their time to live.
type callers struct {
	client *http.Client
	model  string
	keys   []string
	zones  []string
	// entry returns addresses to ask when the locator's answer is not known.
	entry func() []string
	// delay is the network's share of a call from a zone to an address; nil means none.
	delay func(zone int, address string) time.Duration
	// cached is the oracle; nil means none.
	cached func(chain []prefix.BlockHash) int
	seeds  []prefix.BlockHash

	mu    sync.Mutex
	known map[string]located
}

type located struct {
	addresses []string
	until     time.Time
}

func newCallers(modelName string, keys, zones []string) *callers {
	c := &callers{
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callerConnections, DisableCompression: true}},
		model:  modelName, keys: keys, zones: zones, known: map[string]located{},
	}
	for _, a := range accounts {
		identity := prefix.Namespace{AccountID: a.id, Model: modelName, WeightsVersion: weightsVersion}
		c.seeds = append(c.seeds, identity.Seed())
	}
	return c
}

// send carries out one request of the schedule that began at start.
func (c *callers) send(ctx context.Context, s *Schedule, q *Request, start time.Time) outcome {
	prompt := s.Prompt(q)
	o := outcome{prompt: prefix.Tokens(len(prompt))}
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":true,"stream_options":{"include_usage":true},"prompt":"%s"}`,
		c.model, q.MaxTokens, prompt)
	due := start.Add(q.At)
	for try := range maxTries {
		address, err := c.locate(ctx, q, try)
		if err != nil {
			o.err = err
			continue
		}
		c.wait(ctx, q.Zone, address)
		if try == 0 && c.cached != nil {
			o.held = c.cached(prefix.Chain(c.seeds[q.Account], []byte(prompt)))
		}
		o.code, o.notRun, o.err = "", false, nil
		again := c.try(ctx, address, body, q, due, &o)
		if o.completed || !again {
			break
		}
		c.forget(q)
	}
	return o
}

func (c *callers) wait(ctx context.Context, zone int, address string) {
	if c.delay != nil {
		_ = sleep(ctx, c.delay(zone, address)) // the call after it sees the end of ctx
	}
}

// try sends to one host and reports whether another one may be asked.
func (c *callers) try(ctx context.Context, address, body string, q *Request, due time.Time, o *outcome) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(body))
	if err != nil {
		o.err = err
		return false
	}
	r.Header.Set("Authorization", "Bearer "+c.keys[q.Account])
	r.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(r)
	if err != nil {
		o.err = err
		return strings.Contains(err.Error(), "connect:") // nothing was sent
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		o.refused(text)
		return o.notRun && response.StatusCode == http.StatusServiceUnavailable
	}
	o.read(response.Body, due)
	return o.notRun
}

type errorBody struct {
	Error struct {
		Code string `json:"code"`
		Run  string `json:"run"`
	} `json:"error"`
}

func (o *outcome) refused(text []byte) {
	var body errorBody
	if err := json.Unmarshal(text, &body); err != nil {
		o.err = errors.Wrap(err, "decode a refusal")
		return
	}
	o.code, o.notRun = body.Error.Code, body.Error.Run == "not_run"
}

type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens int `json:"prompt_tokens"`
		Details      struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// read follows a stream to its end marker.
func (o *outcome) read(body io.Reader, due time.Time) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == "[DONE]" {
			o.completed = o.firstToken > 0
			return
		}
		var c chunk
		if err := json.Unmarshal(data, &c); err != nil {
			o.err = errors.Wrap(err, "decode a stream event")
			return
		}
		if len(c.Error) > 0 {
			o.refused(data)
			return
		}
		if o.firstToken == 0 && len(c.Choices) > 0 && c.Choices[0].Text != "" {
			o.firstToken = time.Since(due)
		}
		if c.Usage != nil {
			o.prompt, o.cached = c.Usage.PromptTokens, c.Usage.Details.CachedTokens
		}
	}
	o.err = lines.Err()
	if o.err == nil {
		o.err = errors.New("the stream ended without its end marker")
	}
}

// hint names what the prompt shares with others; short requests share nothing.
func (q *Request) hint() string {
	if q.Manual < 0 {
		return ""
	}
	return fmt.Sprintf("manual-%d", q.Manual)
}

func (c *callers) key(q *Request) string {
	return fmt.Sprintf("%d/%d/%s", q.Account, q.Zone, q.hint())
}

// locate returns the address for a try, from the locator or from its last answer.
func (c *callers) locate(ctx context.Context, q *Request, try int) (string, error) {
	c.mu.Lock()
	found := c.known[c.key(q)]
	c.mu.Unlock()
	if time.Now().After(found.until) {
		var err error
		if found, err = c.askLocator(ctx, q); err != nil {
			return "", err
		}
		c.mu.Lock()
		c.known[c.key(q)] = found
		c.mu.Unlock()
	}
	return found.addresses[try%len(found.addresses)], nil
}

func (c *callers) forget(q *Request) {
	c.mu.Lock()
	delete(c.known, c.key(q))
	c.mu.Unlock()
}

func (c *callers) askLocator(ctx context.Context, q *Request) (located, error) {
	query := url.Values{"model": {c.model}}
	if hint := q.hint(); hint != "" {
		query.Set("prefix_hint", hint)
	}
	if len(c.zones) > 0 {
		query.Set("zone", c.zones[q.Zone])
	}
	var last error
	for _, address := range c.entry() {
		c.wait(ctx, q.Zone, address)
		l, err := c.ask(ctx, "http://"+address+"/v1/addresses?"+query.Encode(), c.keys[q.Account])
		if err == nil {
			return l, nil
		}
		last = err
	}
	return located{}, errors.Wrap(last, "no host answered the locator's question")
}

func (c *callers) ask(ctx context.Context, target, key string) (located, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return located{}, err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	response, err := c.client.Do(r)
	if err != nil {
		return located{}, err
	}
	defer response.Body.Close()
	var body struct {
		Addresses []string `json:"addresses"`
		TTLMs     int64    `json:"ttl_ms"`
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return located{}, err
	}
	if response.StatusCode != http.StatusOK || len(body.Addresses) == 0 {
		return located{}, errors.Errorf("the locator answered with status %d", response.StatusCode)
	}
	return located{body.Addresses, time.Now().Add(time.Duration(body.TTLMs) * time.Millisecond)}, nil
}
