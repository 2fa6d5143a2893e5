// Package caller is a stand-in for a caller's program. It looks up hosts at the locator,
// sends requests, and compares streams with the text that the engine stand-ins generate.
package caller

import (
	"bufio"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sequoiaroad/sequoiaroad/standin/engine"
)

// retryInterval is the wait before another attempt.
const retryInterval = 50 * time.Millisecond

// Main runs the program, with the commands "caller http METHOD URL", "caller stream
// ADDRESS,...", "caller load ADDRESS,..." and "caller flood ADDRESS,...".
func Main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: caller http|stream|load|flood ...")
		os.Exit(2)
	}
	command := os.Args[1]
	c := parseCaller(os.Args[2:])
	var err error
	switch command {
	case "http":
		err = c.runHTTP()
	case "stream":
		err = c.checkStream(c.args[0], c.prompt)
	case "load":
		err = c.runLoad()
	case "flood":
		err = c.runFlood()
	default:
		err = fmt.Errorf("unknown command %s", command)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// Headers is a list of headers of the form "Name: value". It implements flag.Value.
type Headers []string

// String implements flag.Value.
func (h *Headers) String() string { return strings.Join(*h, ",") }

// Set implements flag.Value.
func (h *Headers) Set(s string) error { *h = append(*h, s); return nil }

// Caller sends requests of one client account.
type Caller struct {
	// Key is the client key; empty means none.
	Key   string
	Model string
	// WeightsVersion and MaxTokens determine the expected text of completions.
	WeightsVersion string
	MaxTokens      int
	// Headers are sent with each request.
	Headers Headers
	Client  *http.Client

	prompt, body    string
	workers, status int
	// resume makes the load command resume broken streams at other hosts.
	resume  bool
	timeout time.Duration
	// eventDelay is the wait after each event, which simulates a slow caller.
	eventDelay time.Duration
	args       []string
	locator    locatorCache
}

func parseCaller(args []string) *Caller {
	c := &Caller{}
	flags := flag.NewFlagSet("caller", flag.ContinueOnError)
	flags.StringVar(&c.Key, "key", "", "client key")
	flags.StringVar(&c.Model, "model", "m1", "model")
	flags.StringVar(&c.prompt, "prompt", "Hello", "prompt")
	flags.StringVar(&c.body, "body", "", "request body")
	flags.StringVar(&c.WeightsVersion, "weights", "1", "weights version of the expected text")
	flags.IntVar(&c.MaxTokens, "tokens", 16, "tokens to generate")
	flags.IntVar(&c.workers, "workers", 4, "concurrent workers")
	flags.IntVar(&c.status, "status", 0, "expected HTTP status; zero means any 2xx")
	flags.DurationVar(&c.timeout, "timeout", 30*time.Second, "timeout of a request and its retries; flood: duration")
	flags.BoolVar(&c.resume, "resume", false, "load: resume broken streams at other hosts")
	flags.DurationVar(&c.eventDelay, "pause", 0, "wait after each event of a stream")
	flags.Var(&c.Headers, "header", "request header, as Name: value")
	if err := flags.Parse(args); err != nil {
		os.Exit(2)
	}
	c.args = flags.Args()
	c.Client = &http.Client{Timeout: c.timeout}
	return c
}

// Send sends a request with the caller's key and headers.
func (c *Caller) Send(method, url, body string) (*http.Response, error) {
	return c.sendWith(c.Headers, method, url, body)
}

func (c *Caller) sendWith(headers Headers, method, url, body string) (*http.Response, error) {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	if c.Key != "" {
		r.Header.Set("Authorization", "Bearer "+c.Key)
	}
	r.Header.Set("Content-Type", "application/json")
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ":")
		r.Header.Set(name, strings.TrimSpace(value))
	}
	return c.Client.Do(r)
}

