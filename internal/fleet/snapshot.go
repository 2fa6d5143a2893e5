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
	// snapshotChunkBytes bounds one message, so that control messages on the same
	// connection are delayed only briefly.
	snapshotChunkBytes = 128 << 10
	// maxSnapshotBytes bounds the snapshot of one part of the host.
	maxSnapshotBytes = 64 << 20
	// snapshotTTL is how long a host keeps a snapshot so that peers can read all chunks.
	snapshotTTL           = 30 * time.Second
	snapshotRetryInterval = 200 * time.Millisecond
	snapshotChunkTimeout  = 2 * time.Second
	// maxLinkAttempts bounds the attempts to get one chunk admitted to the link between
	// regions.
	maxLinkAttempts = 10
	// maxSnapshotAttempts bounds the rounds in which a starting host tries all peers for
	// one snapshot. A snapshot saves recomputation and is not needed for correctness.
	maxSnapshotAttempts = 10
)

// snapshotHook provides and consumes the snapshot of one part of the host.
type snapshotHook struct {
	name    string
	provide func() ([]byte, error)
	consume func([]byte) error
}

// cachedSnapshot is a snapshot that peers may be reading.
type cachedSnapshot struct {
	id        string
	data      []byte
	createdAt time.Time
}

// snapshots holds the registered hooks, and the provided snapshots by name.
type snapshots struct {
	hooks  []snapshotHook
	cached map[string]cachedSnapshot
}

func newSnapshots() snapshots { return snapshots{cached: map[string]cachedSnapshot{}} }

// snapshotRequest requests a chunk of a snapshot. An empty ID requests a recent
// snapshot, whose ID the chunk returns.
type snapshotRequest struct {
	Name   string
	ID     string
	Offset int
}

// snapshotChunk is a chunk of a snapshot of Total bytes.
type snapshotChunk struct {
	ID    string
	Total int
	// Sum is the SHA-256 hash of the whole snapshot; only the last chunk has it.
	Sum  []byte
	Data []byte
}

func (*snapshotRequest) WireType() wire.Type { return wire.TypeSnapshotRequest }
func (*snapshotChunk) WireType() wire.Type   { return wire.TypeSnapshotChunk }

// RegisterSnapshot registers a named part of the host's state. provide returns it for
// starting peers. consume receives it at most once, from a live peer after this host has
// started. Either may be nil. RegisterSnapshot must be called before Run.
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
	snapshot, err := f.getSnapshot(message.Name, message.ID)
	if err != nil {
		return nil, err
	}
	if message.Offset < 0 || message.Offset > len(snapshot.data) {
		return nil, errors.Errorf("snapshot %q: offset %d of %d", message.Name, message.Offset, len(snapshot.data))
	}
	end := min(message.Offset+snapshotChunkBytes, len(snapshot.data))
	chunk := &snapshotChunk{ID: snapshot.id, Total: len(snapshot.data), Data: snapshot.data[message.Offset:end]}
	if end == len(snapshot.data) {
		sum := sha256.Sum256(snapshot.data)
		chunk.Sum = sum[:]
	}
	return chunk, nil
}

// getSnapshot returns the cached snapshot with the ID. If the ID is empty, it returns a
// recent snapshot, and creates one if there is none.
func (f *Fleet) getSnapshot(name, id string) (cachedSnapshot, error) {
	f.mu.Lock()
	now := f.now()
	snapshot, ok := f.snapshots.cached[name]
	i := slices.IndexFunc(f.snapshots.hooks, func(h snapshotHook) bool { return h.name == name && h.provide != nil })
	var provide func() ([]byte, error)
	if i >= 0 {
		provide = f.snapshots.hooks[i].provide
	}
	f.mu.Unlock()
	switch {
	case ok && now.Sub(snapshot.createdAt) <= snapshotTTL && (id == "" || id == snapshot.id):
		return snapshot, nil
	case id != "":
		return cachedSnapshot{}, errors.Errorf("snapshot %q: %s is no longer kept", name, id)
	case provide == nil:
		return cachedSnapshot{}, errors.Errorf("snapshot %q is not provided", name)
	}
	data, err := provide()
	if err != nil {
		return cachedSnapshot{}, errors.Wrapf(err, "snapshot %q", name)
	}
	if len(data) > maxSnapshotBytes {
		return cachedSnapshot{}, errors.Errorf("snapshot %q has %d bytes, at most %d are allowed", name, len(data), maxSnapshotBytes)
	}
	snapshot = cachedSnapshot{id: uuid.NewString(), data: data, createdAt: now}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshots.cached[name] = snapshot
	return snapshot, nil
}

