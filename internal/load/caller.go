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
	// maxAttempts bounds the attempts of a request, each at another host.
	maxAttempts = 3
	// maxIdleConnsPerHost is the number of idle connections per host.
	maxIdleConnsPerHost = 256
)

// outcome is the outcome of a request for its caller.
type outcome struct {
	completed bool
	// notRun means that the last host rejected the request and it was not executed.
	notRun      bool
	refusalCode string
	// timeToFirstToken is measured from the scheduled arrival, not from the actual send.
	timeToFirstToken time.Duration
	promptTokens     int
	cachedTokens     int
	// oracleTokens is the number of prompt tokens that the best engine had cached when
	// the request was sent.
	oracleTokens int
	err          error
}

// callers sends the requests of all accounts. It looks up hosts at the locator and
// caches the responses for their time to live.
type callers struct {
	client *http.Client
	model  string
	keys   []string
	zones  []string
	// entryAddresses returns the addresses of hosts that serve the locator.
	entryAddresses func() []string
	// delay returns the network delay of a call from a zone to an address; nil means none.
	delay func(zone int, address string) time.Duration
	// oracle returns the most tokens of a prompt that any engine has cached; nil means
	// that the engines can't be inspected.
	oracle func(chain []prefix.BlockHash) int
	seeds  []prefix.BlockHash // hash chain seeds of the accounts

	mu           sync.Mutex
	locatorCache map[string]locatorEntry
}

// locatorEntry is a cached response of the locator.
type locatorEntry struct {
	addresses []string
	expiresAt time.Time
}

func newCallers(modelName string, keys, zones []string) *callers {
	c := &callers{
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true}},
		model:  modelName, keys: keys, zones: zones, locatorCache: map[string]locatorEntry{},
	}
	for _, a := range accounts {
		namespace := prefix.Namespace{AccountID: a.id, Model: modelName, WeightsVersion: weightsVersion}
		c.seeds = append(c.seeds, namespace.Seed())
	}
	return c
}

// send sends one request of a schedule that began at start, and retries it at other
// hosts if it was not executed.
func (c *callers) send(ctx context.Context, s *Schedule, q *Request, start time.Time) outcome {
	prompt := s.Prompt(q)
	o := outcome{promptTokens: prefix.Tokens(len(prompt))}
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":true,"stream_options":{"include_usage":true},"prompt":"%s"}`,
		c.model, q.MaxTokens, prompt)
	arrival := start.Add(q.At)
	for attempt := range maxAttempts {
		address, err := c.locate(ctx, q, attempt)
		if err != nil {
			o.err = err
			continue
		}
		c.addDelay(ctx, q.Zone, address)
		if attempt == 0 && c.oracle != nil {
			o.oracleTokens = c.oracle(prefix.Chain(c.seeds[q.Account], []byte(prompt)))
		}
		o.refusalCode, o.notRun, o.err = "", false, nil
		retry := c.attempt(ctx, address, body, q, arrival, &o)
		if o.completed || !retry {
			break
		}
		c.invalidate(q)
	}
	return o
}

// addDelay sleeps for the network delay of a call.
func (c *callers) addDelay(ctx context.Context, zone int, address string) {
	if c.delay != nil {
		_ = sleep(ctx, c.delay(zone, address)) // the call that follows fails if ctx has ended
	}
}

// attempt sends a request to one host and reports whether it may be retried at another.
func (c *callers) attempt(ctx context.Context, address, body string, q *Request, arrival time.Time, o *outcome) bool {
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
		o.setRefusal(text)
		return o.notRun && response.StatusCode == http.StatusServiceUnavailable
	}
	o.readStream(response.Body, arrival)
	return o.notRun
}

type errorBody struct {
	Error struct {
		Code string `json:"code"`
		Run  string `json:"run"`
	} `json:"error"`
}

