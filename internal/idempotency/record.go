package idempotency

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sequoiaroad/sequoiaroad/internal/platform"
	policy "github.com/sequoiaroad/sequoiaroad/policy/idempotency"
)

// maxWriteRounds bounds the commits of one write attempt; each further round follows a
// conflict with another writer of the row.
const maxWriteRounds = 3

// record is the outcome of an attempt that is to be written to its row.
type record struct {
	key      string
	row      policy.Row
	state    policy.State
	response *Response
	// unconfirmed is set for an attempt whose claim was not confirmed.
	unconfirmed bool
	// version is the row version of the claim, or of the row that an unconfirmed claim was
	// conditional on.
	version   uint64
	createdAt time.Time
	failures  int
	// prepared is set once the row has its final state and the response is in the row or in
	// the object store.
	prepared bool
	// readFirst is set after a write that had no response or met a conflict. The row is
	// then read before each further write.
	readFirst bool
}

// enqueue passes a record to the background writers. It does not block: the record keeps
// the open claim that Begin acquired, and pending has room for all of them.
func (p *PlatformRegistry) enqueue(r *record) {
	p.waitingRecords.Add(1)
	p.pending <- r
}

// Run writes records in the background and deletes expired ones until ctx ends.
func (p *PlatformRegistry) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for range p.options.RecordWriters {
		group.Go(func() error { return p.writeRecords(ctx) })
	}
	if p.options.Retention > 0 {
		c := &cleaner{registry: p}
		group.Go(func() error { return c.run(ctx) })
	}
	return group.Wait()
}

// Drain waits until all claims have ended and all records are written. Meanwhile new
// requests are refused.
func (p *PlatformRegistry) Drain(ctx context.Context) error {
	if err := p.openClaims.Acquire(ctx, p.options.MaxOpenClaims); err != nil {
		return errors.WithMessage(err, "drain open claims")
	}
	p.openClaims.Release(p.options.MaxOpenClaims)
	return nil
}

func (p *PlatformRegistry) writeRecords(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-p.pending:
			p.processRecord(ctx, r)
		}
	}
}

// processRecord makes one attempt to write a record. If it fails, the writer waits for the
// backoff time and queues the record again. The writer takes no other record meanwhile,
// since the usual cause, an outage of the store, makes all writes fail.
func (p *PlatformRegistry) processRecord(ctx context.Context, r *record) {
	err := p.write(ctx, r)
	if err == nil {
		p.waitingRecords.Add(-1)
		p.releaseClaim()
		return
	}
	if p.options.Clock().Sub(r.createdAt) > p.options.MaxRecordAge {
		p.options.Logger.Error("record dropped, the request stays claimed",
			"key", r.key, "attempt", r.row.AttemptID, "state", r.state, "error", err)
		p.waitingRecords.Add(-1)
		p.releaseClaim()
		return
	}
	timer := time.NewTimer(p.backoff(r.failures))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	r.failures++
	p.pending <- r
}

// backoff returns an exponential delay with jitter: between half of it and all of it.
func (p *PlatformRegistry) backoff(failures int) time.Duration {
	delay := p.options.RetryMaxDelay
	if exponential := p.options.RetryBaseDelay << min(failures, 30); exponential > 0 && exponential < delay {
		delay = exponential
	}
	return delay/2 + rand.N(delay/2+1)
}

// write writes a record within RecordTimeout. It also returns nil if the record was
// written before or is superseded.
func (p *PlatformRegistry) write(ctx context.Context, r *record) error {
	ctx, cancel := context.WithTimeout(ctx, p.options.RecordTimeout)
	defer cancel()
	if err := p.prepareRow(ctx, r); err != nil {
		return err
	}
	condition := r.version
	for range maxWriteRounds {
		if r.unconfirmed || r.readFirst {
			found, version, err := p.loadRow(ctx, r.key)
			if err != nil {
				return err
			}
			if decision := r.decide(found, version); decision != policy.Write {
				p.logSuperseded(r, decision)
				return nil
			}
			condition = version
		}
		err := p.commitRow(ctx, r.key, r.row, condition)
		if err == nil {
			return nil
		}
		if !errors.Is(err, platform.ErrUnavailable) {
			r.readFirst = true
		}
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	return errors.New("the row changed repeatedly")
}

func (r *record) decide(found *policy.Row, version uint64) policy.WriteDecision {
	if r.unconfirmed {
		return policy.DecideRelease(found, version, r.row.AttemptID, r.version)
	}
	return policy.DecideFinish(found, r.row.AttemptID, r.state)
}

func (p *PlatformRegistry) logSuperseded(r *record, decision policy.WriteDecision) {
	if decision == policy.Superseded && !r.unconfirmed {
		p.options.Logger.Warn("record superseded by another write",
			"key", r.key, "attempt", r.row.AttemptID, "state", r.state)
	}
}

// prepareRow sets the final state of the row and stores the response. The row refers to an
// object only after the object was stored.
func (p *PlatformRegistry) prepareRow(ctx context.Context, r *record) error {
	if r.prepared {
		return nil
	}
	r.row.State, r.row.EndedAt = r.state, p.options.WallClock().UTC()
	if r.response != nil {
		if err := p.storeResponse(ctx, r.key, &r.row, r.response); err != nil {
			return err
		}
	}
	r.response, r.prepared = nil, true
	return nil
}

func (p *PlatformRegistry) commitRow(ctx context.Context, key string, row policy.Row, version uint64) error {
	value, err := json.Marshal(row)
	if err != nil {
		return errors.WithMessage(err, "encode row")
	}
	_, err = p.options.Store.Commit(ctx,
		[]platform.Condition{{Table: Table, Key: key, Version: version}},
		[]platform.Write{{Table: Table, Key: key, Value: value}})
	return err
}
