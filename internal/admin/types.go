// Package admin implements the HTTP API of a host for operators, its request and response
// types, and the client that sequoiaroadctl uses.
package admin

import (
	"time"

	"github.com/sequoiaroad/sequoiaroad/internal/quota"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/preset"
)

// ErrorCode is the stable name of an error of the API.
type ErrorCode string

// The error codes of the API.
const (
	CodeUnauthorized   ErrorCode = "unauthorized"
	CodeForbidden      ErrorCode = "forbidden"
	CodeInvalid        ErrorCode = "invalid"
	CodeNotFound       ErrorCode = "not_found"
	CodeConflict       ErrorCode = "conflict"
	CodeNoQuorum       ErrorCode = "no_quorum"
	CodeUnavailable    ErrorCode = "unavailable"
	CodeOutcomeUnknown ErrorCode = "outcome_unknown"
	CodeInternal       ErrorCode = "internal"
)

// ErrorBody is the body of every error response.
type ErrorBody struct {
	Error struct {
		Code    ErrorCode `json:"code"`
		Message string    `json:"message"`
		Faults  []string  `json:"faults,omitempty"`
	} `json:"error"`
}

// Change reports an accepted revision and which hosts have confirmed it.
type Change struct {
	Revision  uint64   `json:"revision"`
	Confirmed []string `json:"confirmed"`
	// Expired hosts did not confirm and are no longer fresh, so that they refuse requests
	// with a key.
	Expired []string `json:"expired"`
	// Pending hosts may still serve requests under the earlier revision.
	Pending []string `json:"pending"`
}

// AccountStatus is a client account with the number of its keys.
type AccountStatus struct {
	config.Account
	Keys int `json:"keys"`
}

// LimitStatus is the state of a client account's tokens on one host.
type LimitStatus struct {
	HostID string `json:"host_id"`
	quota.AccountStatus
}

// KeyInfo describes a client key without its hash.
type KeyInfo struct {
	ID        string    `json:"id"`
	AccountID string    `json:"account_id"`
	CreatedAt time.Time `json:"created_at"`
}

// IssueKeyRequest requests a new client key.
type IssueKeyRequest struct {
	AccountID string `json:"account_id"`
	// ID is chosen by the host if empty.
	ID string `json:"id,omitempty"`
}

// IssuedKey holds a new key in plain text; it is shown once.
type IssuedKey struct {
	KeyInfo
	Key    string `json:"key"`
	Change Change `json:"change"`
}

// IssueOperatorKeyRequest requests a new operator key.
type IssueOperatorKeyRequest struct {
	ID   string      `json:"id"`
	Role config.Role `json:"role"`
}

// IssuedOperatorKey holds a new operator key in plain text; it is shown once.
type IssuedOperatorKey struct {
	ID     string      `json:"id"`
	Role   config.Role `json:"role"`
	Key    string      `json:"key"`
	Change Change      `json:"change"`
}

// PresetStatus is the current preset and its parameters.
type PresetStatus struct {
	Preset config.Preset `json:"preset"`
	Knobs  preset.Knobs  `json:"knobs"`
}

// PresetDifference lists the parameters that differ between two presets.
type PresetDifference struct {
	From        config.Preset    `json:"from"`
	To          config.Preset    `json:"to"`
	Differences []KnobDifference `json:"differences"`
}

// KnobDifference is one parameter with its value in both presets.
type KnobDifference struct {
	Knob string `json:"knob"`
	From any    `json:"from"`
	To   any    `json:"to"`
}

// SetPresetRequest changes the preset.
type SetPresetRequest struct {
	Preset config.Preset `json:"preset"`
}

// HostInfo describes a host in the view of the called host.
type HostInfo struct {
	HostID        string `json:"host_id"`
	Incarnation   string `json:"incarnation"`
	Zone          string `json:"zone"`
	Region        string `json:"region"`
	CallerAddress string `json:"caller_address"`
	AdminAddress  string `json:"admin_address"`
	Listed        bool   `json:"listed"`
	Live          bool   `json:"live"`
	Fresh         bool   `json:"fresh"`
	Draining      bool   `json:"draining"`
	Revision      uint64 `json:"revision"`
	// EvidenceAgeMs is the age of the host's newest evidence of freshness, or -1 if it has
	// none.
	EvidenceAgeMs int64 `json:"evidence_age_ms"`
	Self          bool  `json:"self"`
}

// HistoryEntry is one revision in the history.
type HistoryEntry struct {
	Revision        uint64    `json:"revision"`
	Operator        string    `json:"operator"`
	At              time.Time `json:"at"`
	Summary         string    `json:"summary"`
	WithdrawnKeyIDs []string  `json:"withdrawn_key_ids,omitempty"`
}

// ResolveRequest stores an outcome for an unresolved request.
type ResolveRequest struct {
	// Status and Body form the response to repeats of the request; without a status,
	// repeats get an error that the request was resolved.
	Status int    `json:"status,omitempty"`
	Body   string `json:"body,omitempty"`
	Note   string `json:"note"`
}

// OrderRequest is an order to an engine.
type OrderRequest struct {
	TargetID string `json:"target_id"`
	// Kind is load_model, load_adapter, load_version or change_role.
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// OrderResult reports an order that the engine accepted.
type OrderResult struct {
	TargetID     string `json:"target_id"`
	FencingToken uint64 `json:"fencing_number"`
}
