package idempotency

import (
	"context"
	"sync"
	"time"

	"github.com/sequoiaroad/sequoiaroad/internal/refusal"
	policy "github.com/sequoiaroad/sequoiaroad/policy/idempotency"
)

// firstRecordTimeout bounds the first try to write a record, for which the caller of
// the request waits.
const firstRecordTimeout = time.Second

// claim is a confirmed claim. It occupies one of the registry's open claims until
// its record is written, so its user must end it by Complete, NotRun or Unknown.
type claim struct {
	service *PlatformRegistry
	attempt *attempt

	mu       sync.Mutex
	gate     *policy.Gate
	finished bool
}

// AllowSend implements Claim. A refusal is final: it also records not_run.
func (c *claim) AllowSend(deadline time.Time) error {
	fresh := c.service.options.Fresh()
	c.mu.Lock()
	// The clock is read last, so that a pause before this line is seen.
	verdict := c.gate.AllowSend(c.service.options.Clock(), deadline, fresh)
	c.mu.Unlock()
	var refused *refusal.Error
	switch verdict {
	case policy.Allowed:
		return nil
	case policy.AlreadySent:
		return refusal.New(refusal.OutcomeUnknown, "the request was already sent").WithExecution(refusal.ExecutionUnknown)
	case policy.Closed:
		return refusal.New(refusal.TargetUnavailable, "the claim was given up before the request was sent")
	case policy.DeadlinePassed:
		refused = refusal.New(refusal.DeadlineUnreachable, "the deadline passed before the request was sent")
	case policy.ClaimTooOld:
		refused = refusal.New(refusal.DeadlineUnreachable, "the claim is too old to send the request")
	default:
		refused = refusal.New(refusal.HostNotFresh, "the host's configuration is not fresh")
	}
	if r := c.finish(policy.NotRun, nil); r != nil {
		c.service.enqueue(r)
	}
	return refused
}

// Complete implements Claim.
func (c *claim) Complete(ctx context.Context, a Response) { c.end(ctx, policy.Done, &a) }

// NotRun implements Claim.
func (c *claim) NotRun(ctx context.Context) { c.end(ctx, policy.NotRun, nil) }

// Unknown implements Claim.
func (c *claim) Unknown(ctx context.Context) { c.end(ctx, policy.Unknown, nil) }

// end writes the record at once if it can, else in the background.
func (c *claim) end(ctx context.Context, to policy.State, answer *Response) {
	if r := c.finish(to, answer); r != nil {
		// A caller that went away must not keep its record from being written.
		tryCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), firstRecordTimeout)
		defer cancel()
		if err := c.service.try(tryCtx, r); err != nil {
			c.service.options.Logger.Warn("record is written in the background",
				"key", r.key, "attempt", r.row.AttemptID, "state", r.to, "error", err)
			c.service.enqueue(r)
			return
		}
		c.service.release()
	}
}

// finish ends the right to send and returns the record to write; nil if the
// claim was ended before.
func (c *claim) finish(to policy.State, answer *Response) *record {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate.Close()
	if c.finished {
		return nil
	}
	c.finished = true
	return &record{
		key: c.attempt.key, row: c.attempt.row, to: to, answer: answer,
		version: c.attempt.version, since: c.service.options.Clock(),
	}
}
