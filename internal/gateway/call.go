package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sequoiaroad/sequoiaroad/internal/refusal"
	"github.com/sequoiaroad/sequoiaroad/internal/target"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

const (
	timeoutHeader     = "Request-Timeout-Ms"
	maxRequestTimeout = 24 * time.Hour
	bodyReadTimeout   = 30 * time.Second
	writePartBytes    = 64 << 10
)

// call is one request of a caller.
type call struct {
	g           *Gateway
	w           http.ResponseWriter
	r           *http.Request
	id          string
	index       *config.Index
	credentials *target.Credentials
	// key and keyText are set once the caller is known; keyText is never written
	// anywhere.
	key      *config.ClientKey
	keyText  string
	deadline time.Time
}

func (c *call) isKey(text string) bool {
	return c.index != nil && (c.index.ClientKey(text) != nil || c.index.OperatorKey(text) != nil)
}

// accountID is empty on open routes.
func (c *call) accountID() string {
	if c.key == nil {
		return ""
	}
	return c.key.AccountID
}

func (c *call) only(method string, handle func() error) error {
	if c.r.Method == method || (method == http.MethodGet && c.r.Method == http.MethodHead) {
		return handle()
	}
	c.w.Header().Set("Allow", method)
	return refusal.New(refusal.MethodNotAllowed, "this path takes %s only", method)
}

// admit checks what every keyed request needs: a host that takes requests, a valid key
// and fresh configuration.
func (c *call) admit() error {
	_, span := c.span(c.r.Context(), "admission")
	defer span.End()
	if err := c.takesNew(); err != nil {
		return err
	}
	return c.authenticate()
}

func (c *call) takesNew() error {
	if c.index == nil {
		return refusal.New(refusal.HostNotFresh, "this host has no configuration yet")
	}
	if c.g.refusesNew() {
		return c.withAddresses(refusal.New(refusal.HostDraining, "this host is stopping"))
	}
	return nil
}

func (c *call) authenticate() error {
	text, ok := c.bearer()
	if !ok {
		return refusal.New(refusal.Unauthorized, "the request needs one Authorization header with a bearer key")
	}
	key := c.index.ClientKey(text)
	if key == nil {
		// A key that was issued lately is unknown to a host that is not fresh.
		if err := c.fresh(); err != nil {
			return err
		}
		return refusal.New(refusal.Unauthorized, "the key is not valid")
	}
	c.key, c.keyText = key, text
	if err := c.keyValid(); err != nil {
		return err
	}
	return c.fresh()
}

func (c *call) bearer() (string, bool) {
	values := c.r.Header.Values("Authorization")
	if len(values) != 1 {
		return "", false
	}
	scheme, text, ok := strings.Cut(strings.TrimSpace(values[0]), " ")
	text = strings.TrimSpace(text)
	return text, ok && strings.EqualFold(scheme, "Bearer") && text != ""
}

// keyValid reports whether the call's key is still in force. Calls without a key pass.
func (c *call) keyValid() error {
	if c.key == nil {
		return nil
	}
	withdrawn := c.g.options.View.Withdrawn(c.key.ID)
	if index := c.g.options.View.Index(); !withdrawn && index != nil {
		current := index.ClientKey(c.keyText)
		withdrawn = current == nil || current.ID != c.key.ID
	}
	if withdrawn {
		return refusal.New(refusal.KeyWithdrawn, "the key was withdrawn")
	}
	return nil
}

func (c *call) fresh() error {
	if c.g.options.View.Fresh() {
		return nil
	}
	return c.withAddresses(refusal.New(refusal.HostNotFresh, "this host can't confirm its configuration"))
}

