package dispatch

import (
	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/target"
)

// errGap is returned when a stream skips tokens; the attempt then counts as failed.
var errGap = errors.New("the stream skipped tokens")

// assembler merges the token events of successive attempts into one sequence without
// gaps or duplicates. The event with offset n carries token n, counted from 0. Events
// of any attempt but the current one are dropped, so that a delayed event of an earlier
// attempt can't enter the sequence.
type assembler struct {
	attempt  int
	next     int
	text     []byte
	finished bool
}

// begin makes an attempt the current one.
func (a *assembler) begin(attempt int) { a.attempt = attempt }

// accept adds the event if it is the next token, and reports whether it was. It returns
// errGap if tokens before it are missing.
func (a *assembler) accept(attempt int, e target.TokenEvent) (bool, error) {
	if attempt != a.attempt || a.finished || e.Offset < a.next {
		return false, nil
	}
	if e.Offset > a.next {
		return false, errors.Wrapf(errGap, "received token %d, expected %d", e.Offset, a.next)
	}
	a.next++
	a.text = append(a.text, e.Text...)
	a.finished = e.FinishReason != ""
	return true, nil
}
