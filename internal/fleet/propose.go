package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/internal/wire"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/freshness"
)

// Errors of proposals.
var (
	// ErrRevisionConflict: another change was accepted first, or the expected
	// revision is not the current one. Nothing was changed.
	ErrRevisionConflict = errors.New("the configuration has been changed by another revision")
	// ErrNoMajority: too few members acknowledged the change. Nothing was changed.
	ErrNoMajority = errors.New("no majority of the members acknowledged the change")
	// ErrNotAccepted: the change withdraws keys, which is in force on the hosts that
	// heard it, but the store has not accepted it yet. Hosts retry it.
	ErrNotAccepted = errors.New("the withdrawal is in force but not accepted yet")
)

// proposal is a change on its way to acceptance.
type proposal struct {
	base       *config.Document
	baseRow    platform.Row
	next       *config.Document
	encoded    []byte
	attempt    freshness.Attempt
	withdrawn  []withdrawnKey
	forced     bool
	acceptedAt time.Time
}

// Propose implements Proposer. If ctx ends after the acceptance, the report lists
// the hosts that have not confirmed as pending.
func (f *Fleet) Propose(ctx context.Context, mutate config.Mutation, opts ProposeOptions) (PropagationStatus, error) {
	p, err := f.commit(ctx, mutate, opts)
	if err != nil {
		return PropagationStatus{}, err
	}
	return f.awaitInForce(ctx, p), nil
}

// commit performs the commit protocol for one change.
func (f *Fleet) commit(ctx context.Context, mutate config.Mutation, opts ProposeOptions) (*proposal, error) {
	select {
	case f.proposing <- struct{}{}:
		defer func() { <-f.proposing }()
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "wait for an earlier change of this host")
	}
	p, err := f.prepare(ctx, mutate, opts)
	if err != nil {
		return nil, err
	}
	acked, superseded := f.collectAcks(ctx, p)
	if superseded {
		f.spreadAbort(ctx, p)
		return nil, errors.Wrapf(ErrRevisionConflict, "push revision %d", p.attempt.Revision)
	}
	if !acked && !opts.Force {
		f.spreadAbort(ctx, p)
		return nil, errors.Wrapf(ErrNoMajority, "push revision %d", p.attempt.Revision)
	}
	// The caller's deadline must not leave the outcome of the write unknown.
	commitCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), commitTimeout)
	defer cancel()
	if err := f.writeRevision(commitCtx, p); err != nil {
		if !errors.Is(err, platform.ErrUnknownOutcome) {
			f.spreadAbort(ctx, p)
		}
		return nil, err
	}
	p.acceptedAt = f.now()
	f.apply(p.next, "own change")
	return p, nil
}

// prepare reads the current revision and builds the next one. Withdrawals are sent
// to all hosts at once, even if the store cannot be read.
func (f *Fleet) prepare(ctx context.Context, mutate config.Mutation, opts ProposeOptions) (*proposal, error) {
	readCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	row, base, readErr := f.readCurrent(readCtx)
	if readErr != nil {
		x := f.index.Load()
		if x == nil {
			return nil, readErr
		}
		base = x.Document()
	}
	if opts.ExpectedRevision != 0 && base.Revision != opts.ExpectedRevision {
		return nil, errors.Wrapf(ErrRevisionConflict, "expected revision %d, current is %d", opts.ExpectedRevision, base.Revision)
	}
	attemptID := uuid.NewString()
	next, err := base.Next(mutate, config.ChangeRecord{
		Operator: opts.Operator, Summary: opts.Summary, At: time.Now().UTC(), AttemptID: attemptID,
	})
	if err != nil {
		return nil, err
	}
	p := &proposal{base: base, baseRow: row, next: next, forced: opts.Force,
		attempt:   freshness.Attempt{Revision: next.Revision, ID: attemptID},
		withdrawn: withdrawnBy(base, next)}
	if p.encoded, err = next.Encode(); err != nil {
		return nil, err
	}
	if len(p.encoded) > maxDocumentBytes {
		return nil, errors.Errorf("the configuration would have %d bytes, at most %d are allowed", len(p.encoded), maxDocumentBytes)
	}
	f.spreadWithdrawals(ctx, p.withdrawn)
	if readErr != nil && len(p.withdrawn) > 0 {
		return nil, errors.Wrapf(ErrNotAccepted, "%v", readErr)
	}
	return p, readErr
}

