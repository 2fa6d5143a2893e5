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
	// ErrRevisionConflict means that another change was accepted first, or that the
	// expected revision is not the current one. Nothing was changed.
	ErrRevisionConflict = errors.New("the configuration has been changed by another revision")
	// ErrNoMajority means that too few members acknowledged the change. Nothing was
	// changed.
	ErrNoMajority = errors.New("no majority of the members acknowledged the change")
	// ErrNotAccepted means that the change withdraws keys and the store has not accepted
	// it yet. The hosts that received the withdrawal already reject the keys, and members
	// retry the change.
	ErrNotAccepted = errors.New("the withdrawal is in force but not accepted yet")
)

// proposal is a change that is being committed.
type proposal struct {
	base    *config.Document
	baseRow platform.Row
	next    *config.Document
	// encoded is the encoding of next.
	encoded    []byte
	attempt    freshness.Attempt
	withdrawn  []withdrawnKey
	forced     bool
	acceptedAt time.Time
}

// Propose implements Proposer. If ctx ends after the change was accepted, the status
// lists the hosts that have neither confirmed it nor expired as pending.
func (f *Fleet) Propose(ctx context.Context, mutate config.Mutation, opts ProposeOptions) (PropagationStatus, error) {
	p, err := f.commit(ctx, mutate, opts)
	if err != nil {
		return PropagationStatus{}, err
	}
	return f.awaitPropagation(ctx, p), nil
}

// commit runs the commit protocol for one change: it pushes the change to the members,
// and writes it to the store once a majority has acknowledged it.
func (f *Fleet) commit(ctx context.Context, mutate config.Mutation, opts ProposeOptions) (*proposal, error) {
	select {
	case f.proposalSemaphore <- struct{}{}:
		defer func() { <-f.proposalSemaphore }()
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "wait for an earlier change of this host")
	}
	p, err := f.prepare(ctx, mutate, opts)
	if err != nil {
		return nil, err
	}
	acked, superseded := f.collectAcks(ctx, p)
	if superseded {
		f.broadcastAbort(ctx, p)
		return nil, errors.Wrapf(ErrRevisionConflict, "push revision %d", p.attempt.Revision)
	}
	if !acked && !opts.Force {
		f.broadcastAbort(ctx, p)
		return nil, errors.Wrapf(ErrNoMajority, "push revision %d", p.attempt.Revision)
	}
	// The end of ctx must not cancel the write, which would leave its outcome unknown.
	commitCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), commitTimeout)
	defer cancel()
	if err := f.writeRevision(commitCtx, p); err != nil {
		if !errors.Is(err, platform.ErrUnknownOutcome) {
			f.broadcastAbort(ctx, p)
		}
		return nil, err
	}
	p.acceptedAt = f.now()
	f.apply(p.next, "own change")
	return p, nil
}

// prepare reads the current revision and builds the next one. It sends withdrawals to all
// hosts immediately, even if the store cannot be read.
func (f *Fleet) prepare(ctx context.Context, mutate config.Mutation, opts ProposeOptions) (*proposal, error) {
	readCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	row, base, readErr := f.readCurrent(readCtx)
	if readErr != nil {
		idx := f.index.Load()
		if idx == nil {
			return nil, readErr
		}
		base = idx.Document()
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
		withdrawn: withdrawnKeys(base, next)}
	if p.encoded, err = next.Encode(); err != nil {
		return nil, err
	}
	if len(p.encoded) > maxDocumentBytes {
		return nil, errors.Errorf("the configuration would have %d bytes, at most %d are allowed", len(p.encoded), maxDocumentBytes)
	}
	f.broadcastWithdrawals(ctx, p.withdrawn)
	if readErr != nil && len(p.withdrawn) > 0 {
		return nil, errors.Wrapf(ErrNotAccepted, "%v", readErr)
	}
	return p, readErr
}

// maxDocumentBytes bounds an encoded document. The rest of a frame is reserved for the
// other fields of a push.
const maxDocumentBytes = wire.MaxBodyBytes - 1<<20

// withdrawnKeys returns the keys of base that the change to next withdraws.
func withdrawnKeys(base, next *config.Document) []withdrawnKey {
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

// broadcastWithdrawals makes withdrawals effective on this host and sends them to all
// hosts without waiting for the replies.
func (f *Fleet) broadcastWithdrawals(ctx context.Context, keys []withdrawnKey) {
	if len(keys) == 0 {
		return
	}
	f.recordWithdrawals(keys)
	f.broadcast(ctx, f.peerAddresses(), &withdrawalNotice{Keys: keys}, nil)
}

// broadcast sends a message to addresses in the background. If onReply is not nil, the
// replies are of type probeReply, and each is passed to it.
func (f *Fleet) broadcast(ctx context.Context, addresses []string, message wire.Message, onReply func(address string, reply *probeReply, sentAt time.Time)) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), broadcastTimeout)
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	go func() {
		defer cancel()
		for _, address := range addresses {
			group.Go(func() error {
				f.send(ctx, address, message, onReply)
				return nil
			})
		}
		_ = group.Wait()
	}()
}