func (c *call) setDeadline() error {
	c.deadline = time.Now().Add(c.g.options.DefaultTimeout())
	text := c.r.Header.Get(timeoutHeader)
	if text == "" {
		return nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > maxRequestTimeout.Milliseconds() {
		return refusal.New(refusal.InvalidRequest, "%s must be between 1 and %d", timeoutHeader, maxRequestTimeout.Milliseconds())
	}
	c.deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	return nil
}

func (c *call) beforeDeadline() error {
	if time.Now().After(c.deadline) {
		return refusal.New(refusal.DeadlineUnreachable, "the deadline has passed")
	}
	return nil
}

// readBody reads the whole body within the limit.
func (c *call) readBody() ([]byte, error) {
	control := http.NewResponseController(c.w)
	_ = control.SetReadDeadline(time.Now().Add(bodyReadTimeout)) // not every writer has one
	limit := c.g.options.MaxBodyBytes
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, refusal.New(refusal.BodyTooLarge, "the body is longer than %d bytes", limit)
	case err != nil:
		return nil, refusal.New(refusal.InvalidRequest, "the body could not be read").WithCause(err)
	}
	return body, nil
}

func (c *call) span(ctx context.Context, name string) (context.Context, trace.Span) {
	return c.g.options.Tracer.Start(ctx, name, trace.WithAttributes(
		attribute.String("request.id", c.id), attribute.String("account.id", c.accountID())))
}

// traced makes all spans of the call one trace.
func (c *call) traced(handle func() error) error {
	ctx, span := c.g.options.Tracer.Start(c.r.Context(), "request", trace.WithAttributes(attribute.String("request.id", c.id)))
	defer span.End()
	c.r = c.r.WithContext(ctx)
	err := handle()
	span.SetAttributes(attribute.String("account.id", c.accountID()))
	if err != nil {
		span.SetAttributes(attribute.String("refusal.code", string(refusal.From(err).Code)))
	}
	return err
}

// errorBody is the body of a refusal.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code         refusal.Code      `json:"code"`
	Message      string            `json:"message"`
	Run          refusal.Execution `json:"run"`
	RetryAfterMs int64             `json:"retry_after_ms,omitempty"`
	Addresses    []string          `json:"addresses,omitempty"`
	RequestID    string            `json:"request_id"`
}

func (c *call) errorBody(r *refusal.Error) errorBody {
	return errorBody{errorDetail{
		Code: r.Code, Message: c.credentials.Redact(r.Message), Run: r.Execution,
		RetryAfterMs: r.RetryAfter.Milliseconds(), Addresses: r.Addresses, RequestID: c.id,
	}}
}

// refuse writes an error to the caller and logs its cause.
func (c *call) refuse(err error) {
	r := refusal.From(err)
	c.logRefusal(r)
	if r.RetryAfter > 0 {
		seconds := int64((r.RetryAfter + time.Second - 1) / time.Second)
		c.w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	c.writeJSON(r.Status(), c.errorBody(r))
}

// logRefusal logs and counts a refusal.
func (c *call) logRefusal(r *refusal.Error) {
	c.g.options.OnRefusal(r.Code, r.Execution)
	cause := ""
	if r.Cause != nil {
		cause = c.credentials.Redact(r.Cause.Error())
	}
	log := c.g.options.Logger.Debug
	if r.Execution != refusal.NotExecuted {
		log = c.g.options.Logger.Warn
	}
	log("request refused", "request_id", c.id, "account", c.accountID(), "code", r.Code, "run", r.Execution, "cause", cause)
}

func (c *call) writeJSON(status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		c.g.options.Logger.Error("response not encoded", "request_id", c.id, "error", err)
		status, body = http.StatusInternalServerError, []byte("{}")
	}
	c.w.Header().Set("Content-Type", "application/json")
	c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(status)
	c.writeBody(body)
}

// writeBody writes in parts with a deadline for each, so that a slow caller gets a long
// body and one that takes nothing does not hold it. A caller that is gone can ask again.
func (c *call) writeBody(body []byte) {
	control := http.NewResponseController(c.w)
	for len(body) > 0 {
		part := body[:min(len(body), writePartBytes)]
		body = body[len(part):]
		_ = control.SetWriteDeadline(time.Now().Add(c.g.options.WriteTimeout)) // not every writer has one
		if _, err := c.w.Write(part); err != nil {
			return
		}
	}
}
