package fleet

import (
	"bytes"
	"context"
	"crypto/sha256"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/wire"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

const (
	// snapshotPieceBytes bounds one message, so that control messages on the same
	// connection wait little.
	snapshotPieceBytes = 128 << 10
	// maxSnapshotBytes bounds the snapshot of one part of the host.
	maxSnapshotBytes = 64 << 20
	// snapshotKeep is how long a host keeps a snapshot that a peer is reading.
	snapshotKeep         = 30 * time.Second
	snapshotRetry        = 200 * time.Millisecond
	snapshotPieceTimeout = 2 * time.Second
	// maxLinkWaits bounds the waits for the link between regions before one piece.
	maxLinkWaits = 10
	// maxSnapshotTries bounds the attempts of a starting host for one name. The
	// snapshot saves recomputation and is not needed for correctness.
	maxSnapshotTries = 10
)

// snapshotHook provides and consumes the snapshot of one part of the host.
type snapshotHook struct {
	name    string
	provide func() ([]byte, error)
	consume func([]byte) error
}

// keptSnapshot is a snapshot that is being read by peers.
type keptSnapshot struct {
	id     string
	data   []byte
	madeAt time.Time
}

type snapshots struct {
	hooks []snapshotHook
	kept  map[string]keptSnapshot
}

func newSnapshots() snapshots { return snapshots{kept: map[string]keptSnapshot{}} }

// snapshotRequest asks for a piece of a snapshot. An empty ID asks for the start of
// a current snapshot.
type snapshotRequest struct {
	Name   string
	ID     string
	Offset int
}

// snapshotPart is a piece of a snapshot of Total bytes with the SHA-256 hash Sum.
type snapshotPart struct {
	ID    string
	Total int
	Sum   []byte
	Data  []byte
}

func (*snapshotRequest) WireType() wire.Type { return wire.TypeSnapshotRequest }
func (*snapshotPart) WireType() wire.Type    { return wire.TypeSnapshotPart }

// RegisterSnapshot adds a named part of the host's state. Peers that start get it
// from provide; this host gets it from a live peer after its start and hands it to
// consume once. Either may be nil. It must be called before Run.
func (f *Fleet) RegisterSnapshot(name string, provide func() ([]byte, error), consume func([]byte) error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshots.hooks = append(f.snapshots.hooks, snapshotHook{name, provide, consume})
}

func (f *Fleet) handleSnapshot(_ context.Context, _ wire.Peer, request wire.Request) (wire.Message, error) {
	message := &snapshotRequest{}
	if err := request.Decode(message); err != nil {
		return nil, err
	}
	kept, err := f.keepSnapshot(message.Name, message.ID)
	if err != nil {
		return nil, err
	}
	if message.Offset < 0 || message.Offset > len(kept.data) {
		return nil, errors.Errorf("snapshot %q: offset %d of %d", message.Name, message.Offset, len(kept.data))
	}
	end := min(message.Offset+snapshotPieceBytes, len(kept.data))
	part := &snapshotPart{ID: kept.id, Total: len(kept.data), Data: kept.data[message.Offset:end]}
	if end == len(kept.data) {
		sum := sha256.Sum256(kept.data)
		part.Sum = sum[:]
	}
	return part, nil
}

// keepSnapshot returns the kept snapshot with the id, or with an empty id a recent
// one, which is made if there is none.
func (f *Fleet) keepSnapshot(name, id string) (keptSnapshot, error) {
	f.mu.Lock()
	now := f.now()
	kept, ok := f.snapshots.kept[name]
	i := slices.IndexFunc(f.snapshots.hooks, func(h snapshotHook) bool { return h.name == name && h.provide != nil })
	var provide func() ([]byte, error)
	if i >= 0 {
		provide = f.snapshots.hooks[i].provide
	}
	f.mu.Unlock()
	switch {
	case ok && now.Sub(kept.madeAt) <= snapshotKeep && (id == "" || id == kept.id):
		return kept, nil
	case id != "":
		return keptSnapshot{}, errors.Errorf("snapshot %q: %s is no longer kept", name, id)
	case provide == nil:
		return keptSnapshot{}, errors.Errorf("snapshot %q is not provided", name)
	}
	data, err := provide()
	if err != nil {
		return keptSnapshot{}, errors.Wrapf(err, "snapshot %q", name)
	}
	if len(data) > maxSnapshotBytes {
		return keptSnapshot{}, errors.Errorf("snapshot %q has %d bytes, at most %d are allowed", name, len(data), maxSnapshotBytes)
	}
	kept = keptSnapshot{id: uuid.NewString(), data: data, madeAt: now}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshots.kept[name] = kept
	return kept, nil
}

// dropOldSnapshots frees the snapshots that no peer may read any more.
func (f *Fleet) dropOldSnapshots() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	for name, kept := range f.snapshots.kept {
		if now.Sub(kept.madeAt) > snapshotKeep {
			delete(f.snapshots.kept, name)
		}
	}
}

