package idempotency

import (
	"context"
	"sync"
	"time"

	"github.com/sequoiaroad/sequoiaroad/internal/refusal"
	policy "github.com/sequoiaroad/sequoiaroad/policy/idempotency"
)

// firstWriteTimeout bounds the first attempt to write a record, for which the caller of
// the request waits.
const firstWriteTimeout = time.Second

// claim is a confirmed claim. It counts as one of the registry's open claims until its
// record is written, so its user must end it with Complete, MarkNotExecuted or
// MarkUnknown.
type claim struct {
	registry *PlatformRegistry
	attempt  *attempt

	mu    sync.Mutex
	gate  *policy.Gate
	ended bool
}

// AllowSend implements Claim. The first refusal closes the claim and records not_run.
func (c *claim) AllowSend(deadline time.Time) error {
	fresh := c.registry.options.Fresh()
	c.mu.Lock()
	// The clock is read last, so that a pause of the process before this line counts
	// towards the claim's age.
	decision := c.gate.AllowSend(c.registry.options.Clock(), deadline, fresh)
	c.mu.Unlock()
	var refused *refusal.Error
	switch decision {
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
	if r := c.close(policy.NotExecuted, nil); r != nil {
		c.registry.enqueue(r)
	}
	return refused
}

// Complete implements Claim.
func (c *claim) Complete(ctx context.Context, response Response) {
	c.recordOutcome(ctx, policy.Done, &response)
}

// MarkNotExecuted implements Claim.
func (c *claim) MarkNotExecuted(ctx context.Context) { c.recordOutcome(ctx, policy.NotExecuted, nil) }

// MarkUnknown implements Claim.
func (c *claim) MarkUnknown(ctx context.Context) { c.recordOutcome(ctx, policy.Unknown, nil) }

// recordOutcome writes the record, or leaves it to the background writers if the first
// attempt fails.
func (c *claim) recordOutcome(ctx context.Context, state policy.State, response *Response) {
	if r := c.close(state, response); r != nil {
		// The record must be written even if the caller has disconnected.
		writeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), firstWriteTimeout)
		defer cancel()
		if err := c.registry.write(writeCtx, r); err != nil {
			c.registry.options.Logger.Warn("record not written, retrying in the background",
				"key", r.key, "attempt", r.row.AttemptID, "state", r.state, "error", err)
			c.registry.enqueue(r)
			return
		}
		c.registry.releaseClaim()
	}
}

// close revokes the right to send and returns the record to write, or nil if the claim
// has ended already.
func (c *claim) close(state policy.State, response *Response) *record {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate.Close()
	if c.ended {
		return nil
	}
	c.ended = true
	return &record{
		key: c.attempt.key, row: c.attempt.row, state: state, response: response,
		version: c.attempt.claimedVersion, createdAt: c.registry.options.Clock(),
	}
}
