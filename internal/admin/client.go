package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/dispatch"
	"github.com/sequoiaroad/sequoiaroad/internal/idempotency"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

// Error is the error response of a host.
type Error struct {
	Status  int
	Code    ErrorCode
	Message string
	Faults  []string
}

func (e *Error) Error() string {
	if len(e.Faults) > 0 {
		return e.Message + ":\n  " + strings.Join(e.Faults, "\n  ")
	}
	return e.Message
}

// UnreachableError is returned if a host did not respond and the call had no effect.
type UnreachableError struct {
	Address string
	Err     error
}

func (e *UnreachableError) Error() string {
	return "host " + e.Address + " can't be reached: " + e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *UnreachableError) Unwrap() error { return e.Err }

// Client calls the operator API of one host.
type Client struct {
	Address string // IP:port
	Key     string
	HTTP    *http.Client
}

// ChangeOptions are the options of calls that change the configuration.
type ChangeOptions struct {
	// ExpectedRevision is the revision that the change must follow; zero accepts any.
	ExpectedRevision uint64
	// Force commits without acknowledgements of a majority of hosts.
	Force bool
}

func (o ChangeOptions) query() url.Values {
	q := url.Values{}
	if o.ExpectedRevision > 0 {
		q.Set("expected_revision", strconv.FormatUint(o.ExpectedRevision, 10))
	}
	if o.Force {
		q.Set("force", "true")
	}
	return q
}

func (c *Client) call(ctx context.Context, method, path string, query url.Values, body, result any) error {
	var reader io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return errors.Wrap(err, "encode request")
		}
		reader = bytes.NewReader(b)
	}
	u := url.URL{Scheme: "http", Host: c.Address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, method, u.String(), reader)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.HTTP.Do(request)
	if err != nil {
		return c.transportError(method, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return c.transportError(method, err)
	}
	if response.StatusCode != http.StatusOK {
		return decodeError(response.StatusCode, data)
	}
	return errors.Wrapf(json.Unmarshal(data, result), "decode the answer of host %s", c.Address)
}

// transportError classifies a call without a response. A change that may have reached the
// host may have taken effect.
func (c *Client) transportError(method string, err error) error {
	var network *net.OpError
	if method == http.MethodGet || errors.As(err, &network) && network.Op == "dial" {
		return &UnreachableError{Address: c.Address, Err: err}
	}
	return &Error{Code: CodeOutcomeUnknown, Message: "host " + c.Address + " did not answer; the change may or may not have taken effect: " + err.Error()}
}

func decodeError(status int, data []byte) error {
	var body ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Code == "" {
		return &Error{Status: status, Code: CodeInternal, Message: "unexpected answer with status " + strconv.Itoa(status)}
	}
	return &Error{Status: status, Code: body.Error.Code, Message: body.Error.Message, Faults: body.Error.Faults}
}

func get[T any](ctx context.Context, c *Client, path string, query url.Values) (T, error) {
	var result T
	err := c.call(ctx, http.MethodGet, path, query, nil, &result)
	return result, err
}

func send[T any](ctx context.Context, c *Client, method, path string, query url.Values, body any) (T, error) {
	var result T
	err := c.call(ctx, method, path, query, body, &result)
	return result, err
}

// Configuration returns the applied document.
func (c *Client) Configuration(ctx context.Context) (*config.Document, error) {
	return get[*config.Document](ctx, c, "/admin/v1/configuration", nil)
}

// Validate checks a document without applying it.
func (c *Client) Validate(ctx context.Context, d *config.Document) error {
	_, err := send[json.RawMessage](ctx, c, http.MethodPost, "/admin/v1/configuration/validate", nil, d)
	return err
}

// Apply replaces the configuration; o.ExpectedRevision is required.
func (c *Client) Apply(ctx context.Context, d *config.Document, o ChangeOptions) (Change, error) {
	return send[Change](ctx, c, http.MethodPut, "/admin/v1/configuration", o.query(), d)
}

// History returns up to limit changes, newest first.
func (c *Client) History(ctx context.Context, limit int) ([]HistoryEntry, error) {
	return get[[]HistoryEntry](ctx, c, "/admin/v1/configuration/history", url.Values{"limit": {strconv.Itoa(limit)}})
}

// Accounts lists client accounts.
func (c *Client) Accounts(ctx context.Context) ([]AccountStatus, error) {
	return get[[]AccountStatus](ctx, c, "/admin/v1/accounts", nil)
}

// PutAccount creates a client account or changes its limits.
func (c *Client) PutAccount(ctx context.Context, a config.Account, o ChangeOptions) (Change, error) {
	return send[Change](ctx, c, http.MethodPut, "/admin/v1/accounts/"+url.PathEscape(a.ID), o.query(), a)
}

// DeleteAccount deletes a client account and its keys.
func (c *Client) DeleteAccount(ctx context.Context, id string, o ChangeOptions) (Change, error) {
	return send[Change](ctx, c, http.MethodDelete, "/admin/v1/accounts/"+url.PathEscape(id), o.query(), nil)
}

// Limits lists the tokens of client accounts on the called host.
func (c *Client) Limits(ctx context.Context) ([]LimitStatus, error) {
	return get[[]LimitStatus](ctx, c, "/admin/v1/limits", nil)
}

// Keys lists client keys; an empty account lists all.
func (c *Client) Keys(ctx context.Context, account string) ([]KeyInfo, error) {
	return get[[]KeyInfo](ctx, c, "/admin/v1/keys", url.Values{"account": {account}})
}

