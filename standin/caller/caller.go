// Package caller is a stand-in for a caller's program: it sends requests, follows the
// locator, and compares each stream with the text that the engine stand-ins generate.
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

// Main is the program: "caller http METHOD URL", "caller stream ADDRESS", "caller load
// ADDRESS,ADDRESS" and "caller flood ADDRESS,ADDRESS".
func Main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: caller http|stream|load|flood ...")
		os.Exit(2)
	}
	kind := os.Args[1]
	c := parseCaller(os.Args[2:])
	var err error
	switch kind {
	case "http":
		err = c.plain()
	case "stream":
		err = c.stream(c.args[0], c.prompt)
	case "load":
		err = c.load()
	case "flood":
		err = c.flood()
	default:
		err = fmt.Errorf("unknown kind %s", kind)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// Headers are lines of the form "Name: value"; it implements flag.Value.
type Headers []string

// String implements flag.Value.
func (h *Headers) String() string { return strings.Join(*h, ",") }

// Set implements flag.Value.
func (h *Headers) Set(s string) error { *h = append(*h, s); return nil }

// Caller sends requests of one client account.
type Caller struct {
	// Key is the client key; empty sends none.
	Key   string
	Model string
	// WeightsVersion is the weights version of the expected text, Tokens its length.
	WeightsVersion string
	MaxTokens      int
	// Headers are sent with each request, as "Name: value".
	Headers Headers
	Client  *http.Client

	prompt, body    string
	workers, status int
	// resume makes a caller under load go on at other hosts after broken connections.
	resume  bool
	timeout time.Duration
	// pause is the wait of a slow caller after each event.
	pause   time.Duration
	args    []string
	located located
}

func parseCaller(args []string) *Caller {
	c := &Caller{}
	set := flag.NewFlagSet("caller", flag.ContinueOnError)
	set.StringVar(&c.Key, "key", "", "client key")
	set.StringVar(&c.Model, "model", "m1", "model")
	set.StringVar(&c.prompt, "prompt", "Hello", "prompt")
	set.StringVar(&c.body, "body", "", "request body")
	set.StringVar(&c.WeightsVersion, "weights", "1", "weights version of the expected text")
	set.IntVar(&c.MaxTokens, "tokens", 16, "tokens to generate")
	set.IntVar(&c.workers, "workers", 4, "callers at once")
	set.IntVar(&c.status, "status", 0, "expected HTTP status; zero means any 2xx")
	set.DurationVar(&c.timeout, "timeout", 30*time.Second, "longest wait")
	set.BoolVar(&c.resume, "resume", false, "load: resume broken streams at other hosts")
	set.DurationVar(&c.pause, "pause", 0, "wait after each event of a stream")
	set.Var(&c.Headers, "header", "Name: value")
	if err := set.Parse(args); err != nil {
		os.Exit(2)
	}
	c.args = set.Args()
	c.Client = &http.Client{Timeout: c.timeout}
	return c
}

// Send makes one request.
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

// plain prints status and body of one request.
func (c *Caller) plain() error {
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

// RefusedError is a refusal of the router.
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

// stream checks that a streamed completion is whole and in order. With several
// addresses it goes on at the next one, by Last-Event-ID, when the connection breaks.
func (c *Caller) stream(addresses, prompt string) error {
	list := strings.Split(addresses, ",")
	r := &Stream{pause: c.pause, onText: func() { fmt.Fprintln(os.Stderr, "the first text has come") }}
	for i := 0; ; i++ {
		err := c.StreamOnce(list[i%len(list)], prompt, r)
		if err == nil {
			break
		}
		var broken *ConnectionError
		if !errors.As(err, &broken) || i+1 >= maxReconnects*len(list) || len(list) == 1 {
			c.checkPartial(prompt, r.Text.String())
			return err
		}
		fmt.Fprintf(os.Stderr, "reconnect after %q: %v\n", r.lastID, err)
		time.Sleep(retryInterval)
	}
	if want := engine.CompletionText([]byte(prompt), c.MaxTokens, c.WeightsVersion); r.Text.String() != want {
		return fmt.Errorf("the text is %q, not %q", r.Text.String(), want)
	}
	fmt.Printf("stream of %d tokens is complete\n", c.MaxTokens)
	return nil
}

// checkPartial says whether the text of a failed stream is a part of the expected one.
func (c *Caller) checkPartial(prompt, text string) {
	if strings.HasPrefix(engine.CompletionText([]byte(prompt), c.MaxTokens, c.WeightsVersion), text) {
		fmt.Fprintf(os.Stderr, "the %d bytes so far are right\n", len(text))
		return
	}
	fmt.Fprintf(os.Stderr, "the text so far is wrong: %q\n", text)
}

// resumeAnywhere reads one stream to its end. It goes on at the next host after a
// broken connection, by Last-Event-ID, and after a refusal that says not_run.
func (c *Caller) resumeAnywhere(addresses []string, first int, prompt string, ended chan struct{}) (int, error) {
	deadline := time.Now().Add(c.timeout)
	r := &Stream{pause: c.pause}
	for retries := 0; ; retries++ {
		err := c.StreamOnce(addresses[(first+retries)%len(addresses)], prompt, r)
		if err == nil {
			if want := engine.CompletionText([]byte(prompt), c.MaxTokens, c.WeightsVersion); r.Text.String() != want {
				return retries, fmt.Errorf("the text is %q, not %q", r.Text.String(), want)
			}
			return retries, nil
		}
		var broken *ConnectionError
		if !errors.As(err, &broken) && !SafeToRetry(err) || time.Now().After(deadline) {
			return retries, err
		}
		select {
		case <-ended:
			return retries, nil
		case <-time.After(retryInterval):
		}
	}
}

const maxReconnects = 20

// ConnectionError says that a connection could not be made or broke in the middle.
type ConnectionError struct{ err error }

func (e *ConnectionError) Error() string { return e.err.Error() }
func (e *ConnectionError) Unwrap() error { return e.err }

// Stream collects the text over all connections of one stream.
type Stream struct {
	Text   strings.Builder
	lastID string
	pause  time.Duration
	// onText is called once, when the first text comes; nil means nothing.
	onText func()
}

// StreamOnce asks for a streamed completion over one connection. It goes on after the
// last event that r has.
func (c *Caller) StreamOnce(address, prompt string, r *Stream) error {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, c.Model, prompt, c.MaxTokens)
	headers := c.Headers
	if r.lastID != "" {
		headers = append(headers[:len(headers):len(headers)], "Last-Event-ID: "+r.lastID)
	}
	response, err := c.sendWith(headers, http.MethodPost, "http://"+address+"/v1/completions", body)
	if err != nil {
		return &ConnectionError{err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return readRefusal(response)
	}
	return r.read(response.Body)
}

// read takes events until the end marker. An event counts, and its id becomes the last
// one, only once the empty line after it has come: a connection may break inside it.
func (r *Stream) read(body io.Reader) error {
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
		if err := r.event(data); err != nil {
			return err
		}
		if id != "" {
			r.lastID = id
		}
		id, data = "", ""
		time.Sleep(r.pause)
	}
	if err := lines.Err(); err != nil {
		return &ConnectionError{err}
	}
	return &ConnectionError{errors.New("the stream ended without its end marker")}
}

func (r *Stream) event(data string) error {
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
		return fmt.Errorf("bad event %q: %w", data, err)
	}
	if chunk.Error != nil {
		return fmt.Errorf("stream error %s run=%s", chunk.Error.Code, chunk.Error.Run)
	}
	for _, choice := range chunk.Choices {
		if r.Text.Len() == 0 && choice.Text != "" && r.onText != nil {
			r.onText()
		}
		r.Text.WriteString(choice.Text)
	}
	return nil
}

