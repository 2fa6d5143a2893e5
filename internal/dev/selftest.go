package dev

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/standin/engine"
)

const (
	selfTestTimeout = 30 * time.Second
	selfTestTokens  = 24
	selfTestPrompt  = "Which fault shows as three blinks of the stove's lamp?"
)

// check is one step of the self-test. run returns a summary of what it verified.
type check struct {
	name string
	run  func(context.Context) (string, error)
}

// SelfTest sends requests to the system, prints the result of each check and returns the
// first failure.
func (s *System) SelfTest(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, selfTestTimeout)
	defer cancel()
	for _, c := range []check{
		{"streamed completion", s.checkStream},
		{"idempotent lookup", s.checkLookup},
		{"booking sent twice", s.checkBooking},
		{"key hidden from targets", s.checkKeyNotForwarded},
	} {
		summary, err := c.run(ctx)
		if err != nil {
			fmt.Fprintf(out, "FAILED  %s: %v\n", c.name, err)
			return errors.Wrap(err, c.name)
		}
		fmt.Fprintf(out, "ok      %s: %s\n", c.name, summary)
	}
	return nil
}

func (s *System) request(ctx context.Context, method, path, body string, header map[string]string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+s.Info.Address+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+s.Info.ClientKey)
	if body != "" {
		r.Header.Set("Content-Type", "application/json")
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	return http.DefaultClient.Do(r)
}

// checkStream compares a streamed completion with the text that the simulated engine
// generates for the prompt.
func (s *System) checkStream(ctx context.Context) (string, error) {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, Model, selfTestPrompt, selfTestTokens)
	response, err := s.request(ctx, http.MethodPost, "/v1/completions", body, nil)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return "", errors.Errorf("status %d: %s", response.StatusCode, text)
	}
	text, done, err := readStream(response.Body)
	if err != nil {
		return "", err
	}
	want := engine.CompletionText([]byte(selfTestPrompt), selfTestTokens, weightsVersion)
	switch {
	case !done:
		return "", errors.New("the stream ended without its end marker")
	case text != want:
		return "", errors.Errorf("the text is %q, not %q", text, want)
	}
	return fmt.Sprintf("%d tokens, complete and in order", selfTestTokens), nil
}

// readStream joins the text of an SSE stream of completion chunks.
func readStream(body io.Reader) (text string, done bool, err error) {
	var joined strings.Builder
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			return joined.String(), true, nil
		}
		var chunk struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
			Error json.RawMessage `json:"error"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return "", false, errors.Wrap(err, "decode stream event")
		}
		if len(chunk.Error) > 0 {
			return "", false, errors.Errorf("the stream carries an error: %s", chunk.Error)
		}
		for _, c := range chunk.Choices {
			joined.WriteString(c.Text)
		}
	}
	return joined.String(), false, scanner.Err()
}

func (s *System) callService(ctx context.Context, method, path, body string, header map[string]string, result any) error {
	response, err := s.request(ctx, method, "/services/"+serviceName+path, body, header)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode/100 != 2 {
		return errors.Errorf("%s %s: status %d: %s", method, path, response.StatusCode, text)
	}
	return errors.Wrapf(json.Unmarshal(text, result), "%s %s", method, path)
}

// runsResponse holds the number of bookings that the service has executed; Runs is nil if
// the response lacks it.
type runsResponse struct {
	Runs *int `json:"runs"`
}

func (s *System) checkLookup(ctx context.Context) (string, error) {
	var runs runsResponse
	if err := s.callService(ctx, http.MethodGet, "/runs", "", nil, &runs); err != nil {
		return "", err
	}
	if runs.Runs == nil {
		return "", errors.New("the answer has no runs")
	}
	return fmt.Sprintf("answered, %d bookings so far", *runs.Runs), nil
}

func (s *System) checkBooking(ctx context.Context) (string, error) {
	var before, after runsResponse
	if err := s.callService(ctx, http.MethodGet, "/runs", "", nil, &before); err != nil {
		return "", err
	}
	header := map[string]string{"Idempotency-Key": "self-test"}
	var responses [2]json.RawMessage
	for i := range responses {
		if err := s.callService(ctx, http.MethodPost, "/bookings", `{"service":"stove"}`, header, &responses[i]); err != nil {
			return "", err
		}
	}
	if !bytes.Equal(responses[0], responses[1]) {
		return "", errors.Errorf("the second answer %s differs from the first %s", responses[1], responses[0])
	}
	if err := s.callService(ctx, http.MethodGet, "/runs", "", nil, &after); err != nil {
		return "", err
	}
	if before.Runs == nil || after.Runs == nil || *after.Runs-*before.Runs != 1 {
		return "", errors.New("the booking did not run exactly once")
	}
	return "ran once, both answers are the same", nil
}

// checkKeyNotForwarded checks that no target received the key of the client account.
func (s *System) checkKeyNotForwarded(ctx context.Context) (string, error) {
	var echo json.RawMessage
	path := "/echo?check=1&key=" + s.Info.ClientKey
	header := map[string]string{"X-Api-Key": s.Info.ClientKey, "Cookie": "key=" + s.Info.ClientKey}
	if err := s.callService(ctx, http.MethodGet, path, "", header, &echo); err != nil {
		return "", err
	}
	if bytes.Contains(echo, []byte(s.Info.ClientKey)) {
		return "", errors.New("the booking service received the key")
	}
	for _, e := range s.Engines {
		if strings.Contains(fmt.Sprintf("%v", e.ReceivedRequests()), s.Info.ClientKey) {
			return "", errors.New("an engine received the key")
		}
	}
	return "not in headers, query or cookies that targets received", nil
}
