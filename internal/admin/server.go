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

// Orders executes orders to engines.
type Orders interface {
	Execute(ctx context.Context, r OrderRequest) (OrderResult, error)
}

// Limits reports the tokens of client accounts at this host.
type Limits interface{ Status() []quota.AccountStatus }

// Options are the parts of a host that operators reach.
type Options struct {
	View       fleet.View
	Proposer   fleet.Proposer
	Explainer  dispatch.Explainer
	Unresolved idempotency.Registry
	Orders     Orders
	Limits     Limits
	// Drain starts the planned stop of this host.
	Drain  func()
	Logger hclog.Logger
}

// Server is the operators' API.
type Server struct {
	o   Options
	mux *http.ServeMux
}

// NewServer returns the API as an http.Handler.
func NewServer(o Options) *Server {
	s := &Server{o: o, mux: http.NewServeMux()}
	s.o.Logger = o.Logger.Named("admin")
	read, change := config.RoleReader, config.RoleAdmin
	s.route("GET /admin/v1/configuration", read, s.getConfiguration)
	s.route("POST /admin/v1/configuration/validate", read, s.validateConfiguration)
	s.route("PUT /admin/v1/configuration", change, s.applyConfiguration)
	s.route("GET /admin/v1/configuration/history", read, s.history)
	s.route("GET /admin/v1/accounts", read, s.listAccounts)
	s.route("PUT /admin/v1/accounts/{id}", change, s.putAccount)
	s.route("DELETE /admin/v1/accounts/{id}", change, s.deleteAccount)
	s.route("GET /admin/v1/limits", read, s.listLimits)
	s.route("GET /admin/v1/keys", read, s.listKeys)
	s.route("POST /admin/v1/keys", change, s.issueKey)
	s.route("DELETE /admin/v1/keys/{id}", change, s.withdrawKey)
	s.route("POST /admin/v1/operator-keys", change, s.issueOperatorKey)
	s.route("DELETE /admin/v1/operator-keys/{id}", change, s.withdrawOperatorKey)
	s.route("GET /admin/v1/routes", read, s.listRoutes)
	s.route("PUT /admin/v1/routes", change, s.putRoute)
	s.route("DELETE /admin/v1/routes", change, s.deleteRoute)
	s.route("GET /admin/v1/models", read, s.listModels)
	s.route("PUT /admin/v1/models/{id}", change, s.putModel)
	s.route("GET /admin/v1/targets", read, s.listTargets)
	s.route("PUT /admin/v1/targets/{id}", change, s.putTarget)
	s.route("DELETE /admin/v1/targets/{id}", change, s.deleteTarget)
	s.route("GET /admin/v1/preset", read, s.getPreset)
	s.route("GET /admin/v1/preset/diff", read, s.diffPreset)
	s.route("PUT /admin/v1/preset", change, s.setPreset)
	s.route("GET /admin/v1/hosts", read, s.listHosts)
	s.route("POST /admin/v1/drain", change, s.drain)
	s.route("POST /admin/v1/orders", change, s.order)
	s.route("GET /admin/v1/unresolved", read, s.listUnresolved)
	s.route("POST /admin/v1/unresolved/{id}/resolve", change, s.resolve)
	s.route("GET /v1/debug/route", read, s.debugRoute)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// call is one authenticated request.
type call struct {
	ctx      context.Context
	request  *http.Request
	operator *config.OperatorKey
}

// apiError is a failure with a code that clients tell apart.
type apiError struct {
	code    ErrorCode
	message string
	faults  []string
}

func (e *apiError) Error() string { return string(e.code) + ": " + e.message }

func fail(code ErrorCode, message string) error { return &apiError{code: code, message: message} }

var statusOf = map[ErrorCode]int{
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

func (s *Server) route(pattern string, needs config.Role, handle func(*call) (any, error)) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		operator, err := s.authenticate(r, needs)
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
// operators, so that they can see its state, but no key is accepted that the applied
// configuration does not list.
func (s *Server) authenticate(r *http.Request, needs config.Role) (*config.OperatorKey, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	index := s.o.View.Index()
	if !ok || index == nil {
		return nil, fail(CodeUnauthorized, "an operator key is required")
	}
	operator := index.OperatorKey(strings.TrimSpace(key))
	if operator == nil {
		return nil, fail(CodeUnauthorized, "the operator key is unknown")
	}
	if needs == config.RoleAdmin && operator.Role != config.RoleAdmin {
		return nil, fail(CodeForbidden, "the operator key may only read")
	}
	return operator, nil
}

func (s *Server) writeError(w http.ResponseWriter, r *http.Request, err error) {
	e := classify(err)
	if e.code == CodeInternal {
		s.o.Logger.Error("request failed", "method", r.Method, "path", r.URL.Path, "error", err)
	}
	var body ErrorBody
	body.Error.Code = e.code
	body.Error.Message = e.message
	body.Error.Faults = e.faults
	writeJSON(w, statusOf[e.code], body)
}

func classify(err error) *apiError {
	var known *apiError
	if errors.As(err, &known) {
		return known
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
	_ = json.NewEncoder(w).Encode(body) // the client is gone if this fails
}

func decodeBody(c *call, into any) error {
	decoder := json.NewDecoder(c.request.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fail(CodeInvalid, "the body is not valid JSON for this call: "+err.Error())
	}
	return nil
}

// propose commits a change on behalf of the operator. The query parameters
// expected_revision and force apply to each changing call.
func (s *Server) propose(c *call, summary string, mutate config.Mutation) (Change, error) {
	query := c.request.URL.Query()
	opts := fleet.ProposeOptions{Operator: c.operator.ID, Summary: summary, Force: query.Get("force") == "true"}
	if text := query.Get("expected_revision"); text != "" {
		revision, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return Change{}, fail(CodeInvalid, "expected_revision is not a number")
		}
		opts.ExpectedRevision = revision
	}
	result, err := s.o.Proposer.Propose(c.ctx, mutate, opts)
	if err != nil {
		return Change{}, err
	}
	s.o.Logger.Info("change accepted", "operator", c.operator.ID, "revision", result.Revision, "summary", summary)
	return Change{
		Revision:  result.Revision,
		Confirmed: nonNil(result.Confirmed),
		Expired:   nonNil(result.Expired),
		Pending:   nonNil(result.Pending),
	}, nil
}

// nonNil makes an empty list appear as [] and not as null.
func nonNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