// maxDocumentBytes leaves room in a frame for the other fields of a push.
const maxDocumentBytes = wire.MaxBodyBytes - 1<<20

func withdrawnBy(base, next *config.Document) []withdrawnKey {
	ids := map[string]bool{}
	for _, id := range next.Change.WithdrawnKeyIDs {
		ids[id] = true
	}
	var keys []withdrawnKey
	for _, k := range base.ClientKeys {
		if ids[k.ID] {
			keys = append(keys, withdrawnKey{KeyID: k.ID, Hash: k.Hash, Revision: next.Revision})
		}
	}
	return keys
}

// spreadWithdrawals puts withdrawals in force here and sends them to all hosts
// without waiting for the answers.
func (f *Fleet) spreadWithdrawals(ctx context.Context, keys []withdrawnKey) {
	if len(keys) == 0 {
		return
	}
	f.hear(keys)
	f.spread(ctx, f.peerAddresses(), &withdrawal{Keys: keys}, nil)
}

// spread sends a message to addresses in the background and passes each answer to
// done, which may be nil.
func (f *Fleet) spread(ctx context.Context, addresses []string, message wire.Message, done func(address string, reply *probeReply, sentAt time.Time)) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), spreadTimeout)
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	go func() {
		defer cancel()
		for _, address := range addresses {
			group.Go(func() error {
				f.sendOne(ctx, address, message, done)
				return nil
			})
		}
		_ = group.Wait()
	}()
}

func (f *Fleet) sendOne(ctx context.Context, address string, message wire.Message, done func(string, *probeReply, time.Time)) {
	sentAt := f.now()
	var err error
	if done == nil {
		err = f.options.Caller.Call(ctx, address, message, &wire.Ack{})
	} else {
		reply := &probeReply{}
		if err = f.options.Caller.Call(ctx, address, message, reply); err == nil {
			done(address, reply, sentAt)
		}
	}
	if err != nil {
		f.log.Debug("message failed", "type", message.WireType(), "address", address, "error", err)
	}
}

func (f *Fleet) spreadAbort(ctx context.Context, p *proposal) {
	f.dropAttempt(p.attempt.ID)
	var addresses []string
	for _, m := range p.base.Members {
		if m.HostID != f.self.HostID {
			addresses = append(addresses, m.InnerAddress)
		}
	}
	f.spread(ctx, addresses, &abort{AttemptID: p.attempt.ID}, nil)
}

// memberReply is the answer of a listed member to a push.
type memberReply struct {
	from freshness.Member
	pushReply
}

// collectAcks pushes the attempt to the members of the replaced revision and reports
// whether a majority acknowledged it. A member refuses a push of a revision that it
// has applied. The attempt was not written yet, so that the applied revision is
// another attempt: superseded is then true, and the attempt can't be accepted.
func (f *Fleet) collectAcks(ctx context.Context, p *proposal) (acked, superseded bool) {
	quorum := freshness.NewQuorum(membersOf(p.base))
	if quorum.Reached() {
		return true, false
	}
	pushCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), pushTimeout)
	replies := make(chan memberReply, len(p.base.Members))
	var group errgroup.Group
	for _, m := range p.base.Members {
		group.Go(func() error {
			if reply := f.pushTo(pushCtx, p, m); reply != nil {
				replies <- memberReply{memberOf(m), *reply}
			}
			return nil
		})
	}
	go func() {
		defer cancel()
		_ = group.Wait()
		close(replies)
	}()
	for {
		select {
		case <-ctx.Done():
			return false, false
		case r, open := <-replies:
			if !open {
				return false, false
			}
			if r.Applied >= p.attempt.Revision {
				return false, true
			}
			if !r.Acked {
				continue
			}
			if quorum.Ack(r.from); quorum.Reached() {
				return true, false
			}
		}
	}
}

