// Package completion decides whether a response is complete where its target has ended it,
// from what a host has learned in all attempts of the request. It does no I/O.
//
// Invariants: a stream is never complete while an event is owed to the caller; the end of a
// connection alone never proves a response complete, since it is also that of a target that
// crashes.
package completion

import (
	"bytes"

	"github.com/pkg/errors"
)

// ErrIncomplete means that part of a response is missing.
var ErrIncomplete = errors.New("the target ended the response before it was complete")

// Progress is what the attempts of one request have shown of its response. The zero value is
// that of a request that was not sent yet.
type Progress struct {
	// owed means that a target has ended inside an event that the caller has not received
	// since.
	owed bool
	// hasEvents means that the caller has received events, from this request or an earlier one.
	hasEvents bool
}

// End describes a response whose target has ended it without an error.
type End struct {
	// Stream means that the response is a series of events, and HeadOnly that it has no body.
	Stream, HeadOnly bool
	// Unframed means that the body has neither a length nor chunks and ends with its connection.
	Unframed bool
	// TargetLeaves means that the target is known to leave. It may end right after its last
	// response, so that nothing could tell its end from a crash.
	TargetLeaves bool
}

// Proof is what must be known besides before a response counts as complete.
type Proof uint8

const (
	// NoProof means that the response is complete as far as anyone can know.
	NoProof Proof = iota
	// SignOfLife means that the target must have outlived the response.
	SignOfLife
)

// RecordResumption records that the caller has received events from an earlier request.
func (p *Progress) RecordResumption() { p.hasEvents = true }

// RecordRelayed records a part of a stream that was relayed to the caller. Comments are no
// events.
func (p *Progress) RecordRelayed(part []byte) {
	if hasFields(part) {
		p.owed, p.hasEvents = false, true
	}
}

// RecordPartial records the part of an event inside which a target has ended a stream. At
// least this event follows the ones that were relayed.
func (p *Progress) RecordPartial(part []byte) {
	if hasFields(part) {
		p.owed = true
	}
}

// hasFields reports whether a part of a stream has a line that is no comment.
func hasFields(part []byte) bool {
	for line := range bytes.Lines(part) {
		line = bytes.TrimSpace(line)
		if len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// Check returns what must be proved before the response counts as complete, or an error if it
// is not. A stream without any event is only complete if the caller has received the events
// before: a target that crashes may end its response like that, too.
func (p *Progress) Check(e End) (Proof, error) {
	switch {
	case e.HeadOnly:
		return NoProof, nil
	case e.Stream && (p.owed || !p.hasEvents):
		return NoProof, ErrIncomplete
	case e.Unframed && !e.TargetLeaves:
		return SignOfLife, nil
	}
	return NoProof, nil
}
