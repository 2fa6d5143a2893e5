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
	writeChunkBytes   = 64 << 10
)

// call is one request from a caller.
type call struct {
	gateway     *Gateway
	w           http.ResponseWriter
	r           *http.Request
	id          string
	index       *config.Index
	credentials *target.Credentials
	// key and keyText are set once the caller is authenticated. keyText is a secret, which
	// must not be logged or sent anywhere.
	key      *config.ClientKey
	keyText  string
	deadline time.Time
}

// isKnownKey reports whether a text is a client key or an operator key.
func (c *call) isKnownKey(key string) bool {
	return c.index != nil && (c.index.ClientKey(key) != nil || c.index.OperatorKey(key) != nil)
}

// accountID returns the caller's client account, or an empty string on open routes.
func (c *call) accountID() string {
	if c.key == nil {
		return ""
	}
	return c.key.AccountID
}

// requireMethod calls handle if the request has the method. HEAD is accepted for GET.
func (c *call) requireMethod(method string, handle func() error) error {
	if c.r.Method == method || (method == http.MethodGet && c.r.Method == http.MethodHead) {
		return handle()
	}
	c.w.Header().Set("Allow", method)
	return refusal.New(refusal.MethodNotAllowed, "this path takes %s only", method)
}

// admit checks the conditions of every keyed request: the host accepts new requests, the
// key is valid and the configuration is fresh.
func (c *call) admit() error {
	_, span := c.startSpan(c.r.Context(), "admission")
	defer span.End()
	if err := c.checkAccepting(); err != nil {
		return err
	}
	return c.authenticate()
}

// checkAccepting returns a refusal unless the host accepts new requests.
func (c *call) checkAccepting() error {
	if c.index == nil {
		return refusal.New(refusal.HostNotFresh, "this host has no configuration yet")
	}
	if c.gateway.refusesNewRequests() {
		return c.withOtherHosts(refusal.New(refusal.HostDraining, "this host is stopping"))
	}
	return nil
}

func (c *call) authenticate() error {
	text, ok := c.bearerKey()
	if !ok {
		return refusal.New(refusal.Unauthorized, "the request needs one Authorization header with a bearer key")
	}
	key := c.index.ClientKey(text)
	if key == nil {
		// A host whose configuration is not fresh may not have received a new key yet.
		if err := c.checkFresh(); err != nil {
			return err
		}
		return refusal.New(refusal.Unauthorized, "the key is not valid")
	}
	c.key, c.keyText = key, text
	if err := c.checkKey(); err != nil {
		return err
	}
	return c.checkFresh()
}

func (c *call) bearerKey() (string, bool) {
	values := c.r.Header.Values("Authorization")
	if len(values) != 1 {
		return "", false
	}
	scheme, text, ok := strings.Cut(strings.TrimSpace(values[0]), " ")
	text = strings.TrimSpace(text)
	return text, ok && strings.EqualFold(scheme, "Bearer") && text != ""
}

// checkKey returns a refusal if the call's key was withdrawn. Calls without a key pass.
func (c *call) checkKey() error {
	if c.key == nil {
		return nil
	}
	withdrawn := c.gateway.options.View.Withdrawn(c.key.ID)
	if index := c.gateway.options.View.Index(); !withdrawn && index != nil {
		current := index.ClientKey(c.keyText)
		withdrawn = current == nil || current.ID != c.key.ID
	}
	if withdrawn {
		return refusal.New(refusal.KeyWithdrawn, "the key was withdrawn")
	}
	return nil
}

func (c *call) checkFresh() error {
	if c.gateway.options.View.Fresh() {
		return nil
	}
	return c.withOtherHosts(refusal.New(refusal.HostNotFresh, "this host can't confirm its configuration"))
}

