package fleet

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/wire"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/freshness"
)

// maxPendingDocuments bounds the documents of acknowledged pushes that are kept, so that
// an accepted attempt can be applied without a fetch.
const maxPendingDocuments = 4

func (f *Fleet) registerHandlers() {
	f.options.Registry.Handle(wire.TypeProbe, f.handleProbe)
	f.options.Registry.Handle(wire.TypePush, f.handlePush)
	f.options.Registry.Handle(wire.TypeCommitNotice, f.handleCommitNotice)
	f.options.Registry.Handle(wire.TypeAbort, f.handleAbort)
	f.options.Registry.Handle(wire.TypeWithdrawal, f.handleWithdrawal)
	f.options.Registry.Handle(wire.TypeFetch, f.handleFetch)
	f.options.Registry.Handle(wire.TypeSnapshotRequest, f.handleSnapshot)
}

func (f *Fleet) handleProbe(_ context.Context, from wire.Peer, request wire.Request) (wire.Message, error) {
	message := &probeRequest{}
	if err := request.Decode(message); err != nil {
		return nil, err
	}
	f.recordProbe(message, from)
	reply := f.selfReply()
	if message.Gossip != nil {
		reply.Gossip = f.handleGossipRequest(message.Gossip, from)
	}
	reply.omitKnown(message.Known)
	return reply, nil
}

func (f *Fleet) handlePush(_ context.Context, from wire.Peer, request wire.Request) (wire.Message, error) {
	message := &pushRequest{}
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

// acknowledge records a push and acknowledges it if this process may do so for the
// listed member.
func (f *Fleet) acknowledge(message *pushRequest, d *config.Document) *pushReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	reply := &pushReply{Applied: f.state.Applied()}
	if !f.mayAcknowledge(message.Listed) {
		return reply
	}
	// Withdrawals take effect even if the push is not acknowledged.
	recorded := f.recordWithdrawalsLocked(message.Withdrawals) && len(message.Withdrawals) == len(d.Change.WithdrawnKeyIDs)
	enforced := recorded && d.Change.OnlyWithdrawals
	reply.Acked = f.state.RecordPush(message.Attempt, enforced, f.now())
	if reply.Acked {
		f.pendingDocuments = append(f.pendingDocuments, d)
		if len(f.pendingDocuments) > maxPendingDocuments {
			f.pendingDocuments = f.pendingDocuments[1:]
		}
	}
	return reply
}

// mayAcknowledge reports whether this process may acknowledge for a listed member, which
// must be this process or an earlier process of the same host, which has ended.
func (f *Fleet) mayAcknowledge(listed freshness.Member) bool {
	if listed.HostID != f.self.HostID {
		return false
	}
	return listed.Incarnation == f.self.Incarnation || f.isOlderIncarnation(listed.Incarnation)
}

// handleCommitNotice applies an accepted attempt. If this host does not hold the document
// of the attempt, it fetches the document from the inner address that the sender stated
// in the handshake.
func (f *Fleet) handleCommitNotice(ctx context.Context, from wire.Peer, request wire.Request) (wire.Message, error) {
	message := &commitNotice{}
	if err := request.Decode(message); err != nil {
		return nil, err
	}
	if !f.applyPending(message.Attempt) && f.appliedRevision() < message.Attempt.Revision {
		f.fetchFrom(ctx, from.Address)
	}
	return f.selfReply(), nil
}

// applyPending applies the kept document of an accepted attempt. It returns false if
// there is none or it is not newer than the applied one.
func (f *Fleet) applyPending(attempt freshness.Attempt) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.pendingDocuments {
		if d.Revision == attempt.Revision && d.Change.AttemptID == attempt.ID {
			return f.applyLocked(d, "committed message")
		}
	}
	return false
}

func (f *Fleet) handleAbort(_ context.Context, _ wire.Peer, request wire.Request) (wire.Message, error) {
	message := &abortNotice{}
	if err := request.Decode(message); err != nil {
		return nil, err
	}
	f.abortAttempt(message.AttemptID)
	return &wire.Ack{}, nil
}

func (f *Fleet) abortAttempt(attemptID string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.Abort(attemptID)
}

func (f *Fleet) handleWithdrawal(_ context.Context, from wire.Peer, request wire.Request) (wire.Message, error) {
	message := &withdrawalNotice{}
	if err := request.Decode(message); err != nil {
		return nil, err
	}
	if !f.recordWithdrawals(message.Keys) {
		return nil, errors.Errorf("withdrawal from %s: too many withdrawals wait to be accepted", from.HostID)
	}
	return &wire.Ack{}, nil
}

func (f *Fleet) handleFetch(_ context.Context, _ wire.Peer, request wire.Request) (wire.Message, error) {
	message := &fetchRequest{}
	if err := request.Decode(message); err != nil {
		return nil, err
	}
	idx := f.index.Load()
	if idx == nil || idx.Document().Revision <= message.Above {
		return &fetchReply{}, nil
	}
	encoded, err := f.encodeDocument(idx)
	return &fetchReply{Document: encoded}, err
}

// documentCache caches the encoding of the applied document, because every non-member
// fetches the same document after a change.
type documentCache struct {
	mu    sync.Mutex
	index *config.Index
	data  []byte
}

// encodeDocument returns the cached encoding of the document of idx.
func (f *Fleet) encodeDocument(idx *config.Index) ([]byte, error) {
	cache := &f.documentCache
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if cache.index != idx {
		data, err := idx.Document().Encode()
		if err != nil {
			return nil, err
		}
		cache.index, cache.data = idx, data
	}
	return cache.data, nil
}