func (o *outcome) setRefusal(text []byte) {
	var body errorBody
	if err := json.Unmarshal(text, &body); err != nil {
		o.err = errors.Wrap(err, "decode an error response")
		return
	}
	o.refusalCode, o.notRun = body.Error.Code, body.Error.Run == "not_run"
}

type streamChunk struct {
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

// readStream reads a stream up to its end marker.
func (o *outcome) readStream(body io.Reader, arrival time.Time) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == "[DONE]" {
			o.completed = o.timeToFirstToken > 0
			return
		}
		var c streamChunk
		if err := json.Unmarshal(data, &c); err != nil {
			o.err = errors.Wrap(err, "decode a stream event")
			return
		}
		if len(c.Error) > 0 {
			o.setRefusal(data)
			return
		}
		if o.timeToFirstToken == 0 && len(c.Choices) > 0 && c.Choices[0].Text != "" {
			o.timeToFirstToken = time.Since(arrival)
		}
		if c.Usage != nil {
			o.promptTokens, o.cachedTokens = c.Usage.PromptTokens, c.Usage.Details.CachedTokens
		}
	}
	o.err = lines.Err()
	if o.err == nil {
		o.err = errors.New("stream ended without its end marker")
	}
}

// prefixHint identifies the prefix that the prompt shares with others. It is empty for
// short requests, which share none.
func (q *Request) prefixHint() string {
	if q.Manual < 0 {
		return ""
	}
	return fmt.Sprintf("manual-%d", q.Manual)
}

func (c *callers) cacheKey(q *Request) string {
	return fmt.Sprintf("%d/%d/%s", q.Account, q.Zone, q.prefixHint())
}

// locate returns the address for an attempt, from the cache or from the locator.
func (c *callers) locate(ctx context.Context, q *Request, attempt int) (string, error) {
	c.mu.Lock()
	entry := c.locatorCache[c.cacheKey(q)]
	c.mu.Unlock()
	if time.Now().After(entry.expiresAt) {
		var err error
		if entry, err = c.queryLocator(ctx, q); err != nil {
			return "", err
		}
		c.mu.Lock()
		c.locatorCache[c.cacheKey(q)] = entry
		c.mu.Unlock()
	}
	return entry.addresses[attempt%len(entry.addresses)], nil
}

func (c *callers) invalidate(q *Request) {
	c.mu.Lock()
	delete(c.locatorCache, c.cacheKey(q))
	c.mu.Unlock()
}

// queryLocator returns the response of the first host that responds with addresses.
func (c *callers) queryLocator(ctx context.Context, q *Request) (locatorEntry, error) {
	query := url.Values{"model": {c.model}}
	if hint := q.prefixHint(); hint != "" {
		query.Set("prefix_hint", hint)
	}
	if len(c.zones) > 0 {
		query.Set("zone", c.zones[q.Zone])
	}
	var lastErr error
	for _, address := range c.entryAddresses() {
		c.addDelay(ctx, q.Zone, address)
		entry, err := c.fetchAddresses(ctx, "http://"+address+"/v1/addresses?"+query.Encode(), c.keys[q.Account])
		if err == nil {
			return entry, nil
		}
		lastErr = err
	}
	return locatorEntry{}, errors.Wrap(lastErr, "query the locator at every host")
}

func (c *callers) fetchAddresses(ctx context.Context, rawURL, key string) (locatorEntry, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, rawURL, nil)
	if err != nil {
		return locatorEntry{}, err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	response, err := c.client.Do(r)
	if err != nil {
		return locatorEntry{}, err
	}
	defer response.Body.Close()
	var body struct {
		Addresses []string `json:"addresses"`
		TTLMs     int64    `json:"ttl_ms"`
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return locatorEntry{}, err
	}
	if response.StatusCode != http.StatusOK || len(body.Addresses) == 0 {
		return locatorEntry{}, errors.Errorf("no addresses from the locator, status %d", response.StatusCode)
	}
	return locatorEntry{body.Addresses, time.Now().Add(time.Duration(body.TTLMs) * time.Millisecond)}, nil
}
