// Package idempotency implements the state machine of a non-idempotent request: who may
// claim it, who may send it, and which records may follow one another.
//
// Invariants: a row in state done or resolved never changes its state, a row in state
// unknown changes only to resolved, and none of them becomes claimable again; a row in
// state not_run belongs to an attempt that sent nothing and can no longer send.
package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/pkg/errors"
)

// State is the recorded state of a request.
type State string

// The states of a row.
const (
	Claimed     State = "claimed"
	Done        State = "done"
	NotExecuted State = "not_run"
	Unknown     State = "unknown"
	Resolved    State = "resolved"
)

// Holder is the process that holds a claim.
type Holder struct {
	HostID      string `json:"host_id"`
	Incarnation string `json:"incarnation"`
}

// Row is the record of one request.
type Row struct {
	AccountID      string    `json:"account_id"`
	Service        string    `json:"service"`
	IdempotencyKey string    `json:"idempotency_key"`
	Fingerprint    string    `json:"fingerprint"`
	Holder         Holder    `json:"holder"`
	AttemptID      string    `json:"attempt_id"`
	State          State     `json:"state"`
	ClaimedAt      time.Time `json:"claimed_at"`
	// EndedAt is when the state became done, not_run, unknown or resolved.
	EndedAt time.Time `json:"ended_at,omitzero"`
	// Response is the encoded response of a done or resolved row, if it is small.
	Response []byte `json:"answer,omitempty"`
	// ResponseObject names the object that holds a large response.
	ResponseObject string `json:"answer_object,omitempty"`
	ResolvedBy     string `json:"resolved_by,omitempty"`
	Note           string `json:"note,omitempty"`
}

// RowKey is the key of a request's row. Each part is hashed with its length, so
// that no two requests share a key by moving bytes between parts.
func RowKey(accountID, service, idempotencyKey string) string {
	h := sha256.New()
	for _, part := range []string{accountID, service, idempotencyKey} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:])
		_, _ = h.Write([]byte(part))
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Action determines how a request is treated, given the row found.
type Action int

// The actions.
const (
	// MayClaim: the row is absent or not_run; it may be replaced conditionally.
	MayClaim Action = iota
	// Replay: the recorded response is returned.
	Replay
	// StillRunning: the holder is live and may still record a response.
	StillRunning
	// OutcomeUnknown: the request may have been executed, and no host will record a
	// response.
	OutcomeUnknown
	// KeyReused: the key was used with another request.
	KeyReused
)

// Decide returns how a request with this fingerprint is treated; a nil row is absent.
// holderLive is called only for claimed rows.
func Decide(row *Row, fingerprint string, holderLive func(Holder) bool) Action {
	if row == nil {
		return MayClaim
	}
	if row.Fingerprint != fingerprint {
		return KeyReused
	}
	switch row.State {
	case NotExecuted:
		return MayClaim
	case Done:
		return Replay
	case Resolved:
		if row.Response != nil || row.ResponseObject != "" {
			return Replay
		}
		return OutcomeUnknown
	case Claimed:
		if holderLive(row.Holder) {
			return StillRunning
		}
	}
	return OutcomeUnknown
}

// Confirms reports whether the row proves that the claim of an attempt took effect.
func Confirms(row *Row, attemptID string) bool {
	return row != nil && row.AttemptID == attemptID && row.State == Claimed
}

// WriteDecision determines what a writer does next with its record.
type WriteDecision int

// The write decisions.
const (
	// Write: write the record on the condition that the row is unchanged.
	Write WriteDecision = iota
	// AlreadyRecorded: the row already has the state of the record.
	AlreadyRecorded
	// Superseded: the row belongs to another attempt, or an operator resolved it;
	// the record is dropped.
	Superseded
)

// DecideFinish decides whether the holder of an attempt may replace the row found by a
// record in the given state. Only a claimed row of the same attempt changes.
func DecideFinish(row *Row, attemptID string, to State) WriteDecision {
	switch {
	case row == nil || row.AttemptID != attemptID:
		return Superseded
	case row.State == Claimed:
		return Write
	case row.State == to:
		return AlreadyRecorded
	}
	return Superseded
}

// DecideRelease decides whether an attempt whose claim was not confirmed, and which sent
// nothing, writes its not_run record over the row found. expectedVersion is the version
// that the claim was conditional on. The row is also written if the claim has not taken
// effect yet: the write changes the version, so that a delayed claim fails its
// condition.
func DecideRelease(row *Row, foundVersion uint64, attemptID string, expectedVersion uint64) WriteDecision {
	if row != nil && row.AttemptID == attemptID {
		return DecideFinish(row, attemptID, NotExecuted)
	}
	if foundVersion == expectedVersion {
		return Write
	}
	return Superseded
}

// ErrNotResolvable means that a record is not in a state that operators can resolve.
var ErrNotResolvable = errors.New("the record is not unresolved")

// Resolvable reports whether an operator may resolve the row.
func Resolvable(row *Row, holderLive func(Holder) bool) bool {
	return row.State == Unknown || row.State == Claimed && !holderLive(row.Holder)
}

// Resolve returns the row with an operator's outcome. The row keeps its attempt
// and never becomes claimable: a paused holder may still send.
func Resolve(row Row, operator, note string, holderLive func(Holder) bool) (Row, error) {
	if !Resolvable(&row, holderLive) {
		return Row{}, errors.WithMessagef(ErrNotResolvable, "state %s", row.State)
	}
	row.State, row.ResolvedBy, row.Note = Resolved, operator, note
	return row, nil
}