// runSnapshotFetch gets each registered snapshot once from a live peer.
func (f *Fleet) runSnapshotFetch(ctx context.Context) {
	f.mu.Lock()
	hooks := slices.Clone(f.snapshots.hooks)
	f.mu.Unlock()
	for _, hook := range hooks {
		if hook.consume != nil {
			f.restore(ctx, hook)
		}
	}
	<-ctx.Done()
}

func (f *Fleet) restore(ctx context.Context, hook snapshotHook) {
	for range maxSnapshotTries {
		for _, source := range f.snapshotSources() {
			address := source.InnerAddress
			data, err := f.fetchSnapshot(ctx, source, hook.name)
			if err == nil {
				err = hook.consume(data)
			}
			if err == nil {
				f.log.Info("restored snapshot", "name", hook.name, "address", address, "bytes", len(data))
				return
			}
			f.log.Debug("snapshot failed", "name", hook.name, "address", address, "error", err)
		}
		f.sleepJittered(ctx, snapshotRetry, nil)
		if ctx.Err() != nil {
			return
		}
	}
}

// snapshotSources returns the live peers: those in the same zone first,
// then those in the same region, since the inter-region link is narrow.
func (f *Fleet) snapshotSources() []config.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var live []*peer
	for _, p := range f.peers {
		if p.live(now) {
			live = append(live, p)
		}
	}
	distance := func(p *peer) int {
		switch {
		case p.member.Zone == f.self.Zone:
			return 0
		case p.member.Region == f.self.Region:
			return 1
		}
		return 2
	}
	slices.SortFunc(live, func(a, b *peer) int { return distance(a) - distance(b) })
	sources := make([]config.Member, len(live))
	for i, p := range live {
		sources[i] = p.member
	}
	return sources
}

// awaitLink waits until a piece from a peer in another region may use the link.
func (f *Fleet) awaitLink(ctx context.Context, source config.Member) error {
	allow := f.options.AllowCrossRegionSnapshot
	if source.Region == f.self.Region || allow == nil {
		return nil
	}
	for range maxLinkWaits {
		if allow(snapshotPieceBytes) {
			return nil
		}
		f.sleepJittered(ctx, snapshotRetry, nil)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return errors.Errorf("the link to region %s has no room for a snapshot", source.Region)
}

func (f *Fleet) fetchSnapshot(ctx context.Context, source config.Member, name string) ([]byte, error) {
	address := source.InnerAddress
	var data []byte
	id := ""
	for {
		part := &snapshotPart{}
		if err := f.awaitLink(ctx, source); err != nil {
			return nil, err
		}
		pieceCtx, cancel := context.WithTimeout(ctx, snapshotPieceTimeout)
		err := f.options.Caller.Call(pieceCtx, address, &snapshotRequest{Name: name, ID: id, Offset: len(data)}, part)
		cancel()
		if err != nil {
			return nil, err
		}
		if part.Total > maxSnapshotBytes || len(data)+len(part.Data) > part.Total {
			return nil, errors.Errorf("snapshot %q from %s has a wrong size", name, address)
		}
		id = part.ID
		data = append(data, part.Data...)
		if len(data) == part.Total {
			sum := sha256.Sum256(data)
			if !bytes.Equal(sum[:], part.Sum) {
				return nil, errors.Errorf("snapshot %q from %s has a wrong hash", name, address)
			}
			return data, nil
		}
		if len(part.Data) == 0 {
			return nil, errors.Errorf("snapshot %q from %s has an empty piece", name, address)
		}
	}
}
