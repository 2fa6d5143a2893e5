package admin

import (
	"crypto/rand"
	"encoding/base64"
	"math"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/sequoiaroad/sequoiaroad/internal/idempotency"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/preset"
)

const (
	// keyBytes is the number of random bytes in a key, which make it infeasible to guess.
	keyBytes            = 32
	clientKeyPrefix     = "sr-client-"
	operatorKeyPrefix   = "sr-operator-"
	defaultHistoryLimit = 50
	maxHistoryLimit     = 1000
)

// NewClientKey returns a new client key in plain text.
func NewClientKey() string { return clientKeyPrefix + randomToken() }

// NewOperatorKey returns a new operator key in plain text.
func NewOperatorKey() string { return operatorKeyPrefix + randomToken() }

func randomToken() string {
	b := make([]byte, keyBytes)
	_, _ = rand.Read(b) // never fails, see crypto/rand
	return base64.RawURLEncoding.EncodeToString(b)
}

func (s *Server) document() *config.Document { return s.options.View.Index().Document() }

func (s *Server) getConfiguration(c *call) (any, error) {
	d := s.document()
	if c.operator.Role == config.RoleAdmin {
		return d, nil
	}
	masked := d.Clone()
	for i := range masked.ClientKeys {
		masked.ClientKeys[i].Hash = config.KeyHash{}
	}
	for i := range masked.OperatorKeys {
		masked.OperatorKeys[i].Hash = config.KeyHash{}
	}
	return masked, nil
}

func (s *Server) validateConfiguration(c *call) (any, error) {
	var d config.Document
	if err := decodeBody(c, &d); err != nil {
		return nil, err
	}
	if err := d.Validate(); err != nil {
		return nil, err
	}
	return struct {
		Valid bool `json:"valid"`
	}{true}, nil
}

// applyConfiguration replaces the configuration except for the members, which hosts
// maintain. It requires the revision at which the operator read the document.
func (s *Server) applyConfiguration(c *call) (any, error) {
	var d config.Document
	if err := decodeBody(c, &d); err != nil {
		return nil, err
	}
	if c.request.URL.Query().Get("expected_revision") == "" {
		return nil, newError(CodeInvalid, "expected_revision is required, so that no other change is overwritten")
	}
	if !hasAdmin(d.OperatorKeys) {
		return nil, newError(CodeInvalid, "the configuration would leave no operator key with role admin")
	}
	return s.propose(c, "apply configuration", func(current *config.Document) error {
		current.Preset = d.Preset
		current.Accounts = d.Accounts
		current.ClientKeys = d.ClientKeys
		current.OperatorKeys = d.OperatorKeys
		current.Routes = d.Routes
		current.Models = d.Models
		current.Targets = d.Targets
		return nil
	})
}

func hasAdmin(keys []config.OperatorKey) bool {
	return slices.ContainsFunc(keys, func(k config.OperatorKey) bool { return k.Role == config.RoleAdmin })
}

func (s *Server) history(c *call) (any, error) {
	limit := defaultHistoryLimit
	if text := c.request.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxHistoryLimit {
			return nil, newError(CodeInvalid, "limit is not a number from 1 to 1000")
		}
		limit = n
	}
	documents, err := s.options.Proposer.History(c.ctx, limit)
	if err != nil {
		return nil, newError(CodeUnavailable, "the history can't be read: "+err.Error())
	}
	entries := make([]HistoryEntry, 0, len(documents))
	for _, d := range documents {
		entries = append(entries, HistoryEntry{
			Revision: d.Revision, Operator: d.Change.Operator, At: d.Change.At,
			Summary: d.Change.Summary, WithdrawnKeyIDs: d.Change.WithdrawnKeyIDs,
		})
	}
	return entries, nil
}

func (s *Server) listAccounts(*call) (any, error) {
	d := s.document()
	keys := map[string]int{}
	for _, k := range d.ClientKeys {
		keys[k.AccountID]++
	}
	list := make([]AccountStatus, 0, len(d.Accounts))
	for _, a := range d.Accounts {
		list = append(list, AccountStatus{Account: a, Keys: keys[a.ID]})
	}
	return list, nil
}