// setDeadline sets the deadline from the Request-Timeout-Ms header or DefaultTimeout.
func (c *call) setDeadline() error {
	c.deadline = time.Now().Add(c.gateway.options.DefaultTimeout())
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

func (c *call) checkDeadline() error {
	if time.Now().After(c.deadline) {
		return refusal.New(refusal.DeadlineUnreachable, "the deadline has passed")
	}
	return nil
}

// readBody reads the whole body, up to MaxBodyBytes.
func (c *call) readBody() ([]byte, error) {
	control := http.NewResponseController(c.w)
	_ = control.SetReadDeadline(time.Now().Add(bodyReadTimeout)) // not all writers support deadlines
	limit := c.gateway.options.MaxBodyBytes
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

func (c *call) startSpan(ctx context.Context, name string) (context.Context, trace.Span) {
	return c.gateway.options.Tracer.Start(ctx, name, trace.WithAttributes(
		attribute.String("request.id", c.id), attribute.String("account.id", c.accountID())))
}

// traced runs handle within a root span, so that all spans of the call form one trace.
func (c *call) traced(handle func() error) error {
	ctx, span := c.gateway.options.Tracer.Start(c.r.Context(), "request", trace.WithAttributes(attribute.String("request.id", c.id)))
	defer span.End()
	c.r = c.r.WithContext(ctx)
	err := handle()
	span.SetAttributes(attribute.String("account.id", c.accountID()))
	if err != nil {
		span.SetAttributes(attribute.String("refusal.code", string(refusal.From(err).Code)))
	}
	return err
}

// errorBody is the response body of a refusal.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code         refusal.Code      `json:"code"`
	Message      string            `json:"message"`
	Execution    refusal.Execution `json:"run"`
	RetryAfterMs int64             `json:"retry_after_ms,omitempty"`
	Addresses    []string          `json:"addresses,omitempty"`
	RequestID    string            `json:"request_id"`
}

func (c *call) errorBody(r *refusal.Error) errorBody {
	return errorBody{errorDetail{
		Code: r.Code, Message: c.credentials.Redact(r.Message), Execution: r.Execution,
		RetryAfterMs: r.RetryAfter.Milliseconds(), Addresses: r.Addresses, RequestID: c.id,
	}}
}

// refuse sends a refusal to the caller and logs its cause.
func (c *call) refuse(err error) {
	r := refusal.From(err)
	c.recordRefusal(r)
	if r.RetryAfter > 0 {
		seconds := int64((r.RetryAfter + time.Second - 1) / time.Second)
		c.w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	c.writeJSON(r.Status(), c.errorBody(r))
}

// recordRefusal logs a refusal and passes it to OnRefusal.
func (c *call) recordRefusal(r *refusal.Error) {
	c.gateway.options.OnRefusal(r.Code, r.Execution)
	cause := ""
	if r.Cause != nil {
		cause = c.credentials.Redact(r.Cause.Error())
	}
	log := c.gateway.options.Logger.Debug
	if r.Execution != refusal.NotExecuted {
		log = c.gateway.options.Logger.Warn
	}
	log("request refused", "request_id", c.id, "account", c.accountID(), "code", r.Code, "run", r.Execution, "cause", cause)
}

func (c *call) writeJSON(status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		c.gateway.options.Logger.Error("failed to encode the response", "request_id", c.id, "error", err)
		status, body = http.StatusInternalServerError, []byte("{}")
	}
	c.w.Header().Set("Content-Type", "application/json")
	c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(status)
	c.writeBody(body)
}

// writeBody writes in chunks with a deadline for each: a slow caller receives a long body
// completely, and a caller that reads nothing does not hold the request. Write errors are
// ignored, since a caller that has disconnected can send its request again.
func (c *call) writeBody(body []byte) {
	control := http.NewResponseController(c.w)
	for len(body) > 0 {
		chunk := body[:min(len(body), writeChunkBytes)]
		body = body[len(chunk):]
		_ = control.SetWriteDeadline(time.Now().Add(c.gateway.options.WriteTimeout)) // not all writers support deadlines
		if _, err := c.w.Write(chunk); err != nil {
			return
		}
	}
}
