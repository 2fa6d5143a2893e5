package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/dispatch"
	"github.com/sequoiaroad/sequoiaroad/internal/fleet"
	"github.com/sequoiaroad/sequoiaroad/internal/idempotency"
	"github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/internal/quota"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

const (
	maxBodyBytes = 16 << 20
	// changeTimeout bounds a change: the commit, plus the wait until every host has
	// confirmed the revision or passed the freshness deadline.
	changeTimeout = 20 * time.Second
	readTimeout   = 5 * time.Second
)

// OrderExecutor sends orders to engines.
type OrderExecutor interface {
	Execute(ctx context.Context, r OrderRequest) (OrderResult, error)
}

// LimitReporter reports the tokens of client accounts on this host.
type LimitReporter interface{ Status() []quota.AccountStatus }

// Options are the components of a host that the API gives operators access to.
type Options struct {
	View       fleet.View
	Proposer   fleet.Proposer
	Explainer  dispatch.Explainer
	Unresolved idempotency.Registry
	Orders     OrderExecutor
	Limits     LimitReporter
	// Drain starts the planned stop of this host.
	Drain  func()
	Logger hclog.Logger
}

// Server serves the operator API of a host.
type Server struct {
	options Options
	mux     *http.ServeMux
}

// NewServer returns the API as an http.Handler.
func NewServer(o Options) *Server {
	s := &Server{options: o, mux: http.NewServeMux()}
	s.options.Logger = o.Logger.Named("admin")
	read, change := config.RoleReader, config.RoleAdmin
	s.register("GET /admin/v1/configuration", read, s.getConfiguration)
	s.register("POST /admin/v1/configuration/validate", read, s.validateConfiguration)
	s.register("PUT /admin/v1/configuration", change, s.applyConfiguration)
	s.register("GET /admin/v1/configuration/history", read, s.history)
	s.register("GET /admin/v1/accounts", read, s.listAccounts)
	s.register("PUT /admin/v1/accounts/{id}", change, s.putAccount)
	s.register("DELETE /admin/v1/accounts/{id}", change, s.deleteAccount)
	s.register("GET /admin/v1/limits", read, s.listLimits)
	s.register("GET /admin/v1/keys", read, s.listKeys)
	s.register("POST /admin/v1/keys", change, s.issueKey)
	s.register("DELETE /admin/v1/keys/{id}", change, s.withdrawKey)
	s.register("POST /admin/v1/operator-keys", change, s.issueOperatorKey)
	s.register("DELETE /admin/v1/operator-keys/{id}", change, s.withdrawOperatorKey)
	s.register("GET /admin/v1/routes", read, s.listRoutes)
	s.register("PUT /admin/v1/routes", change, s.putRoute)
	s.register("DELETE /admin/v1/routes", change, s.deleteRoute)
	s.register("GET /admin/v1/models", read, s.listModels)
	s.register("PUT /admin/v1/models/{id}", change, s.putModel)
	s.register("GET /admin/v1/targets", read, s.listTargets)
	s.register("PUT /admin/v1/targets/{id}", change, s.putTarget)
	s.register("DELETE /admin/v1/targets/{id}", change, s.deleteTarget)
	s.register("GET /admin/v1/preset", read, s.getPreset)
	s.register("GET /admin/v1/preset/diff", read, s.diffPreset)
	s.register("PUT /admin/v1/preset", change, s.setPreset)
	s.register("GET /admin/v1/hosts", read, s.listHosts)
	s.register("POST /admin/v1/drain", change, s.drain)
	s.register("POST /admin/v1/orders", change, s.executeOrder)
	s.register("GET /admin/v1/unresolved", read, s.listUnresolved)
	s.register("POST /admin/v1/unresolved/{id}/resolve", change, s.resolve)
	s.register("GET /v1/debug/route", read, s.debugRoute)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// call is one authenticated request to the API.
type call struct {
	ctx      context.Context
	request  *http.Request
	operator *config.OperatorKey
}

// apiError is an error with a code for clients.
type apiError struct {
	code    ErrorCode
	message string
	faults  []string
}

func (e *apiError) Error() string { return string(e.code) + ": " + e.message }

func newError(code ErrorCode, message string) error { return &apiError{code: code, message: message} }

var httpStatus = map[ErrorCode]int{
	CodeUnauthorized:   http.StatusUnauthorized,
	CodeForbidden:      http.StatusForbidden,
	CodeInvalid:        http.StatusBadRequest,
	CodeNotFound:       http.StatusNotFound,
	CodeConflict:       http.StatusConflict,
	CodeNoQuorum:       http.StatusServiceUnavailable,
	CodeUnavailable:    http.StatusServiceUnavailable,
	CodeOutcomeUnknown: http.StatusGatewayTimeout,
	CodeInternal:       http.StatusInternalServerError,
}

// register adds a handler for requests whose operator key has at least the required role.
func (s *Server) register(pattern string, requiredRole config.Role, handle func(*call) (any, error)) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		operator, err := s.authenticate(r, requiredRole)
		if err != nil {
			s.writeError(w, r, err)
			return
		}
		timeout := readTimeout
		if r.Method != http.MethodGet {
			timeout = changeTimeout
		}
		ctx, cancel := context.WithTimeout(r.Context(), timeout)
		defer cancel()
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		result, err := handle(&call{ctx: ctx, request: r, operator: operator})
		if err != nil {
			s.writeError(w, r, err)
			return
		}
		writeJSON(w, http.StatusOK, result)
	})
}

