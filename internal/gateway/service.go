package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sequoiaroad/sequoiaroad/internal/clock"
	"github.com/sequoiaroad/sequoiaroad/internal/idempotency"
	"github.com/sequoiaroad/sequoiaroad/internal/quota"
	"github.com/sequoiaroad/sequoiaroad/internal/refusal"
	"github.com/sequoiaroad/sequoiaroad/internal/target"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
)

const (
	servicesPathPrefix     = "/services/"
	idempotencyKeyHeader   = "Idempotency-Key"
	replayedHeader         = "Idempotent-Replayed"
	maxIdempotencyKeyBytes = 255
	// serviceCallTokens is charged for each call in addition to its body.
	serviceCallTokens  = 16
	maxServiceAttempts = 3
	maxRetryDelay      = 30 * time.Millisecond
	// recordTimeout bounds the time that a call waits for its outcome to be recorded. After
	// it the registry continues in the background.
	recordTimeout = 2 * time.Second
)

// serviceCall is one call of a plain service.
type serviceCall struct {
	*call
	serviceName string
	route       config.Route
	request     target.ServiceRequest
	// attempts counts the sends; it is part of the request id of each.
	attempts    int
	reservation quota.Reservation
}

func (c *call) serveService() error {
	s := &serviceCall{call: c}
	if err := s.admit(); err != nil {
		return err
	}
	if err := c.setDeadline(); err != nil {
		return err
	}
	body, err := c.readBody()
	if err != nil {
		return err
	}
	s.request = target.ServiceRequest{
		Method: c.r.Method, Path: s.request.Path, RawQuery: c.credentials.CleanQuery(c.r.URL.RawQuery),
		Header: c.credentials.CleanHeader(c.r.Header), Trailer: c.credentials.CleanHeader(c.r.Trailer), Body: body,
	}
	s.request.Header.Del(timeoutHeader)
	key := ""
	if !s.route.Idempotent {
		if key, err = s.idempotencyKey(); err != nil {
			return err
		}
	}
	return s.reserveAndServe(key)
}

// admit finds the route and, unless the route is open, authenticates the caller.
func (s *serviceCall) admit() error {
	_, span := s.startSpan(s.r.Context(), "admission")
	defer span.End()
	if err := s.checkAccepting(); err != nil {
		return err
	}
	if err := s.parsePath(); err != nil {
		return err
	}
	if s.route.Open {
		return nil
	}
	return s.authenticate()
}

func (s *serviceCall) reserveAndServe(idempotencyKey string) error {
	tokens := int64(serviceCallTokens + prefix.Tokens(len(s.request.Body)))
	if s.key != nil {
		reservation, err := s.reserve(tokens)
		if err != nil {
			return err
		}
		s.reservation = reservation
	}
	var err error
	if s.route.Idempotent {
		err = s.serveIdempotent()
	} else {
		err = s.serveOnce(idempotencyKey)
	}
	if s.reservation != nil {
		if err != nil && refusal.From(err).Execution == refusal.NotExecuted {
			tokens = 0
		}
		s.reservation.Settle(tokens)
	}
	return err
}

// parsePath splits the path into the service name and the path at the target. It rejects
// paths that a target could interpret differently from the route table, since they could
// reach another route.
func (s *serviceCall) parsePath() error {
	if s.r.Method == http.MethodConnect || s.r.Method == http.MethodTrace {
		return refusal.New(refusal.MethodNotAllowed, "services take neither CONNECT nor TRACE")
	}
	rest := strings.TrimPrefix(s.r.URL.EscapedPath(), servicesPathPrefix)
	name, path, _ := strings.Cut(rest, "/")
	path = "/" + path
	decoded, err := url.PathUnescape(path)
	if err != nil || isAmbiguousPath(path, decoded) {
		return invalidRequest("the path must not have empty, . or .. segments, encoded slashes or backslashes")
	}
	if s.credentials.PresentIn(path) {
		return invalidRequest("the path holds a key")
	}
	if !s.serviceExists(name) {
		return refusal.New(refusal.NotFound, "there is no service %.100q", name)
	}
	s.serviceName, s.request.Path = name, path
	s.route = s.index.Route(name, s.r.Method, decoded)
	return nil
}

// isAmbiguousPath reports whether a target could interpret a path differently from the
// route table.
func isAmbiguousPath(escaped, decoded string) bool {
	lower := strings.ToLower(escaped)
	if strings.Contains(lower, "%2f") || strings.Contains(lower, "%25") || strings.ContainsAny(decoded, "\\\x00") {
		return true
	}
	segments := strings.Split(strings.TrimPrefix(decoded, "/"), "/")
	for i, segment := range segments {
		withoutParams, _, _ := strings.Cut(segment, ";")
		if withoutParams == "." || withoutParams == ".." || (withoutParams == "" && i < len(segments)-1) {
			return true
		}
	}
	return false
}

