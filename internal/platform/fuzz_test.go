package platform

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// fixedResponse returns the same status and body for each request.
type fixedResponse struct {
	status int
	body   string
}

func (f fixedResponse) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: f.status, Header: http.Header{}, Request: r, ContentLength: -1,
		Body: io.NopCloser(strings.NewReader(f.body)),
	}, nil
}

// Guards against a response of the platform that makes the host panic, and against a
// response that leaves the outcome of a write open but is reported as a success or a
// failure.
func FuzzResponses(f *testing.F) {
	f.Add(200, `{"version":7}`)
	f.Fuzz(func(t *testing.T, status int, body string) {
		if status < 200 || status > 599 {
			t.Skip("not a final status")
		}
		client, err := newClient(Options{BaseURL: "http://127.0.0.1:1", ReadAttempts: 1, BreakerFailures: 1 << 30,
			BackoffBase: time.Nanosecond}.withDefaults(), fixedResponse{status, body})
		if err != nil {
			t.Fatal(err)
		}
		ctx := context.Background()
		_, getErr := client.Get(ctx, "t", "k")
		_, scanErr := client.Scan(ctx, "t", "", 0, 1)
		_, hostsErr := client.Hosts(ctx)
		for _, err := range []error{getErr, scanErr, hostsErr} {
			if err == nil && status/100 != 2 {
				t.Fatalf("status %d is treated as a success", status)
			}
			if errors.Is(err, ErrUnknownOutcome) {
				t.Fatalf("read returns an unknown outcome: %v", err)
			}
		}
		_, err = client.Commit(ctx, nil, nil)
		switch {
		case err == nil && status/100 != 2:
			t.Fatalf("status %d is treated as a successful write", status)
		case errors.Is(err, ErrConflict) && status != http.StatusConflict:
			t.Fatalf("status %d is treated as a conflict", status)
		case errors.Is(err, ErrUnavailable) && status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests:
			t.Fatalf("status %d is treated as proof that nothing was written", status)
		case status/100 == 2 && err != nil && !errors.Is(err, ErrUnknownOutcome):
			t.Fatalf("invalid response to a successful write is treated as %v", err)
		}
	})
}