// authenticate checks the operator key. A host that is not fresh still serves
// operators, so that they can inspect its state, but it accepts only keys of the applied
// configuration.
func (s *Server) authenticate(r *http.Request, requiredRole config.Role) (*config.OperatorKey, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	index := s.options.View.Index()
	if !ok || index == nil {
		return nil, newError(CodeUnauthorized, "an operator key is required")
	}
	operator := index.OperatorKey(strings.TrimSpace(key))
	if operator == nil {
		return nil, newError(CodeUnauthorized, "the operator key is unknown")
	}
	if requiredRole == config.RoleAdmin && operator.Role != config.RoleAdmin {
		return nil, newError(CodeForbidden, "the operator key may only read")
	}
	return operator, nil
}

func (s *Server) writeError(w http.ResponseWriter, r *http.Request, err error) {
	e := toAPIError(err)
	if e.code == CodeInternal {
		s.options.Logger.Error("request failed", "method", r.Method, "path", r.URL.Path, "error", err)
	}
	var body ErrorBody
	body.Error.Code = e.code
	body.Error.Message = e.message
	body.Error.Faults = e.faults
	writeJSON(w, httpStatus[e.code], body)
}

func toAPIError(err error) *apiError {
	var apiErr *apiError
	if errors.As(err, &apiErr) {
		return apiErr
	}
	var invalid *config.ValidationError
	switch {
	case errors.As(err, &invalid):
		return &apiError{code: CodeInvalid, message: "the configuration is invalid", faults: invalid.Faults}
	case errors.Is(err, fleet.ErrRevisionConflict):
		return &apiError{code: CodeConflict, message: "another change came first; read the configuration again"}
	case errors.Is(err, fleet.ErrNoMajority):
		return &apiError{code: CodeNoQuorum, message: "too few hosts acknowledged the change; nothing was changed"}
	case errors.Is(err, fleet.ErrNotAccepted):
		return &apiError{code: CodeOutcomeUnknown, message: "the withdrawal is in force on the hosts that heard it; they go on until the store accepts it"}
	case errors.Is(err, platform.ErrUnknownOutcome):
		return &apiError{code: CodeOutcomeUnknown, message: "the change may or may not have taken effect; read the configuration"}
	case errors.Is(err, platform.ErrUnavailable):
		return &apiError{code: CodeUnavailable, message: "the platform did not take the change; nothing was changed"}
	default:
		return &apiError{code: CodeInternal, message: err.Error()}
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has disconnected
}

func decodeBody(c *call, value any) error {
	decoder := json.NewDecoder(c.request.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return newError(CodeInvalid, "the body is not valid JSON for this call: "+err.Error())
	}
	return nil
}

// propose commits a change on behalf of the operator. It applies the query parameters
// expected_revision and force.
func (s *Server) propose(c *call, summary string, mutate config.Mutation) (Change, error) {
	query := c.request.URL.Query()
	opts := fleet.ProposeOptions{Operator: c.operator.ID, Summary: summary, Force: query.Get("force") == "true"}
	if text := query.Get("expected_revision"); text != "" {
		revision, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return Change{}, newError(CodeInvalid, "expected_revision is not a number")
		}
		opts.ExpectedRevision = revision
	}
	result, err := s.options.Proposer.Propose(c.ctx, mutate, opts)
	if err != nil {
		return Change{}, err
	}
	s.options.Logger.Info("change accepted", "operator", c.operator.ID, "revision", result.Revision, "summary", summary)
	return Change{
		Revision:  result.Revision,
		Confirmed: nonNil(result.Confirmed),
		Expired:   nonNil(result.Expired),
		Pending:   nonNil(result.Pending),
	}, nil
}

// nonNil returns an empty list for nil, so that its JSON is [] and not null.
func nonNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