// pushTo returns the member's answer, nil if there was none.
func (f *Fleet) pushTo(ctx context.Context, p *proposal, m config.Member) *pushReply {
	message := &push{Attempt: p.attempt, Document: p.encoded, Listed: memberOf(m), Withdrawals: p.withdrawn}
	if m.HostID == f.self.HostID {
		return f.acknowledge(message, p.next)
	}
	reply := &pushReply{}
	if err := f.options.Caller.Call(ctx, m.InnerAddress, message, reply); err != nil {
		f.log.Debug("push failed", "host", m.HostID, "revision", p.attempt.Revision, "error", err)
		return nil
	}
	return reply
}

func historyKey(revision uint64) string { return fmt.Sprintf("%s%020d", historyPrefix, revision) }

// writeRevision writes the revision to the store. After a lost answer it reads the
// revision back, and repeats the same conditional write if there is none yet; the
// condition lets at most one of the writes take effect. Repeating the write alone
// would not do, since its answers may go on being lost. ErrUnknownOutcome means that
// the outcome stayed unknown.
func (f *Fleet) writeRevision(ctx context.Context, p *proposal) error {
	conditions := []platform.Condition{
		{Table: tableConfig, Key: rowCurrent, Version: p.baseRow.Version},
		{Table: tableConfig, Key: historyKey(p.next.Revision)},
	}
	writes := []platform.Write{
		{Table: tableConfig, Key: rowCurrent, Value: p.encoded},
		{Table: tableConfig, Key: historyKey(p.next.Revision), Value: p.encoded},
	}
	lost := false
	for {
		_, err := f.options.Store.Commit(ctx, conditions, writes)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, platform.ErrConflict):
			return f.resolveConflict(ctx, p, lost)
		case errors.Is(err, platform.ErrUnavailable) && !lost:
			return errors.Wrapf(err, "write revision %d", p.next.Revision)
		}
		lost = true
		f.log.Warn("the outcome of a write is unknown, reading it back", "revision", p.next.Revision, "error", err)
		if accepted, readErr := f.acceptedAttempt(ctx, p.next.Revision); readErr == nil {
			if accepted == p.attempt.ID {
				return nil
			}
			return errors.Wrapf(ErrRevisionConflict, "write revision %d", p.next.Revision)
		}
		f.sleepJittered(ctx, commitRetryInterval, nil)
		if ctx.Err() != nil {
			return errors.Wrapf(platform.ErrUnknownOutcome, "write revision %d: %v", p.next.Revision, err)
		}
	}
}

// commitRetryInterval is the time between repeated writes and reads of a proposer.
const commitRetryInterval = 100 * time.Millisecond

// resolveConflict reads back which attempt was accepted as the revision. Without a
// lost answer no write of this attempt can have taken effect.
func (f *Fleet) resolveConflict(ctx context.Context, p *proposal, lost bool) error {
	conflict := errors.Wrapf(ErrRevisionConflict, "write revision %d", p.next.Revision)
	for {
		accepted, err := f.acceptedAttempt(ctx, p.next.Revision)
		if err == nil {
			if accepted == p.attempt.ID {
				return nil
			}
			return conflict
		}
		if errors.Is(err, platform.ErrNotFound) || !lost {
			return conflict
		}
		f.sleepJittered(ctx, commitRetryInterval, nil)
		if ctx.Err() != nil {
			return errors.Wrapf(platform.ErrUnknownOutcome, "read back revision %d: %v", p.next.Revision, err)
		}
	}
}

// acceptedAttempt reads which attempt was accepted as a revision.
func (f *Fleet) acceptedAttempt(ctx context.Context, revision uint64) (string, error) {
	row, err := f.options.Store.Get(ctx, tableConfig, historyKey(revision))
	if err != nil {
		return "", err
	}
	d, err := config.Decode(row.Value)
	if err != nil {
		return "", errors.Wrapf(err, "revision %d", revision)
	}
	return d.Change.AttemptID, nil
}
