package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

const (
	maxAnswerBytes     = 64 << 10
	dialTimeout        = 2 * time.Second
	idleTimeout        = 30 * time.Second
	maxIdlePerTarget   = 1
	maxIdleConnections = 64
)

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdlePerTarget,
		IdleConnTimeout:     idleTimeout,
	}
}

func newHTTPClient(transport http.RoundTripper) *http.Client {
	return &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// orderJSON is the body of POST /v1/orders.
type orderJSON struct {
	FencingNumber  uint64 `json:"fencing_number"`
	Kind           Kind   `json:"kind"`
	Model          string `json:"model,omitempty"`
	WeightsVersion string `json:"weights_version,omitempty"`
	Adapter        string `json:"adapter,omitempty"`
	Role           string `json:"role,omitempty"`
}

// send sends the order once. Any failure without a complete answer, and any server
// error, counts as unanswered.
func (s *Service) send(ctx context.Context, t *config.Target, o Order, fence uint64) (Result, error) {
	body, err := json.Marshal(orderJSON{fence, o.Kind, o.Model, o.WeightsVersion, o.Adapter, o.Role})
	if err != nil {
		return Result{}, errors.WithMessage(ErrRejected, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.OrderTimeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		strings.TrimSuffix(t.URL, "/")+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return Result{}, errors.WithMessage(ErrRejected, err.Error())
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := s.client.Do(request)
	if err != nil && !connected.Load() {
		return Result{}, errors.WithMessage(ErrUnreachable, err.Error())
	}
	if err != nil {
		return Result{}, errors.WithMessage(ErrUnanswered, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return Result{}, errors.WithMessage(ErrUnanswered, err.Error())
	}
	if len(answer) > maxAnswerBytes {
		answer = answer[:maxAnswerBytes]
	}
	return Result{FencingToken: fence, Body: answer}, statusError(response.StatusCode)
}

// statusError maps a status; 409 and 412 are the refusals of a stale number.
func statusError(status int) error {
	switch {
	case status >= 200 && status < 300:
		return nil
	case status == http.StatusConflict, status == http.StatusPreconditionFailed:
		return errors.WithMessagef(ErrStale, "status %d", status)
	case status >= http.StatusInternalServerError:
		return errors.WithMessagef(ErrUnanswered, "status %d", status)
	}
	return errors.WithMessagef(ErrRejected, "status %d", status)
}
