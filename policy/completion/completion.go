// Package completion decides whether a response is complete where its target has ended it,
// from what a host has learned in all attempts of the request. It does no I/O.
//
// Invariant: a stream is never complete while an event is owed to the caller.
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
}

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

// Check returns an error if the response is not complete. A stream without any event is only
// complete if the caller has received the events before: a target that crashes may end its
// response like that, too.
func (p *Progress) Check(e End) error {
	if e.Stream && !e.HeadOnly && (p.owed || !p.hasEvents) {
		return ErrIncomplete
	}
	return nil
}
