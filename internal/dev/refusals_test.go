package dev

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sequoiaroad/sequoiaroad/internal/admin"
	"github.com/sequoiaroad/sequoiaroad/internal/telemetry"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

// refusalResponse holds the parts of a response that docs/api.md specifies for refusals.
type refusalResponse struct {
	status int
	header http.Header
	Error  struct {
		Code         string `json:"code"`
		Message      string `json:"message"`
		Execution    string `json:"run"`
		RetryAfterMs int64  `json:"retry_after_ms"`
		RequestID    string `json:"request_id"`
	} `json:"error"`
}

// refusalTester sends requests that a host refuses and records the error codes.
type refusalTester struct {
	g           *WithT
	system      *System
	testedCodes []string
}

func (r *refusalTester) send(method, path, body string, header ...string) refusalResponse {
	headers := map[string]string{}
	for i := 0; i < len(header); i += 2 {
		headers[header[i]] = header[i+1]
	}
	response, err := r.system.request(context.Background(), method, path, body, headers)
	r.g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	r.g.Expect(err).NotTo(HaveOccurred())
	refusal := refusalResponse{status: response.StatusCode, header: response.Header}
	_ = json.Unmarshal(text, &refusal) // responses of services have other formats
	return refusal
}

// expectRefusal checks one refusal that a caller receives.
func (r *refusalTester) expectRefusal(status int, code, execution string, refusal refusalResponse) {
	r.g.THelper()
	r.g.Expect(refusal.Error.Code).To(Equal(code), refusal.Error.Message)
	r.g.Expect(refusal.status).To(Equal(status), code)
	r.g.Expect(refusal.Error.Execution).To(Equal(execution), code)
	r.g.Expect(refusal.Error.Message).NotTo(BeEmpty())
	r.g.Expect(refusal.Error.RequestID).To(And(Not(BeEmpty()), Equal(refusal.header.Get("X-Request-Id"))))
	r.testedCodes = append(r.testedCodes, fmt.Sprint(code, " ", status))
}

func startSystem(t *testing.T, o Options) *System {
	t.Helper()
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	var err error
	o.Listen = "127.0.0.1:0"
	o.Telemetry, err = telemetry.New(ctx, telemetry.Options{})
	g.Expect(err).NotTo(HaveOccurred())
	s, err := New(ctx, o)
	g.Expect(err).NotTo(HaveOccurred())
	ready, ended := make(chan struct{}), make(chan error, 1)
	go func() { ended <- s.Run(ctx, func() { close(ready) }) }()
	t.Cleanup(func() {
		cancel()
		g.Expect(<-ended).To(Succeed())
	})
	g.Eventually(ready, "15s").Should(BeClosed())
	return s
}

func completionBody(prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":%v}`, Model, prompt, tokens, stream)
}