// expireSnapshots removes the cached snapshots that are older than snapshotTTL.
func (f *Fleet) expireSnapshots() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	for name, snapshot := range f.snapshots.cached {
		if now.Sub(snapshot.createdAt) > snapshotTTL {
			delete(f.snapshots.cached, name)
		}
	}
}

// runSnapshotFetch restores each registered snapshot once from a live peer.
func (f *Fleet) runSnapshotFetch(ctx context.Context) {
	f.mu.Lock()
	hooks := slices.Clone(f.snapshots.hooks)
	f.mu.Unlock()
	for _, hook := range hooks {
		if hook.consume != nil {
			f.restoreSnapshot(ctx, hook)
		}
	}
	<-ctx.Done()
}

// restoreSnapshot fetches one snapshot from the first peer that provides it and passes it
// to the hook.
func (f *Fleet) restoreSnapshot(ctx context.Context, hook snapshotHook) {
	for range maxSnapshotAttempts {
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
			f.log.Debug("failed to restore snapshot", "name", hook.name, "address", address, "error", err)
		}
		f.sleepJittered(ctx, snapshotRetryInterval, nil)
		if ctx.Err() != nil {
			return
		}
	}
}

// snapshotSources returns the live peers: those in the same zone first, then those in
// the same region, since the link between regions has little bandwidth.
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

// awaitLink waits until a chunk from a peer in another region is admitted to the link.
// It returns an error after maxLinkAttempts.
func (f *Fleet) awaitLink(ctx context.Context, source config.Member) error {
	allow := f.options.AllowCrossRegionSnapshot
	if source.Region == f.self.Region || allow == nil {
		return nil
	}
	for range maxLinkAttempts {
		if allow(snapshotChunkBytes) {
			return nil
		}
		f.sleepJittered(ctx, snapshotRetryInterval, nil)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return errors.Errorf("link to region %s has no bandwidth left for a snapshot", source.Region)
}

// fetchSnapshot fetches all chunks of a snapshot from one peer and checks its hash.
func (f *Fleet) fetchSnapshot(ctx context.Context, source config.Member, name string) ([]byte, error) {
	address := source.InnerAddress
	var data []byte
	id := ""
	for {
		chunk := &snapshotChunk{}
		if err := f.awaitLink(ctx, source); err != nil {
			return nil, err
		}
		chunkCtx, cancel := context.WithTimeout(ctx, snapshotChunkTimeout)
		err := f.options.Caller.Call(chunkCtx, address, &snapshotRequest{Name: name, ID: id, Offset: len(data)}, chunk)
		cancel()
		if err != nil {
			return nil, err
		}
		if chunk.Total > maxSnapshotBytes || len(data)+len(chunk.Data) > chunk.Total {
			return nil, errors.Errorf("snapshot %q from %s exceeds its size or the limit", name, address)
		}
		id = chunk.ID
		data = append(data, chunk.Data...)
		if len(data) == chunk.Total {
			sum := sha256.Sum256(data)
			if !bytes.Equal(sum[:], chunk.Sum) {
				return nil, errors.Errorf("snapshot %q from %s does not match its hash", name, address)
			}
			return data, nil
		}
		if len(chunk.Data) == 0 {
			return nil, errors.Errorf("snapshot %q from %s has an empty chunk", name, address)
		}
	}
}
