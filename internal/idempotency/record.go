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

// maxRecordRounds bounds the writes in one try; each further round follows a
// conflict with another writer of the row.
const maxRecordRounds = 3

// record is the final state of an attempt that is to be written.
type record struct {
	key    string
	row    policy.Row
	to     policy.State
	answer *Response
	// release is set for an attempt whose claim was not confirmed. version is then
	// the version that the claim was conditional on, else that of the claim.
	release bool
	version uint64
	since   time.Time
	tries   int
	// stored is set once the answer is in the row or the object store.
	stored bool
	// reread is set once a write had no answer or met a conflict.
	reread bool
}

// enqueue hands a record to the background writers. The record keeps the unit of
// open that its claim took, so there is always room.
func (s *PlatformRegistry) enqueue(r *record) {
	s.waiting.Add(1)
	s.pending <- r
}

// Run writes records in the background and deletes expired ones until ctx ends.
func (s *PlatformRegistry) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for range s.options.Workers {
		group.Go(func() error { return s.work(ctx) })
	}
	if s.options.Retention > 0 {
		c := &cleaner{service: s}
		group.Go(func() error { return c.run(ctx) })
	}
	return group.Wait()
}

// Drain waits until all claims ended and all records are written. New requests
// are refused meanwhile.
func (s *PlatformRegistry) Drain(ctx context.Context) error {
	if err := s.open.Acquire(ctx, s.options.MaxOpen); err != nil {
		return errors.WithMessage(err, "drain open claims")
	}
	s.open.Release(s.options.MaxOpen)
	return nil
}

func (s *PlatformRegistry) work(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-s.pending:
			s.retry(ctx, r)
		}
	}
}

// retry tries once and puts the record back if it failed. The pause holds up the
// worker on purpose: what fails one record, an outage, fails the others too.
func (s *PlatformRegistry) retry(ctx context.Context, r *record) {
	err := s.try(ctx, r)
	if err == nil {
		s.waiting.Add(-1)
		s.release()
		return
	}
	if s.options.Clock().Sub(r.since) > s.options.RecordLifetime {
		s.options.Logger.Error("record is dropped; the request stays claimed",
			"key", r.key, "attempt", r.row.AttemptID, "state", r.to, "error", err)
		s.waiting.Add(-1)
		s.release()
		return
	}
	timer := time.NewTimer(s.pause(r.tries))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	r.tries++
	s.pending <- r
}

// pause is exponential with jitter between half and the whole.
func (s *PlatformRegistry) pause(tries int) time.Duration {
	ceiling := s.options.RetryMax
	if shifted := s.options.RetryBase << min(tries, 30); shifted > 0 && shifted < ceiling {
		ceiling = shifted
	}
	return ceiling/2 + rand.N(ceiling/2+1)
}

// try writes a record, within RecordTimeout. It returns nil also if the record is
// superseded.
func (s *PlatformRegistry) try(ctx context.Context, r *record) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.RecordTimeout)
	defer cancel()
	if err := s.prepare(ctx, r); err != nil {
		return err
	}
	condition := r.version
	for range maxRecordRounds {
		if r.release || r.reread {
			found, version, err := s.load(ctx, r.key)
			if err != nil {
				return err
			}
			if step := r.step(found, version); step != policy.Write {
				s.logSuperseded(r, step)
				return nil
			}
			condition = version
		}
		err := s.put(ctx, r.key, r.row, condition)
		if err == nil {
			return nil
		}
		if !errors.Is(err, platform.ErrUnavailable) {
			r.reread = true
		}
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	return errors.New("the row changed repeatedly")
}

func (r *record) step(found *policy.Row, version uint64) policy.WriteDecision {
	if r.release {
		return policy.DecideRelease(found, version, r.row.AttemptID, r.version)
	}
	return policy.DecideFinish(found, r.row.AttemptID, r.to)
}

func (s *PlatformRegistry) logSuperseded(r *record, step policy.WriteDecision) {
	if step == policy.Superseded && !r.release {
		s.options.Logger.Warn("record is superseded",
			"key", r.key, "attempt", r.row.AttemptID, "state", r.to)
	}
}

// prepare stores the answer. The row names an object only after it was stored.
func (s *PlatformRegistry) prepare(ctx context.Context, r *record) error {
	if r.stored {
		return nil
	}
	r.row.State, r.row.EndedAt = r.to, s.options.WallClock().UTC()
	if r.answer != nil {
		if err := s.storeAnswer(ctx, r.key, &r.row, r.answer); err != nil {
			return err
		}
	}
	r.answer, r.stored = nil, true
	return nil
}

func (s *PlatformRegistry) put(ctx context.Context, key string, row policy.Row, version uint64) error {
	value, err := json.Marshal(row)
	if err != nil {
		return errors.WithMessage(err, "encode row")
	}
	_, err = s.options.Store.Commit(ctx,
		[]platform.Condition{{Table: Table, Key: key, Version: version}},
		[]platform.Write{{Table: Table, Key: key, Value: value}})
	return err
}
