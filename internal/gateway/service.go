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
	servicesPath         = "/services/"
	idempotencyKeyHeader = "Idempotency-Key"
	replayedHeader       = "Idempotent-Replayed"
	maxIdempotencyKey    = 255
	// serviceCallTokens is charged for each call besides its body.
	serviceCallTokens  = 16
	maxServiceAttempts = 3
	retryJitter        = 30 * time.Millisecond
	// recordTimeout bounds the wait for the record of an outcome; the registry goes
	// on in the background.
	recordTimeout = 2 * time.Second
)

// serviceCall is one call of a plain service.
type serviceCall struct {
	*call
	name    string
	route   config.Route
	request target.ServiceRequest
	// attempt counts sends, to name each of them.
	attempt     int
	reservation quota.Reservation
}

func (c *call) service() error {
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

// admit finds the route and checks the key, unless the route is open.
func (s *serviceCall) admit() error {
	_, span := s.span(s.r.Context(), "admission")
	defer span.End()
	if err := s.takesNew(); err != nil {
		return err
	}
	if err := s.readPath(); err != nil {
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

// readPath splits the path into the service's name and the path at the target. Paths
// that a target could read differently than the route matching are rejected: they
// could reach another route.
func (s *serviceCall) readPath() error {
	if s.r.Method == http.MethodConnect || s.r.Method == http.MethodTrace {
		return refusal.New(refusal.MethodNotAllowed, "services take neither CONNECT nor TRACE")
	}
	rest := strings.TrimPrefix(s.r.URL.EscapedPath(), servicesPath)
	name, path, _ := strings.Cut(rest, "/")
	path = "/" + path
	decoded, err := url.PathUnescape(path)
	if err != nil || ambiguousPath(path, decoded) {
		return invalid("the path must not have empty, . or .. segments, encoded slashes or backslashes")
	}
	if s.credentials.PresentIn(path) {
		return invalid("the path holds a key")
	}
	if !s.knownService(name) {
		return refusal.New(refusal.NotFound, "there is no service %.100q", name)
	}
	s.name, s.request.Path = name, path
	s.route = s.index.Route(name, s.r.Method, decoded)
	return nil
}

func ambiguousPath(escaped, decoded string) bool {
	lower := strings.ToLower(escaped)
	if strings.Contains(lower, "%2f") || strings.Contains(lower, "%25") || strings.ContainsAny(decoded, "\\\x00") {
		return true
	}
	segments := strings.Split(strings.TrimPrefix(decoded, "/"), "/")
	for i, segment := range segments {
		bare, _, _ := strings.Cut(segment, ";")
		if bare == "." || bare == ".." || (bare == "" && i < len(segments)-1) {
			return true
		}
	}
	return false
}

func (s *serviceCall) knownService(name string) bool {
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
	if len(values[0]) > maxIdempotencyKey {
		return "", invalid("%s is longer than %d bytes", idempotencyKeyHeader, maxIdempotencyKey)
	}
	if s.credentials.PresentIn(values[0]) {
		return "", invalid("%s holds a key", idempotencyKeyHeader)
	}
	return values[0], nil
}

// send makes one attempt at a target. An error is a *target.CallError.
func (s *serviceCall) send(ctx context.Context, t *config.Target, once bool, beforeWrite func() error) (*target.ServiceResponse, error) {
	s.attempt++
	attempt := s.request
	attempt.RequestID = s.id + "." + strconv.Itoa(s.attempt)
	attempt.NoTransportRetry, attempt.BeforeWrite = once, beforeWrite
	ctx, span := s.span(ctx, "target")
	defer span.End()
	return s.g.options.ServiceClient.Call(ctx, t, &attempt)
}

// provedNotRun reports whether a failed call can't have run.
func provedNotRun(err error) bool {
	var failed *target.CallError
	return errors.As(err, &failed) && failed.NotExecuted
}

// serveIdempotent repeats a failed call at other replicas. Its refusal says not_run
// only if that is proved of each attempt.
func (s *serviceCall) serveIdempotent() error {
	ctx, cancel := context.WithDeadline(s.r.Context(), s.deadline)
	defer cancel()
	var tried []string
	mayHaveRun := false
	refuse := func(err error) error {
		if err == nil {
			return nil
		}
		r := refusal.From(err)
		if mayHaveRun && r.Execution == refusal.NotExecuted {
			r = r.WithExecution(refusal.ExecutionUnknown)
		}
		return r
	}
	for {
		t, done, err := s.g.options.Services.ChooseService(s.name, tried)
		if err != nil {
			return refuse(err)
		}
		attemptCtx, cancelAttempt := s.attemptContext(ctx)
		response, err := s.send(attemptCtx, t, false, s.allowSend)
		cancelAttempt()
		if err == nil {
			done(nil)
			return refuse(s.relay(response))
		}
		mayHaveRun = mayHaveRun || !provedNotRun(err)
		var refused *refusal.Error
		if errors.As(err, &refused) { // by allowSend, which is no fault of the target
			done(nil)
			return refuse(refused)
		}
		done(err)
		tried = append(tried, t.ID)
		if len(tried) == maxServiceAttempts || ctx.Err() != nil {
			return refuse(refusal.New(failureCode(mayHaveRun), "no replica answered").WithCause(err))
		}
		clock.Sleep(ctx, rand.N(retryJitter))
	}
}

// allowSend holds the last checks before the first byte is sent.
func (s *serviceCall) allowSend() error { return s.mayDispatch(s.reservation) }

// attemptContext leaves time for a further attempt, and at least half of what remains.
// The last attempt has all the time that remains, so that a slow service can answer.
func (s *serviceCall) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if s.attempt+1 >= maxServiceAttempts {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, min(time.Until(s.deadline)/2, s.g.options.AttemptTimeout))
}

func failureCode(mayHaveRun bool) refusal.Code {
	if mayHaveRun {
		return refusal.TargetFailed
	}
	return refusal.TargetUnavailable
}

// relay gives the caller the response, if its key is still valid.
func (s *serviceCall) relay(response *target.ServiceResponse) error {
	if err := s.keyValid(); err != nil {
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

// serveOnce runs a non-idempotent call at most once. Each turn of the loop has its own
// claim; a further turn follows only a proof that nothing ran.
func (s *serviceCall) serveOnce(idempotencyKey string) error {
	key := idempotency.Key{
		AccountID: s.accountID(), Service: s.name, IdempotencyKey: idempotencyKey, Fingerprint: s.fingerprint(),
	}
	var tried []string
	var failed *refusal.Error
	for {
		ctx, cancel := context.WithDeadline(s.r.Context(), s.deadline)
		claim, answer, err := s.g.options.Claims.Begin(ctx, key)
		cancel()
		switch {
		case err != nil:
			return beginError(err, failed)
		case answer != nil:
			return s.replay(answer)
		}
		replica, err := s.runClaim(claim, tried)
		if err == nil {
			return nil
		}
		r := refusal.From(err)
		if replica == "" || r.Execution != refusal.NotExecuted || len(tried)+1 == maxServiceAttempts {
			return r
		}
		tried, failed = append(tried, replica), r
	}
}

// beginError prefers what another holder of the key did over this call's own failure.
func beginError(err error, failed *refusal.Error) error {
	r := refusal.From(err)
	if failed != nil && r.Code != refusal.StillRunning && r.Code != refusal.OutcomeUnknown {
		return failed
	}
	return r
}

// runClaim sends the call under a claim. It returns the replica if one was tried and a
// further claim may be tried.
func (s *serviceCall) runClaim(claim idempotency.Claim, tried []string) (string, error) {
	// What was sent runs to its end and is recorded, even if the caller leaves.
	background := context.WithoutCancel(s.r.Context())
	notRun := func(err error) error {
		s.record(background, claim.MarkNotRun)
		return refusal.From(err)
	}
	t, done, err := s.g.options.Services.ChooseService(s.name, tried)
	if err != nil {
		return "", notRun(err)
	}
	ctx, cancel := context.WithDeadline(background, s.deadline)
	defer cancel()
	response, err := s.send(ctx, t, true, func() error { return s.allowOnce(claim) })
	var refused *refusal.Error
	if errors.As(err, &refused) && provedNotRun(err) {
		done(nil)
		return "", notRun(refused)
	}
	done(err)
	if err == nil {
		answer := idempotency.Response{Status: response.Status, Header: response.Header, Body: response.Body}
		s.record(background, func(ctx context.Context) { claim.Complete(ctx, answer) })
		return "", s.relay(response)
	}
	if provedNotRun(err) {
		return t.ID, notRun(refusal.New(refusal.TargetUnavailable, "the replica did not take the call").WithCause(err))
	}
	s.record(background, claim.MarkUnknown)
	return "", refusal.New(refusal.TargetFailed, "the outcome of the call is not known").WithExecution(refusal.ExecutionUnknown).WithCause(err)
}

// allowOnce holds the last checks before the first byte is sent.
func (s *serviceCall) allowOnce(claim idempotency.Claim) error {
	if err := s.r.Context().Err(); err != nil {
		return refusal.New(refusal.DeadlineUnreachable, "the caller left before the call was sent").WithCause(err)
	}
	if err := s.mayDispatch(s.reservation); err != nil {
		return err
	}
	return claim.AllowSend(s.deadline)
}

func (s *serviceCall) record(ctx context.Context, write func(context.Context)) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	write(ctx)
}

func (s *serviceCall) replay(answer *idempotency.Response) error {
	if err := s.keyValid(); err != nil {
		return refusal.From(err).WithExecution(refusal.Executed)
	}
	header := maps.Clone(http.Header(answer.Header))
	if header == nil {
		header = http.Header{}
	}
	header.Set(replayedHeader, "true")
	s.writeResponse(answer.Status, header, nil, answer.Body)
	return nil
}

// fingerprint hashes what makes a repeated request the same.
func (s *serviceCall) fingerprint() string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(s.request.Method), []byte(s.request.Path), []byte(s.request.RawQuery), s.request.Body} {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}