// flood sends whole completions from several workers to all addresses for a time and
// prints how many were answered and refused.
func (c *Caller) flood() error {
	addresses := strings.Split(c.args[0], ",")
	deadline := time.Now().Add(c.timeout)
	var mu sync.Mutex
	codes := map[string]int{}
	var workers sync.WaitGroup
	for w := range c.workers {
		workers.Go(func() {
			for i := 0; time.Now().Before(deadline); i++ {
				code := c.floodOnce(addresses[(w+i)%len(addresses)], fmt.Sprintf("flood %d %d", w, i))
				mu.Lock()
				codes[code]++
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	fmt.Printf("answers %v\n", codes)
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

// load sends streams from several workers until SIGTERM. Each worker uses the hosts that
// the locator names in turn, goes to the next one on a refusal that says not_run or on a
// refused connection, and counts any other failure as a lost request.
func (c *Caller) load() error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	ended := make(chan struct{})
	go func() { <-stop; close(ended) }()
	addresses := strings.Split(c.args[0], ",")
	var mu sync.Mutex
	done, refused := 0, 0
	var failures []string
	var workers sync.WaitGroup
	for w := range c.workers {
		workers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-ended:
					return
				default:
				}
				send := c.streamAnywhere
				if c.resume {
					send = c.resumeAnywhere
				}
				retries, err := send(addresses, w+i, fmt.Sprintf("worker %d request %d", w, i), ended)
				mu.Lock()
				done++
				refused += retries
				if err != nil {
					failures = append(failures, err.Error())
				}
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	fmt.Printf("requests %d refused-not-run %d failed %d\n", done, refused, len(failures))
	if len(failures) > 0 {
		return fmt.Errorf("lost requests: %s", strings.Join(failures, "; "))
	}
	return nil
}

// located is an answer of the locator that callers keep for its time to live.
type located struct {
	mu        sync.Mutex
	addresses []string
	until     time.Time
}

// locate asks any host which addresses to use, as callers must: a host that stops is
// named no more, and goes on serving for longer than an answer may be kept.
func (c *Caller) locate(hosts []string) []string {
	c.located.mu.Lock()
	defer c.located.mu.Unlock()
	if time.Now().Before(c.located.until) {
		return c.located.addresses
	}
	for _, host := range hosts {
		asked := time.Now()
		response, err := c.Send(http.MethodGet, "http://"+host+"/v1/addresses?model="+c.Model, "")
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
			TTLMs     int      `json:"ttl_ms"`
		}
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		if err == nil && len(answer.Addresses) > 0 {
			c.located.addresses = answer.Addresses
			c.located.until = asked.Add(time.Duration(answer.TTLMs) * time.Millisecond)
			return answer.Addresses
		}
	}
	return hosts
}

func (c *Caller) streamAnywhere(hosts []string, first int, prompt string, ended chan struct{}) (int, error) {
	deadline := time.Now().Add(c.timeout)
	for retries := 0; ; retries++ {
		addresses := c.locate(hosts)
		err := c.stream(addresses[(first+retries)%len(addresses)], prompt)
		if err == nil || !SafeToRetry(err) || time.Now().After(deadline) {
			return retries, err
		}
		select {
		case <-ended:
			return retries, nil
		case <-time.After(retryInterval):
		}
	}
}

// SafeToRetry reports whether a failed request is known not to have run.
func SafeToRetry(err error) bool {
	if refused, ok := err.(*RefusedError); ok {
		return refused.run == "not_run"
	}
	return strings.Contains(err.Error(), "connection refused")
}