func (s *serviceCall) serviceExists(name string) bool {
	document := s.index.Document()
	for _, t := range document.Targets {
		if t.Kind == config.TargetService && t.Service == name {
			return true
		}
	}
	for _, r := range document.Routes {
		if r.Service == name {
			return true
		}
	}
	return false
}

func (s *serviceCall) idempotencyKey() (string, error) {
	values := s.r.Header.Values(idempotencyKeyHeader)
	if len(values) != 1 || values[0] == "" {
		return "", refusal.New(refusal.IdempotencyKeyRequired, "this call needs one %s header", idempotencyKeyHeader)
	}
	if len(values[0]) > maxIdempotencyKeyBytes {
		return "", invalidRequest("%s is longer than %d bytes", idempotencyKeyHeader, maxIdempotencyKeyBytes)
	}
	if s.credentials.PresentIn(values[0]) {
		return "", invalidRequest("%s holds a key", idempotencyKeyHeader)
	}
	return values[0], nil
}

// send makes one attempt at a target. Its error is a *target.CallError.
func (s *serviceCall) send(ctx context.Context, t *config.Target, noTransportRetry bool, beforeWrite func() error) (*target.ServiceResponse, error) {
	s.attempts++
	attempt := s.request
	attempt.RequestID = s.id + "." + strconv.Itoa(s.attempts)
	attempt.NoTransportRetry, attempt.BeforeWrite = noTransportRetry, beforeWrite
	ctx, span := s.startSpan(ctx, "target")
	defer span.End()
	return s.gateway.options.ServiceClient.Call(ctx, t, &attempt)
}

// provenNotExecuted reports whether the error of a call proves that the call was not
// executed.
func provenNotExecuted(err error) bool {
	var callErr *target.CallError
	return errors.As(err, &callErr) && callErr.NotExecuted
}

// serveIdempotent retries a failed call at other replicas. Its refusal has the state
// not_run only if no attempt can have been executed.
func (s *serviceCall) serveIdempotent() error {
	ctx, cancel := context.WithDeadline(s.r.Context(), s.deadline)
	defer cancel()
	var tried []string
	possiblyExecuted := false
	refuse := func(err error) error {
		if err == nil {
			return nil
		}
		r := refusal.From(err)
		if possiblyExecuted && r.Execution == refusal.NotExecuted {
			r = r.WithExecution(refusal.ExecutionUnknown)
		}
		return r
	}
	for {
		t, report, err := s.gateway.options.Services.ChooseService(s.serviceName, tried)
		if err != nil {
			return refuse(err)
		}
		attemptCtx, cancelAttempt := s.attemptContext(ctx)
		response, err := s.send(attemptCtx, t, false, s.checkSend)
		cancelAttempt()
		if err == nil {
			report(nil)
			return refuse(s.relay(response))
		}
		possiblyExecuted = possiblyExecuted || !provenNotExecuted(err)
		var refused *refusal.Error
		if errors.As(err, &refused) { // by checkSend, not a failure of the target
			report(nil)
			return refuse(refused)
		}
		report(err)
		tried = append(tried, t.ID)
		if len(tried) == maxServiceAttempts || ctx.Err() != nil {
			return refuse(refusal.New(failureCode(possiblyExecuted), "no replica answered").WithCause(err))
		}
		clock.Sleep(ctx, rand.N(maxRetryDelay))
	}
}

// checkSend makes the last checks before the first byte of an idempotent call is sent.
func (s *serviceCall) checkSend() error { return s.checkDispatch(s.reservation) }

// attemptContext limits an attempt to AttemptTimeout and to half of the remaining time,
// which leaves time for a further attempt. The last attempt has all of the remaining time,
// so that a slow service can respond.
func (s *serviceCall) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if s.attempts+1 >= maxServiceAttempts {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, min(time.Until(s.deadline)/2, s.gateway.options.AttemptTimeout))
}

func failureCode(possiblyExecuted bool) refusal.Code {
	if possiblyExecuted {
		return refusal.TargetFailed
	}
	return refusal.TargetUnavailable
}

// relay sends the response to the caller if the caller's key is still valid.
func (s *serviceCall) relay(response *target.ServiceResponse) error {
	if err := s.checkKey(); err != nil {
		return refusal.From(err).WithExecution(refusal.Executed)
	}
	s.writeResponse(response.Status, response.Header, response.Trailer, response.Body)
	return nil
}