// runHTTP sends a request and prints the status and body of the response. It returns an
// error if the status is not the expected one.
func (c *Caller) runHTTP() error {
	response, err := c.Send(c.args[0], c.args[1], c.body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	fmt.Printf("%d %s\n", response.StatusCode, text)
	if c.status == response.StatusCode || c.status == 0 && response.StatusCode/100 == 2 {
		return nil
	}
	return fmt.Errorf("status %d", response.StatusCode)
}

// RefusedError is an error response of the router.
type RefusedError struct {
	status int
	code   string
	run    string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: %d %s run=%s", e.status, e.code, e.run)
}

func readRefusal(response *http.Response) *RefusedError {
	var body struct {
		Error struct {
			Code string `json:"code"`
			Run  string `json:"run"`
		} `json:"error"`
	}
	_ = json.NewDecoder(response.Body).Decode(&body)
	return &RefusedError{response.StatusCode, body.Error.Code, body.Error.Run}
}

// checkStream checks that a streamed completion is complete and in order. With several
// addresses it resumes the stream at the next one, with Last-Event-ID, after the
// connection breaks.
func (c *Caller) checkStream(addresses, prompt string) error {
	hosts := strings.Split(addresses, ",")
	s := &Stream{eventDelay: c.eventDelay, onFirstText: func() { fmt.Fprintln(os.Stderr, "the first text has come") }}
	for i := 0; ; i++ {
		err := c.StreamOnce(hosts[i%len(hosts)], prompt, s)
		if err == nil {
			break
		}
		var connErr *ConnectionError
		if !errors.As(err, &connErr) || i+1 >= maxReconnectsPerHost*len(hosts) || len(hosts) == 1 {
			c.reportPartial(prompt, s.Text.String())
			return err
		}
		fmt.Fprintf(os.Stderr, "reconnect after %q: %v\n", s.lastID, err)
		time.Sleep(retryInterval)
	}
	if expected := engine.CompletionText([]byte(prompt), c.MaxTokens, c.WeightsVersion); s.Text.String() != expected {
		return fmt.Errorf("stream has the text %q instead of %q", s.Text.String(), expected)
	}
	fmt.Printf("stream of %d tokens is complete\n", c.MaxTokens)
	return nil
}

// reportPartial prints whether the text of a failed stream is a prefix of the expected
// text.
func (c *Caller) reportPartial(prompt, text string) {
	if strings.HasPrefix(engine.CompletionText([]byte(prompt), c.MaxTokens, c.WeightsVersion), text) {
		fmt.Fprintf(os.Stderr, "the %d bytes so far are right\n", len(text))
		return
	}
	fmt.Fprintf(os.Stderr, "the text received so far is wrong: %q\n", text)
}

// resumeAtAnyHost reads one stream to its end and returns the number of retries. It
// resumes the stream at the next host, with Last-Event-ID, after a broken connection and
// after an error response with not_run.
func (c *Caller) resumeAtAnyHost(addresses []string, first int, prompt string, stopped chan struct{}) (int, error) {
	deadline := time.Now().Add(c.timeout)
	s := &Stream{eventDelay: c.eventDelay}
	for retries := 0; ; retries++ {
		err := c.StreamOnce(addresses[(first+retries)%len(addresses)], prompt, s)
		if err == nil {
			if expected := engine.CompletionText([]byte(prompt), c.MaxTokens, c.WeightsVersion); s.Text.String() != expected {
				return retries, fmt.Errorf("stream has the text %q instead of %q", s.Text.String(), expected)
			}
			return retries, nil
		}
		var connErr *ConnectionError
		if !errors.As(err, &connErr) && !SafeToRetry(err) || time.Now().After(deadline) {
			return retries, err
		}
		select {
		case <-stopped:
			return retries, nil
		case <-time.After(retryInterval):
		}
	}
}

// maxReconnectsPerHost bounds the connections of a stream with several addresses.
const maxReconnectsPerHost = 20

// ConnectionError reports a connection that could not be established or that broke.
type ConnectionError struct{ err error }

func (e *ConnectionError) Error() string { return e.err.Error() }
func (e *ConnectionError) Unwrap() error { return e.err }

// Stream is the state of a streamed completion over all of its connections.
type Stream struct {
	Text       strings.Builder
	lastID     string
	eventDelay time.Duration
	// onFirstText is called when the first text arrives; nil means no call.
	onFirstText func()
}

// StreamOnce requests a streamed completion over one connection and adds its events to
// s. It resumes after the last event of s.
func (c *Caller) StreamOnce(address, prompt string, s *Stream) error {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, c.Model, prompt, c.MaxTokens)
	headers := c.Headers
	if s.lastID != "" {
		headers = append(headers[:len(headers):len(headers)], "Last-Event-ID: "+s.lastID)
	}
	response, err := c.sendWith(headers, http.MethodPost, "http://"+address+"/v1/completions", body)
	if err != nil {
		return &ConnectionError{err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return readRefusal(response)
	}
	return s.read(response.Body)
}

// read reads events until the end marker. It ignores an event without the empty line
// that ends it, since the connection may have broken within the event.
func (s *Stream) read(body io.Reader) error {
	lines := bufio.NewScanner(body)
	id, data := "", ""
	for lines.Scan() {
		line := lines.Text()
		if value, ok := strings.CutPrefix(line, "id:"); ok {
			id = strings.TrimSpace(value)
		}
		if value, ok := strings.CutPrefix(line, "data:"); ok {
			data = strings.TrimSpace(value)
		}
		if line != "" || data == "" {
			continue
		}
		if data == "[DONE]" {
			return nil
		}
		if err := s.addEvent(data); err != nil {
			return err
		}
		if id != "" {
			s.lastID = id
		}
		id, data = "", ""
		time.Sleep(s.eventDelay)
	}
	if err := lines.Err(); err != nil {
		return &ConnectionError{err}
	}
	return &ConnectionError{errors.New("stream ended without its end marker")}
}

func (s *Stream) addEvent(data string) error {
	var chunk struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
		Error *struct {
			Code string `json:"code"`
			Run  string `json:"run"`
		} `json:"error"`
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return fmt.Errorf("decode event %q: %w", data, err)
	}
	if chunk.Error != nil {
		return fmt.Errorf("stream error %s run=%s", chunk.Error.Code, chunk.Error.Run)
	}
	for _, choice := range chunk.Choices {
		if s.Text.Len() == 0 && choice.Text != "" && s.onFirstText != nil {
			s.onFirstText()
		}
		s.Text.WriteString(choice.Text)
	}
	return nil
}