func (f *Fleet) send(ctx context.Context, address string, message wire.Message, onReply func(string, *probeReply, time.Time)) {
	sentAt := f.now()
	var err error
	if onReply == nil {
		err = f.options.Caller.Call(ctx, address, message, &wire.Ack{})
	} else {
		reply := &probeReply{}
		if err = f.options.Caller.Call(ctx, address, message, reply); err == nil {
			onReply(address, reply, sentAt)
		}
	}
	if err != nil {
		f.log.Debug("failed to send message", "type", message.WireType(), "address", address, "error", err)
	}
}

// broadcastAbort aborts the attempt on this host and notifies the members of the replaced
// revision.
func (f *Fleet) broadcastAbort(ctx context.Context, p *proposal) {
	f.abortAttempt(p.attempt.ID)
	var addresses []string
	for _, m := range p.base.Members {
		if m.HostID != f.self.HostID {
			addresses = append(addresses, m.InnerAddress)
		}
	}
	f.broadcast(ctx, addresses, &abortNotice{AttemptID: p.attempt.ID}, nil)
}

// memberReply is the reply of a listed member to a push.
type memberReply struct {
	from freshness.Member
	pushReply
}

// collectAcks pushes the attempt to the members of the replaced revision and reports
// whether a majority acknowledged it. superseded is true if a member has already applied
// this or a later revision. Since this attempt has not been written yet, the applied
// revision is another attempt, and this one can't be accepted any more.
func (f *Fleet) collectAcks(ctx context.Context, p *proposal) (acked, superseded bool) {
	quorum := freshness.NewQuorum(toFreshnessMembers(p.base))
	if quorum.Reached() {
		return true, false
	}
	pushCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), pushTimeout)
	replies := make(chan memberReply, len(p.base.Members))
	var group errgroup.Group
	for _, m := range p.base.Members {
		group.Go(func() error {
			if reply := f.pushTo(pushCtx, p, m); reply != nil {
				replies <- memberReply{toFreshnessMember(m), *reply}
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
		case r, ok := <-replies:
			if !ok {
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

// pushTo pushes the attempt to a member and returns its reply; nil if there was none.
func (f *Fleet) pushTo(ctx context.Context, p *proposal, m config.Member) *pushReply {
	message := &pushRequest{Attempt: p.attempt, Document: p.encoded, Listed: toFreshnessMember(m), Withdrawals: p.withdrawn}
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

// historyKey returns the row key of a revision. Keys sort in the order of revisions.
func historyKey(revision uint64) string { return fmt.Sprintf("%s%020d", historyPrefix, revision) }

// writeRevision writes the revision to the store. After a lost response it reads the
// revision back, and repeats the same conditional write if the revision does not exist
// yet; the condition lets at most one of the writes take effect. Repeating the write
// without reading is not enough, since its responses may be lost again. writeRevision
// returns ErrUnknownOutcome if the outcome is still unknown when ctx ends.
func (f *Fleet) writeRevision(ctx context.Context, p *proposal) error {
	conditions := []platform.Condition{
		{Table: configTable, Key: currentKey, Version: p.baseRow.Version},
		{Table: configTable, Key: historyKey(p.next.Revision)},
	}
	writes := []platform.Write{
		{Table: configTable, Key: currentKey, Value: p.encoded},
		{Table: configTable, Key: historyKey(p.next.Revision), Value: p.encoded},
	}
	responseLost := false
	for {
		_, err := f.options.Store.Commit(ctx, conditions, writes)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, platform.ErrConflict):
			return f.resolveConflict(ctx, p, responseLost)
		case errors.Is(err, platform.ErrUnavailable) && !responseLost:
			return errors.Wrapf(err, "write revision %d", p.next.Revision)
		}
		responseLost = true
		f.log.Warn("write of a revision has an unknown outcome; reading it back", "revision", p.next.Revision, "error", err)
		if acceptedID, readErr := f.acceptedAttemptID(ctx, p.next.Revision); readErr == nil {
			if acceptedID == p.attempt.ID {
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

// commitRetryInterval is the mean time between the repeated writes and reads of a proposer
// whose write has an unknown outcome.
const commitRetryInterval = 100 * time.Millisecond

// resolveConflict handles a write that failed with a conflict: it reads back which
// attempt was accepted as the revision and returns nil if it is this one. If no response
// was lost, no write of this attempt can have taken effect.
func (f *Fleet) resolveConflict(ctx context.Context, p *proposal, responseLost bool) error {
	conflict := errors.Wrapf(ErrRevisionConflict, "write revision %d", p.next.Revision)
	for {
		acceptedID, err := f.acceptedAttemptID(ctx, p.next.Revision)
		if err == nil {
			if acceptedID == p.attempt.ID {
				return nil
			}
			return conflict
		}
		if errors.Is(err, platform.ErrNotFound) || !responseLost {
			return conflict
		}
		f.sleepJittered(ctx, commitRetryInterval, nil)
		if ctx.Err() != nil {
			return errors.Wrapf(platform.ErrUnknownOutcome, "read back revision %d: %v", p.next.Revision, err)
		}
	}
}

// acceptedAttemptID reads the ID of the attempt that was accepted as a revision.
func (f *Fleet) acceptedAttemptID(ctx context.Context, revision uint64) (string, error) {
	row, err := f.options.Store.Get(ctx, configTable, historyKey(revision))
	if err != nil {
		return "", err
	}
	d, err := config.Decode(row.Value)
	if err != nil {
		return "", errors.Wrapf(err, "revision %d", revision)
	}
	return d.Change.AttemptID, nil
}