func (s *serviceCall) writeResponse(status int, header, trailer http.Header, body []byte) {
	h := s.w.Header()
	for name, values := range header {
		if name != requestIDHeader {
			h[name] = values
		}
	}
	if s.r.Method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified && len(trailer) == 0 {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	if len(trailer) > 0 {
		h.Del("Content-Length")
		for name, values := range trailer {
			h[http.TrailerPrefix+name] = values
		}
	}
	s.w.WriteHeader(status)
	s.writeBody(body)
}

// serveOnce executes a non-idempotent call at most once. Each iteration uses its own claim
// and another replica; a further iteration follows only if the call was provably not
// executed.
func (s *serviceCall) serveOnce(idempotencyKey string) error {
	key := idempotency.Key{
		AccountID: s.accountID(), Service: s.serviceName, IdempotencyKey: idempotencyKey, Fingerprint: s.fingerprint(),
	}
	var tried []string
	var lastRefusal *refusal.Error
	for {
		ctx, cancel := context.WithDeadline(s.r.Context(), s.deadline)
		claim, recorded, err := s.gateway.options.Claims.Begin(ctx, key)
		cancel()
		switch {
		case err != nil:
			return beginError(err, lastRefusal)
		case recorded != nil:
			return s.replay(recorded)
		}
		replicaID, err := s.sendUnderClaim(claim, tried)
		if err == nil {
			return nil
		}
		r := refusal.From(err)
		if replicaID == "" || r.Execution != refusal.NotExecuted || len(tried)+1 == maxServiceAttempts {
			return r
		}
		tried, lastRefusal = append(tried, replicaID), r
	}
}

// beginError chooses the refusal after a failed Begin. If another holder of the key runs
// the request or left its outcome unknown, this takes precedence over the failure of this
// call's last attempt.
func beginError(err error, lastRefusal *refusal.Error) error {
	r := refusal.From(err)
	if lastRefusal != nil && r.Code != refusal.StillRunning && r.Code != refusal.OutcomeUnknown {
		return lastRefusal
	}
	return r
}

// sendUnderClaim sends the call under a claim. If a replica failed and the call may be
// retried at another one, sendUnderClaim also returns the id of the failed replica.
func (s *serviceCall) sendUnderClaim(claim idempotency.Claim, tried []string) (string, error) {
	// A call that was sent is completed and recorded even if the caller disconnects.
	detachedCtx := context.WithoutCancel(s.r.Context())
	recordNotExecuted := func(err error) error {
		s.recordOutcome(detachedCtx, claim.MarkNotExecuted)
		return refusal.From(err)
	}
	t, report, err := s.gateway.options.Services.ChooseService(s.serviceName, tried)
	if err != nil {
		return "", recordNotExecuted(err)
	}
	ctx, cancel := context.WithDeadline(detachedCtx, s.deadline)
	defer cancel()
	response, err := s.send(ctx, t, true, func() error { return s.allowClaimedSend(claim) })
	var refused *refusal.Error
	if errors.As(err, &refused) && provenNotExecuted(err) {
		report(nil)
		return "", recordNotExecuted(refused)
	}
	report(err)
	if err == nil {
		recorded := idempotency.Response{Status: response.Status, Header: response.Header, Body: response.Body}
		s.recordOutcome(detachedCtx, func(ctx context.Context) { claim.Complete(ctx, recorded) })
		return "", s.relay(response)
	}
	if provenNotExecuted(err) {
		return t.ID, recordNotExecuted(refusal.New(refusal.TargetUnavailable, "the replica did not take the call").WithCause(err))
	}
	s.recordOutcome(detachedCtx, claim.MarkUnknown)
	return "", refusal.New(refusal.TargetFailed, "the outcome of the call is not known").WithExecution(refusal.ExecutionUnknown).WithCause(err)
}

// allowClaimedSend makes the last checks before the first byte of a non-idempotent call is
// sent.
func (s *serviceCall) allowClaimedSend(claim idempotency.Claim) error {
	if err := s.r.Context().Err(); err != nil {
		return refusal.New(refusal.DeadlineUnreachable, "the caller left before the call was sent").WithCause(err)
	}
	if err := s.checkDispatch(s.reservation); err != nil {
		return err
	}
	return claim.AllowSend(s.deadline)
}

func (s *serviceCall) recordOutcome(ctx context.Context, write func(context.Context)) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	write(ctx)
}

func (s *serviceCall) replay(recorded *idempotency.Response) error {
	if err := s.checkKey(); err != nil {
		return refusal.From(err).WithExecution(refusal.Executed)
	}
	header := maps.Clone(http.Header(recorded.Header))
	if header == nil {
		header = http.Header{}
	}
	header.Set(replayedHeader, "true")
	s.writeResponse(recorded.Status, header, nil, recorded.Body)
	return nil
}

// fingerprint returns a hash of what must be equal in a repeated request.
func (s *serviceCall) fingerprint() string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(s.request.Method), []byte(s.request.Path), []byte(s.request.RawQuery), s.request.Body} {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}
