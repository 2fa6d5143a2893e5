// Package config holds the configuration document of the fleet, its validation
// and the typed changes that lead from one revision to the next.
//
// A document is immutable once published: changes are applied to a copy.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Preset names one of the sets of policy knobs that an operator can choose.
type Preset string

// The presets. The empty preset means PresetOrdinary.
const (
	PresetOrdinary    Preset = "ordinary"
	PresetPeak        Preset = "peak"
	PresetMaintenance Preset = "maintenance"
)

// Role determines what an operator key may do.
type Role string

// The roles of operator keys.
const (
	RoleReader Role = "reader"
	RoleAdmin  Role = "admin"
)

// TargetKind distinguishes model engines from plain services.
type TargetKind string

// The kinds of target.
const (
	TargetEngine  TargetKind = "engine"
	TargetService TargetKind = "service"
)

// KeyHash is the SHA-256 hash of a key; keys themselves are never stored.
type KeyHash [sha256.Size]byte

// HashKey returns the hash under which a key is stored.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// MarshalText encodes the hash as hexadecimal digits.
func (h KeyHash) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(h[:])), nil
}

// UnmarshalText decodes hexadecimal digits.
func (h *KeyHash) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(h) {
		return hex.ErrLength
	}
	_, err := hex.Decode(h[:], text)
	return err
}

// Member is a host that counts towards quorums and may be assigned a share of an
// account's limits. A restarted host has a new incarnation and is not a member until a
// revision lists that incarnation.
type Member struct {
	HostID        string `json:"host_id" msgpack:"h,omitempty"`
	Incarnation   string `json:"incarnation" msgpack:"i,omitempty"`
	Zone          string `json:"zone" msgpack:"z,omitempty"`
	Region        string `json:"region" msgpack:"r,omitempty"`
	InnerAddress  string `json:"inner_address" msgpack:"a,omitempty"`
	CallerAddress string `json:"caller_address" msgpack:"c,omitempty"`
	AdminAddress  string `json:"admin_address" msgpack:"d,omitempty"`
	// Weight scales the host's share in placement; zero means 1.
	Weight float64 `json:"weight,omitempty" msgpack:"w,omitempty"`
}

// Account is a client account with its limits over the whole fleet.
type Account struct {
	ID                  string `json:"id"`
	RateTokensPerSecond int64  `json:"rate_tokens_per_second"`
	BurstTokens         int64  `json:"burst_tokens"`
}

// ClientKey lets a caller act for one client account. A withdrawn key is
// removed from the document.
type ClientKey struct {
	ID        string    `json:"id"`
	AccountID string    `json:"account_id"`
	Hash      KeyHash   `json:"hash"`
	CreatedAt time.Time `json:"created_at"`
}

// OperatorKey lets an operator use the administration API.
type OperatorKey struct {
	ID   string  `json:"id"`
	Hash KeyHash `json:"hash"`
	Role Role    `json:"role"`
}

// Route determines how calls of a plain service are treated. The route with the longest
// matching PathPrefix and a matching method applies; without one, a call needs a key and
// is not idempotent.
type Route struct {
	Service    string `json:"service"`
	PathPrefix string `json:"path_prefix"`
	// Method is an HTTP method; empty means every method.
	Method string `json:"method,omitempty"`
	// Open routes need no key.
	Open       bool `json:"open,omitempty"`
	Idempotent bool `json:"idempotent,omitempty"`
}

// Model is a model that callers can name.
type Model struct {
	ID             string `json:"id"`
	WeightsVersion string `json:"weights_version"`
}

// Target is a replica of an engine or of a plain service.
type Target struct {
	ID   string     `json:"id"`
	Kind TargetKind `json:"kind"`
	// URL is the base URL, with an IP address and a port.
	URL    string `json:"url"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Models lists the models that an engine serves.
	Models []string `json:"models,omitempty"`
	// Service is the name under /services/ of a plain service.
	Service string `json:"service,omitempty"`
	// ChecksFencing is true if the target rejects orders with an old fencing token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Leaving targets get no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// ChangeRecord records who made a revision, when, and in which attempt.
type ChangeRecord struct {
	Operator  string    `json:"operator"`
	At        time.Time `json:"at"`
	Summary   string    `json:"summary"`
	AttemptID string    `json:"attempt_id"`
	// OnlyWithdrawals is true if the revision removes client keys and changes nothing
	// else, so that a host may enforce it before it is accepted.
	OnlyWithdrawals bool     `json:"only_withdrawals,omitempty"`
	WithdrawnKeyIDs []string `json:"withdrawn_key_ids,omitempty"`
}

// Document is one revision of the whole configuration.
type Document struct {
	Revision uint64 `json:"revision"`
	// MembersRevision is the revision that last changed Members. A host that skips
	// revisions uses it to detect a missed member list; zero means unknown.
	MembersRevision uint64        `json:"members_revision,omitempty"`
	Preset          Preset        `json:"preset"`
	Members         []Member      `json:"members"`
	Accounts        []Account     `json:"accounts"`
	ClientKeys      []ClientKey   `json:"client_keys"`
	OperatorKeys    []OperatorKey `json:"operator_keys"`
	Routes          []Route       `json:"routes"`
	Models          []Model       `json:"models"`
	Targets         []Target      `json:"targets"`
	Change          ChangeRecord  `json:"change"`
}
