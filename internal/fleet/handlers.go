package fleet

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/wire"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/freshness"
)

// maxPendingDocs bounds the pending documents kept to apply a committed attempt
// without a fetch.
const maxPendingDocs = 4

func (f *Fleet) registerHandlers() {
	f.options.Registry.Handle(wire.TypeProbe, f.handleProbe)
	f.options.Registry.Handle(wire.TypePush, f.handlePush)
	f.options.Registry.Handle(wire.TypeCommitted, f.handleCommitted)
	f.options.Registry.Handle(wire.TypeAbort, f.handleAbort)
	f.options.Registry.Handle(wire.TypeWithdrawal, f.handleWithdrawal)
	f.options.Registry.Handle(wire.TypeFetch, f.handleFetch)
	f.options.Registry.Handle(wire.TypeSnapshotRequest, f.handleSnapshot)
}

func (f *Fleet) handleProbe(_ context.Context, from wire.Peer, request wire.Request) (wire.Message, error) {
	message := &probe{}
	if err := request.Decode(message); err != nil {
		return nil, err
	}
	f.noteProbe(message, from)
	reply := f.selfReply()
	if message.Gossip != nil {
		reply.Gossip = f.answerGossip(message.Gossip, from)
	}
	reply.shorten(message.Known)
	return reply, nil
}

func (f *Fleet) handlePush(_ context.Context, from wire.Peer, request wire.Request) (wire.Message, error) {
	message := &push{}
	if err := request.Decode(message); err != nil {
		return nil, err
	}
	d, err := config.Decode(message.Document)
	if err != nil {
		return nil, errors.Wrapf(err, "push from %s", from.HostID)
	}
	if d.Revision != message.Attempt.Revision || d.Change.AttemptID != message.Attempt.ID {
		return nil, errors.Errorf("push from %s: the attempt does not match the document", from.HostID)
	}
	return f.acknowledge(message, d), nil
}

// acknowledge records a push if it can be acknowledged for the listed member.
func (f *Fleet) acknowledge(message *push, d *config.Document) *pushReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	reply := &pushReply{Applied: f.state.Applied()}
	if !f.mayAcknowledge(message.Listed) {
		return reply
	}
	// Withdrawals take effect even if the push is refused.
	heard := f.hearLocked(message.Withdrawals) && len(message.Withdrawals) == len(d.Change.WithdrawnKeyIDs)
	enforced := heard && d.Change.OnlyWithdrawals
	reply.Acked = f.state.RecordPush(message.Attempt, enforced, f.now())
	if reply.Acked {
		f.pendingDocs = append(f.pendingDocs, d)
		if len(f.pendingDocs) > maxPendingDocs {
			f.pendingDocs = f.pendingDocs[1:]
		}
	}
	return reply
}

// mayAcknowledge reports whether this process stands for a listed member: it is that
// process, or a newer one on the same host, whose predecessor can no longer answer.
func (f *Fleet) mayAcknowledge(listed freshness.Member) bool {
	if listed.HostID != f.self.HostID {
		return false
	}
	return listed.Incarnation == f.self.Incarnation || f.isOlder(listed.Incarnation)
}

// handleCommitted applies an accepted attempt. Without its document it asks the
// sender, whose inner address is the one that it gave in the handshake.
func (f *Fleet) handleCommitted(ctx context.Context, from wire.Peer, request wire.Request) (wire.Message, error) {
	message := &committed{}
	if err := request.Decode(message); err != nil {
		return nil, err
	}
	if !f.applyPending(message.Attempt) && f.applied() < message.Attempt.Revision {
		f.fetchFrom(ctx, from.Address)
	}
	return f.selfReply(), nil
}

// applyPending applies the kept document of an accepted attempt.
func (f *Fleet) applyPending(attempt freshness.Attempt) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.pendingDocs {
		if d.Revision == attempt.Revision && d.Change.AttemptID == attempt.ID {
			return f.applyLocked(d, "committed message")
		}
	}
	return false
}

func (f *Fleet) handleAbort(_ context.Context, _ wire.Peer, request wire.Request) (wire.Message, error) {
	message := &abort{}
	if err := request.Decode(message); err != nil {
		return nil, err
	}
	f.dropAttempt(message.AttemptID)
	return &wire.Ack{}, nil
}

func (f *Fleet) dropAttempt(attemptID string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.Abort(attemptID)
}

func (f *Fleet) handleWithdrawal(_ context.Context, from wire.Peer, request wire.Request) (wire.Message, error) {
	message := &withdrawal{}
	if err := request.Decode(message); err != nil {
		return nil, err
	}
	if !f.hear(message.Keys) {
		return nil, errors.Errorf("withdrawal from %s: too many withdrawals wait to be accepted", from.HostID)
	}
	return &wire.Ack{}, nil
}

func (f *Fleet) handleFetch(_ context.Context, _ wire.Peer, request wire.Request) (wire.Message, error) {
	message := &fetch{}
	if err := request.Decode(message); err != nil {
		return nil, err
	}
	x := f.index.Load()
	if x == nil || x.Document().Revision <= message.Above {
		return &fetchReply{}, nil
	}
	encoded, err := f.encodedDocument(x)
	return &fetchReply{Document: encoded}, err
}

// encodedDocument is the encoding of an applied document, which is kept because every
// host that is no member fetches the same one after a change.
type encodedDocument struct {
	mu    sync.Mutex
	index *config.Index
	data  []byte
}

func (f *Fleet) encodedDocument(x *config.Index) ([]byte, error) {
	e := &f.encoded
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.index != x {
		data, err := x.Document().Encode()
		if err != nil {
			return nil, err
		}
		e.index, e.data = x, data
	}
	return e.data, nil
}