func (s *Server) putAccount(c *call) (any, error) {
	var a config.Account
	if err := decodeBody(c, &a); err != nil {
		return nil, err
	}
	a.ID = c.request.PathValue("id")
	return s.propose(c, "set account "+a.ID, func(d *config.Document) error {
		d.Accounts = upsert(d.Accounts, a, accountID)
		return nil
	})
}

func (s *Server) deleteAccount(c *call) (any, error) {
	id := c.request.PathValue("id")
	return s.propose(c, "delete account "+id, func(d *config.Document) (err error) {
		if d.Accounts, err = remove(d.Accounts, id, accountID, "account"); err != nil {
			return err
		}
		d.ClientKeys = slices.DeleteFunc(d.ClientKeys, func(k config.ClientKey) bool { return k.AccountID == id })
		return nil
	})
}

// upsert replaces the entry with the same id or appends it.
func upsert[T any](list []T, entry T, id func(T) string) []T {
	for i := range list {
		if id(list[i]) == id(entry) {
			list[i] = entry
			return list
		}
	}
	return append(list, entry)
}

// remove deletes the entry with the given id, or fails if there is none.
func remove[T any](list []T, id string, idOf func(T) string, kind string) ([]T, error) {
	kept := slices.DeleteFunc(slices.Clone(list), func(x T) bool { return idOf(x) == id })
	if len(kept) == len(list) {
		return nil, newError(CodeNotFound, "there is no "+kind+" "+id)
	}
	return kept, nil
}

func accountID(a config.Account) string         { return a.ID }
func keyID(k config.ClientKey) string           { return k.ID }
func operatorKeyID(k config.OperatorKey) string { return k.ID }
func targetID(t config.Target) string           { return t.ID }

func (s *Server) listKeys(c *call) (any, error) {
	account := c.request.URL.Query().Get("account")
	list := []KeyInfo{}
	for _, k := range s.document().ClientKeys {
		if account == "" || account == k.AccountID {
			list = append(list, KeyInfo{ID: k.ID, AccountID: k.AccountID, CreatedAt: k.CreatedAt})
		}
	}
	return list, nil
}