// IssueKey issues a client key.
func (c *Client) IssueKey(ctx context.Context, r IssueKeyRequest, o ChangeOptions) (IssuedKey, error) {
	return send[IssuedKey](ctx, c, http.MethodPost, "/admin/v1/keys", o.query(), r)
}

// WithdrawKey withdraws a client key.
func (c *Client) WithdrawKey(ctx context.Context, id string, o ChangeOptions) (Change, error) {
	return send[Change](ctx, c, http.MethodDelete, "/admin/v1/keys/"+url.PathEscape(id), o.query(), nil)
}

// IssueOperatorKey issues an operator key.
func (c *Client) IssueOperatorKey(ctx context.Context, r IssueOperatorKeyRequest, o ChangeOptions) (IssuedOperatorKey, error) {
	return send[IssuedOperatorKey](ctx, c, http.MethodPost, "/admin/v1/operator-keys", o.query(), r)
}

// WithdrawOperatorKey withdraws an operator key.
func (c *Client) WithdrawOperatorKey(ctx context.Context, id string, o ChangeOptions) (Change, error) {
	return send[Change](ctx, c, http.MethodDelete, "/admin/v1/operator-keys/"+url.PathEscape(id), o.query(), nil)
}

// Routes lists routes of plain services.
func (c *Client) Routes(ctx context.Context) ([]config.Route, error) {
	return get[[]config.Route](ctx, c, "/admin/v1/routes", nil)
}

// PutRoute creates or replaces a route.
func (c *Client) PutRoute(ctx context.Context, r config.Route, o ChangeOptions) (Change, error) {
	return send[Change](ctx, c, http.MethodPut, "/admin/v1/routes", o.query(), r)
}

// DeleteRoute deletes a route.
func (c *Client) DeleteRoute(ctx context.Context, r config.Route, o ChangeOptions) (Change, error) {
	q := o.query()
	q.Set("service", r.Service)
	q.Set("path_prefix", r.PathPrefix)
	q.Set("method", r.Method)
	return send[Change](ctx, c, http.MethodDelete, "/admin/v1/routes", q, nil)
}

// Models lists models.
func (c *Client) Models(ctx context.Context) ([]config.Model, error) {
	return get[[]config.Model](ctx, c, "/admin/v1/models", nil)
}

// PutModel creates a model or changes its weights version.
func (c *Client) PutModel(ctx context.Context, m config.Model, o ChangeOptions) (Change, error) {
	return send[Change](ctx, c, http.MethodPut, "/admin/v1/models/"+url.PathEscape(m.ID), o.query(), m)
}

// Targets lists targets.
func (c *Client) Targets(ctx context.Context) ([]config.Target, error) {
	return get[[]config.Target](ctx, c, "/admin/v1/targets", nil)
}

// PutTarget creates or replaces a target.
func (c *Client) PutTarget(ctx context.Context, t config.Target, o ChangeOptions) (Change, error) {
	return send[Change](ctx, c, http.MethodPut, "/admin/v1/targets/"+url.PathEscape(t.ID), o.query(), t)
}

// DeleteTarget deletes a target.
func (c *Client) DeleteTarget(ctx context.Context, id string, o ChangeOptions) (Change, error) {
	return send[Change](ctx, c, http.MethodDelete, "/admin/v1/targets/"+url.PathEscape(id), o.query(), nil)
}

// Preset returns the current preset.
func (c *Client) Preset(ctx context.Context) (PresetStatus, error) {
	return get[PresetStatus](ctx, c, "/admin/v1/preset", nil)
}

// DiffPreset compares the current preset with another.
func (c *Client) DiffPreset(ctx context.Context, to config.Preset) (PresetDifference, error) {
	return get[PresetDifference](ctx, c, "/admin/v1/preset/diff", url.Values{"to": {string(to)}})
}

// SetPreset changes the preset.
func (c *Client) SetPreset(ctx context.Context, p config.Preset, o ChangeOptions) (Change, error) {
	return send[Change](ctx, c, http.MethodPut, "/admin/v1/preset", o.query(), SetPresetRequest{Preset: p})
}

// Hosts lists the hosts in the view of the called host.
func (c *Client) Hosts(ctx context.Context) ([]HostInfo, error) {
	return get[[]HostInfo](ctx, c, "/admin/v1/hosts", nil)
}

// Drain starts the planned stop of the called host.
func (c *Client) Drain(ctx context.Context) error {
	_, err := send[json.RawMessage](ctx, c, http.MethodPost, "/admin/v1/drain", nil, nil)
	return err
}

// SendOrder sends an order to an engine.
func (c *Client) SendOrder(ctx context.Context, r OrderRequest) (OrderResult, error) {
	return send[OrderResult](ctx, c, http.MethodPost, "/admin/v1/orders", nil, r)
}

// Unresolved lists non-idempotent requests without a known outcome.
func (c *Client) Unresolved(ctx context.Context) ([]idempotency.Record, error) {
	return get[[]idempotency.Record](ctx, c, "/admin/v1/unresolved", nil)
}

// Resolve stores an outcome for an unresolved request.
func (c *Client) Resolve(ctx context.Context, id string, r ResolveRequest) error {
	_, err := send[json.RawMessage](ctx, c, http.MethodPost, "/admin/v1/unresolved/"+url.PathEscape(id)+"/resolve", nil, r)
	return err
}

// ExplainRoute returns the target that a request would be routed to, and why.
func (c *Client) ExplainRoute(ctx context.Context, account, model, prompt string) (dispatch.Explanation, error) {
	q := url.Values{"account": {account}, "model": {model}, "prompt": {prompt}}
	return get[dispatch.Explanation](ctx, c, "/v1/debug/route", q)
}