// Guards against a 4xx error of docs/api.md that hosts never return, or return with
// another status or a wrong execution state. The test must provoke every code of the page.
func TestDocumentedClientErrors(t *testing.T) {
	g := NewWithT(t)
	system := startSystem(t, Options{ServiceDelay: 300 * time.Millisecond, TokenDelay: 10 * time.Millisecond})
	tester := &refusalTester{g: g, system: system}
	const completions, bookings = "/v1/completions", "/services/booking/bookings"

	tester.expectRefusal(401, "unauthorized", "not_run", tester.send("POST", completions, completionBody("x", 1, false), "Authorization", "Bearer wrong"))
	tester.expectRefusal(400, "invalid_request", "not_run", tester.send("POST", completions, "{"))
	tester.expectRefusal(400, "invalid_request", "not_run", tester.send("POST", completions, completionBody("x", 1, false), "Request-Timeout-Ms", "soon"))
	tester.expectRefusal(413, "body_too_large", "not_run", tester.send("POST", completions, completionBody(strings.Repeat("x", 9<<20), 1, false)))
	tester.expectRefusal(404, "not_found", "not_run", tester.send("GET", "/v2", ""))
	tester.expectRefusal(404, "not_found", "not_run", tester.send("GET", "/services/printing/runs", ""))
	tester.expectRefusal(404, "not_found", "not_run", tester.send("POST", completions, `{"model":"none","prompt":"x","max_tokens":1}`))
	tester.expectRefusal(405, "method_not_allowed", "not_run", tester.send("GET", completions, ""))
	tester.expectRefusal(400, "request_exceeds_burst", "not_run", tester.send("POST", completions, completionBody("x", burstTokens+1, false)))
	tester.expectRefusal(400, "idempotency_key_required", "not_run", tester.send("POST", bookings, "{}"))
	tester.expectRefusal(409, "stream_not_resumable", "not_run", tester.send("POST", completions, completionBody("x", 1, true), "Last-Event-ID", "none:3"))

	firstBooking := make(chan refusalResponse, 1)
	go func() { firstBooking <- tester.send("POST", bookings, "{}", "Idempotency-Key", "one") }()
	g.Eventually(func() int { return len(system.Service.ReceivedRequests()) }, "3s").Should(Equal(1))
	tester.expectRefusal(409, "still_running", "unknown", tester.send("POST", bookings, "{}", "Idempotency-Key", "one"))
	g.Expect((<-firstBooking).status).To(BeNumerically("<", 300))
	tester.expectRefusal(422, "idempotency_key_reused", "not_run", tester.send("POST", bookings, `{"other":1}`, "Idempotency-Key", "one"))

	// The deadline passes after the call was sent to the service.
	g.Expect(tester.send("POST", bookings, "{}", "Idempotency-Key", "two", "Request-Timeout-Ms", "150").Error.Execution).To(Equal("unknown"))
	tester.expectRefusal(409, "outcome_unknown", "unknown", tester.send("POST", bookings, "{}", "Idempotency-Key", "two"))

	operator := &admin.Client{Address: system.Info.AdminAddress, Key: system.Info.OperatorKey, HTTP: http.DefaultClient}
	// A response in progress when the key is withdrawn must not be delivered.
	withdrawn := make(chan refusalResponse, 1)
	go func() { withdrawn <- tester.send("POST", completions, completionBody("long", 2000, false)) }()
	g.Eventually(func() int { return system.Engines[0].Counters().Runs + system.Engines[1].Counters().Runs }, "3s").Should(Equal(1))
	_, err := operator.WithdrawKey(context.Background(), clientKeyID, admin.ChangeOptions{})
	g.Expect(err).NotTo(HaveOccurred())
	tester.expectRefusal(401, "key_withdrawn", "unknown", <-withdrawn)
	tester.expectRefusal(401, "unauthorized", "not_run", tester.send("POST", completions, completionBody("x", 1, false)))

	_, err = operator.PutAccount(context.Background(), config.Account{ID: "slow", RateTokensPerSecond: 1, BurstTokens: 100}, admin.ChangeOptions{})
	g.Expect(err).NotTo(HaveOccurred())
	issued, err := operator.IssueKey(context.Background(), admin.IssueKeyRequest{AccountID: "slow"}, admin.ChangeOptions{})
	g.Expect(err).NotTo(HaveOccurred())
	system.Info.ClientKey = issued.Key
	var limited refusalResponse
	g.Eventually(func() int {
		limited = tester.send("POST", completions, completionBody("x", 50, false))
		return limited.status
	}, "5s").Should(Equal(429))
	tester.expectRefusal(429, "rate_limited", "not_run", limited)
	g.Expect(limited.Error.RetryAfterMs).To(BeNumerically(">", 0))
	g.Expect(limited.header.Get("Retry-After")).NotTo(BeEmpty())

	page, err := os.ReadFile("../../docs/api.md")
	g.Expect(err).NotTo(HaveOccurred())
	documented := regexp.MustCompile("(?m)^\\| `(\\w+)` \\| (4\\d\\d) \\|").FindAllStringSubmatch(string(page), -1)
	g.Expect(documented).NotTo(BeEmpty())
	for _, row := range documented {
		g.Expect(slices.Contains(tester.testedCodes, row[1]+" "+row[2])).To(BeTrue(), "no test provoked %s %s", row[1], row[2])
	}
}