// runFlood sends completions without streaming from several workers to all addresses
// until the timeout, and prints the number of successes and of errors by code.
func (c *Caller) runFlood() error {
	addresses := strings.Split(c.args[0], ",")
	deadline := time.Now().Add(c.timeout)
	var mu sync.Mutex
	countByCode := map[string]int{}
	var workers sync.WaitGroup
	for w := range c.workers {
		workers.Go(func() {
			for i := 0; time.Now().Before(deadline); i++ {
				code := c.floodOnce(addresses[(w+i)%len(addresses)], fmt.Sprintf("flood %d %d", w, i))
				mu.Lock()
				countByCode[code]++
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	fmt.Printf("responses %v\n", countByCode)
	return nil
}

func (c *Caller) floodOnce(address, prompt string) string {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d}`, c.Model, prompt, c.MaxTokens)
	response, err := c.Send(http.MethodPost, "http://"+address+"/v1/completions", body)
	if err != nil {
		time.Sleep(retryInterval)
		return "broken"
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		refused := readRefusal(response)
		time.Sleep(retryInterval)
		return refused.code
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return "ok"
}

// runLoad sends streams from several workers until SIGTERM. Each worker uses the hosts
// from the locator in turn, retries at the next one after an error response with not_run
// or a refused connection, and counts any other failure as a lost request. With --resume,
// each worker uses the given addresses in turn and also resumes broken streams.
func (c *Caller) runLoad() error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	stopped := make(chan struct{})
	go func() { <-stop; close(stopped) }()
	addresses := strings.Split(c.args[0], ",")
	var mu sync.Mutex
	finished, retried := 0, 0
	var failures []string
	var workers sync.WaitGroup
	for w := range c.workers {
		workers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stopped:
					return
				default:
				}
				send := c.streamAtAnyHost
				if c.resume {
					send = c.resumeAtAnyHost
				}
				retries, err := send(addresses, w+i, fmt.Sprintf("worker %d request %d", w, i), stopped)
				mu.Lock()
				finished++
				retried += retries
				if err != nil {
					failures = append(failures, err.Error())
				}
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	fmt.Printf("requests %d retries %d failed %d\n", finished, retried, len(failures))
	if len(failures) > 0 {
		return fmt.Errorf("lost requests: %s", strings.Join(failures, "; "))
	}
	return nil
}

// locatorCache caches a response of the locator for its time to live.
type locatorCache struct {
	mu        sync.Mutex
	addresses []string
	expiresAt time.Time
}

// locate returns the addresses to use, from the cache or from the locator of the first
// host that responds. Callers have to use the locator: it leaves out a host that is
// stopping, which continues to serve until the cached responses have expired.
func (c *Caller) locate(hosts []string) []string {
	c.locator.mu.Lock()
	defer c.locator.mu.Unlock()
	if time.Now().Before(c.locator.expiresAt) {
		return c.locator.addresses
	}
	for _, host := range hosts {
		requestedAt := time.Now()
		response, err := c.Send(http.MethodGet, "http://"+host+"/v1/addresses?model="+c.Model, "")
		if err != nil {
			continue
		}
		var body struct {
			Addresses []string `json:"addresses"`
			TTLMs     int      `json:"ttl_ms"`
		}
		err = json.NewDecoder(response.Body).Decode(&body)
		_ = response.Body.Close()
		if err == nil && len(body.Addresses) > 0 {
			c.locator.addresses = body.Addresses
			c.locator.expiresAt = requestedAt.Add(time.Duration(body.TTLMs) * time.Millisecond)
			return body.Addresses
		}
	}
	return hosts
}

// streamAtAnyHost checks one stream and returns the number of retries. It retries at the
// next host while the request has not run.
func (c *Caller) streamAtAnyHost(hosts []string, first int, prompt string, stopped chan struct{}) (int, error) {
	deadline := time.Now().Add(c.timeout)
	for retries := 0; ; retries++ {
		addresses := c.locate(hosts)
		err := c.checkStream(addresses[(first+retries)%len(addresses)], prompt)
		if err == nil || !SafeToRetry(err) || time.Now().After(deadline) {
			return retries, err
		}
		select {
		case <-stopped:
			return retries, nil
		case <-time.After(retryInterval):
		}
	}
}

// SafeToRetry reports whether a failed request was certainly not executed.
func SafeToRetry(err error) bool {
	if refused, ok := err.(*RefusedError); ok {
		return refused.run == "not_run"
	}
	return strings.Contains(err.Error(), "connection refused")
}
