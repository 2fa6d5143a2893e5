package dispatch

import (
	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/target"
)

// errGap says that a stream skipped tokens; the attempt is treated as broken.
var errGap = errors.New("the stream skipped tokens")

// assembler puts the token events of successive attempts into one sequence without
// gap or repeat. The event with offset n carries token n, counted from 0. Events of
// any attempt but the current one are dropped, so that a late or crossed event
// can't enter the sequence.
type assembler struct {
	attempt  int
	next     int
	text     []byte
	finished bool
}

// begin makes an attempt the current one.
func (a *assembler) begin(attempt int) { a.attempt = attempt }

// accept reports whether the event is the next token. It returns errGap if tokens
// are missing before it.
func (a *assembler) accept(attempt int, e target.TokenEvent) (bool, error) {
	if attempt != a.attempt || a.finished || e.Offset < a.next {
		return false, nil
	}
	if e.Offset > a.next {
		return false, errors.Wrapf(errGap, "token %d after %d", e.Offset, a.next)
	}
	a.next++
	a.text = append(a.text, e.Text...)
	a.finished = e.FinishReason != ""
	return true, nil
}