func (s *Server) issueKey(c *call) (any, error) {
	var r IssueKeyRequest
	if err := decodeBody(c, &r); err != nil {
		return nil, err
	}
	if r.ID == "" {
		r.ID = "key-" + uuid.NewString()
	}
	key := NewClientKey()
	entry := config.ClientKey{ID: r.ID, AccountID: r.AccountID, Hash: config.HashKey(key), CreatedAt: time.Now().UTC()}
	change, err := s.propose(c, "issue key "+r.ID+" for account "+r.AccountID, func(d *config.Document) error {
		d.ClientKeys = append(d.ClientKeys, entry)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return IssuedKey{KeyInfo: KeyInfo{ID: r.ID, AccountID: r.AccountID, CreatedAt: entry.CreatedAt}, Key: key, Change: change}, nil
}

func (s *Server) withdrawKey(c *call) (any, error) {
	id := c.request.PathValue("id")
	return s.propose(c, "withdraw key "+id, func(d *config.Document) (err error) {
		d.ClientKeys, err = remove(d.ClientKeys, id, keyID, "key")
		return err
	})
}

func (s *Server) issueOperatorKey(c *call) (any, error) {
	var r IssueOperatorKeyRequest
	if err := decodeBody(c, &r); err != nil {
		return nil, err
	}
	key := NewOperatorKey()
	entry := config.OperatorKey{ID: r.ID, Hash: config.HashKey(key), Role: r.Role}
	change, err := s.propose(c, "issue operator key "+r.ID, func(d *config.Document) error {
		d.OperatorKeys = append(d.OperatorKeys, entry)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return IssuedOperatorKey{ID: r.ID, Role: r.Role, Key: key, Change: change}, nil
}

func (s *Server) withdrawOperatorKey(c *call) (any, error) {
	id := c.request.PathValue("id")
	return s.propose(c, "withdraw operator key "+id, func(d *config.Document) (err error) {
		d.OperatorKeys, err = remove(d.OperatorKeys, id, operatorKeyID, "operator key")
		if err == nil && !hasAdmin(d.OperatorKeys) {
			return newError(CodeInvalid, "this is the last operator key with role admin")
		}
		return err
	})
}

func (s *Server) listRoutes(*call) (any, error)  { return nonNil(s.document().Routes), nil }
func (s *Server) listModels(*call) (any, error)  { return nonNil(s.document().Models), nil }
func (s *Server) listTargets(*call) (any, error) { return nonNil(s.document().Targets), nil }

func (s *Server) listLimits(*call) (any, error) {
	list := []LimitStatus{}
	for _, status := range s.options.Limits.Status() {
		list = append(list, LimitStatus{HostID: s.options.View.Self().HostID, AccountStatus: status})
	}
	return list, nil
}

func sameRoute(a, b config.Route) bool {
	return a.Service == b.Service && a.PathPrefix == b.PathPrefix && a.Method == b.Method
}

func (s *Server) putRoute(c *call) (any, error) {
	var r config.Route
	if err := decodeBody(c, &r); err != nil {
		return nil, err
	}
	r.Method = strings.ToUpper(r.Method)
	return s.propose(c, "set route "+r.Method+" "+r.Service+r.PathPrefix, func(d *config.Document) error {
		d.Routes = slices.DeleteFunc(d.Routes, func(x config.Route) bool { return sameRoute(x, r) })
		d.Routes = append(d.Routes, r)
		return nil
	})
}

func (s *Server) deleteRoute(c *call) (any, error) {
	q := c.request.URL.Query()
	r := config.Route{Service: q.Get("service"), PathPrefix: q.Get("path_prefix"), Method: strings.ToUpper(q.Get("method"))}
	return s.propose(c, "delete route "+r.Method+" "+r.Service+r.PathPrefix, func(d *config.Document) error {
		before := len(d.Routes)
		d.Routes = slices.DeleteFunc(d.Routes, func(x config.Route) bool { return sameRoute(x, r) })
		if len(d.Routes) == before {
			return newError(CodeNotFound, "there is no such route")
		}
		return nil
	})
}

func (s *Server) putModel(c *call) (any, error) {
	var m config.Model
	if err := decodeBody(c, &m); err != nil {
		return nil, err
	}
	m.ID = c.request.PathValue("id")
	return s.propose(c, "set model "+m.ID, func(d *config.Document) error {
		d.Models = upsert(d.Models, m, func(x config.Model) string { return x.ID })
		return nil
	})
}

func (s *Server) putTarget(c *call) (any, error) {
	var t config.Target
	if err := decodeBody(c, &t); err != nil {
		return nil, err
	}
	t.ID = c.request.PathValue("id")
	return s.propose(c, "set target "+t.ID, func(d *config.Document) error {
		d.Targets = upsert(d.Targets, t, targetID)
		return nil
	})
}

func (s *Server) deleteTarget(c *call) (any, error) {
	id := c.request.PathValue("id")
	return s.propose(c, "delete target "+id, func(d *config.Document) (err error) {
		d.Targets, err = remove(d.Targets, id, targetID, "target")
		return err
	})
}

func presetStatus(p config.Preset) PresetStatus {
	if p == "" {
		p = config.PresetOrdinary
	}
	return PresetStatus{Preset: p, Knobs: preset.For(p)}
}

func (s *Server) getPreset(*call) (any, error) { return presetStatus(s.document().Preset), nil }

func (s *Server) diffPreset(c *call) (any, error) {
	to := config.Preset(c.request.URL.Query().Get("to"))
	if !isPreset(to) {
		return nil, newError(CodeInvalid, "the preset is not ordinary, peak or maintenance")
	}
	fromStatus, toStatus := presetStatus(s.document().Preset), presetStatus(to)
	d := PresetDifference{From: fromStatus.Preset, To: toStatus.Preset, Differences: []KnobDifference{}}
	a, b := reflect.ValueOf(fromStatus.Knobs), reflect.ValueOf(toStatus.Knobs)
	for i := range a.NumField() {
		x, y := a.Field(i).Interface(), b.Field(i).Interface()
		if !reflect.DeepEqual(x, y) {
			d.Differences = append(d.Differences, KnobDifference{Knob: a.Type().Field(i).Name, From: displayValue(x), To: displayValue(y)})
		}
	}
	return d, nil
}

// displayValue returns a duration as text such as 2m0s and other values as they are.
func displayValue(v any) any {
	if d, ok := v.(time.Duration); ok {
		return d.String()
	}
	return v
}

func isPreset(p config.Preset) bool {
	return p == config.PresetOrdinary || p == config.PresetPeak || p == config.PresetMaintenance
}

func (s *Server) setPreset(c *call) (any, error) {
	var r SetPresetRequest
	if err := decodeBody(c, &r); err != nil {
		return nil, err
	}
	if !isPreset(r.Preset) {
		return nil, newError(CodeInvalid, "the preset is not ordinary, peak or maintenance")
	}
	return s.propose(c, "set preset "+string(r.Preset), func(d *config.Document) error {
		d.Preset = r.Preset
		return nil
	})
}

func (s *Server) listHosts(*call) (any, error) {
	self := s.options.View.Self()
	list := []HostInfo{}
	for _, h := range s.options.View.Hosts() {
		list = append(list, HostInfo{
			HostID: h.Member.HostID, Incarnation: h.Member.Incarnation, Zone: h.Member.Zone, Region: h.Member.Region,
			CallerAddress: h.Member.CallerAddress, AdminAddress: h.Member.AdminAddress,
			Listed: h.Listed, Live: h.Live, Fresh: h.Fresh, Draining: h.Draining, Revision: h.Revision,
			EvidenceAgeMs: evidenceAgeMs(h.EvidenceAge), Self: h.Member.HostID == self.HostID,
		})
	}
	return list, nil
}

// evidenceAgeMs returns -1 for the largest duration, which means that there is no
// evidence.
func evidenceAgeMs(age time.Duration) int64 {
	if age == math.MaxInt64 {
		return -1
	}
	return age.Milliseconds()
}

func (s *Server) drain(*call) (any, error) {
	s.options.Drain()
	return struct {
		HostID   string `json:"host_id"`
		Draining bool   `json:"draining"`
	}{s.options.View.Self().HostID, true}, nil
}

func (s *Server) executeOrder(c *call) (any, error) {
	var r OrderRequest
	if err := decodeBody(c, &r); err != nil {
		return nil, err
	}
	if s.options.View.Index().Target(r.TargetID) == nil {
		return nil, newError(CodeNotFound, "there is no target "+r.TargetID)
	}
	result, err := s.options.Orders.Execute(c.ctx, r)
	if err != nil {
		return nil, newError(CodeUnavailable, "the order was not carried out: "+err.Error())
	}
	return result, nil
}

func (s *Server) listUnresolved(c *call) (any, error) {
	records, err := s.options.Unresolved.Unresolved(c.ctx)
	if err != nil {
		return nil, newError(CodeUnavailable, "the records can't be read: "+err.Error())
	}
	if records == nil {
		records = []idempotency.Record{}
	}
	return records, nil
}

func (s *Server) resolve(c *call) (any, error) {
	var r ResolveRequest
	if err := decodeBody(c, &r); err != nil {
		return nil, err
	}
	var response *idempotency.Response
	if r.Status != 0 {
		if r.Status < http.StatusOK || r.Status > 599 {
			return nil, newError(CodeInvalid, "status is not an HTTP status from 200 to 599")
		}
		response = &idempotency.Response{Status: r.Status, Body: []byte(r.Body)}
	}
	id := c.request.PathValue("id")
	if err := s.options.Unresolved.Resolve(c.ctx, id, c.operator.ID, r.Note, response); err != nil {
		return nil, newError(CodeConflict, "the record was not resolved: "+err.Error())
	}
	s.options.Logger.Info("unresolved request was resolved", "operator", c.operator.ID, "record", id)
	return struct {
		ID       string `json:"id"`
		Resolved bool   `json:"resolved"`
	}{id, true}, nil
}

func (s *Server) debugRoute(c *call) (any, error) {
	q := c.request.URL.Query()
	account, model := q.Get("account"), q.Get("model")
	if account == "" || model == "" {
		return nil, newError(CodeInvalid, "account and model are required")
	}
	return s.options.Explainer.Explain(account, model, []byte(q.Get("prompt"))), nil
}
