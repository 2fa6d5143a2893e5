// Package kvcopy copies the KV cache of prefixes between engines, so that a request
// that is sent past its warm target need not compute the prefix again.
package kvcopy

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sequoiaroad/sequoiaroad/internal/target"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	policy "github.com/sequoiaroad/sequoiaroad/policy/kvcopy"
	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
	"github.com/sequoiaroad/sequoiaroad/policy/routing"
)

const (
	// slots is the number of copies that run at once, each in its own goroutine. One
	// copy at a time would make a leaving target's prefixes queue; more would add to
	// the memory bound.
	slots = 2
	// queued is the number of copies that wait for a slot.
	queued = 2
	// maxChunkBytes bounds one export. A slot holds the answer, its decoded form and
	// the encoded import, so that two slots hold at most 48 MiB.
	maxChunkBytes = 8 << 20
	// minHeat is the number of recent requests for a block from which on it is copied.
	minHeat = 2
	// timeoutFactor is how many times the predicted time a copy may take.
	timeoutFactor = 4
	// timeoutGrace is added to it, for engines that pause briefly.
	timeoutGrace = 200 * time.Millisecond
)

// Engines makes the calls of a copy; *target.HTTPEngineClient does.
type Engines interface {
	ExportKV(ctx context.Context, t *config.Target, request *target.KVTransfer, maxBytes int) (*target.KVTransfer, int, error)
	ImportKV(ctx context.Context, t *config.Target, request *target.KVTransfer) (int, error)
}

// CacheTracker is the router's knowledge of targets.
type CacheTracker interface {
	// CacheState returns the epoch and weights version last reported by a target.
	CacheState(targetID string) policy.Endpoint
	// RecordCopy records that a target holds blocks under an epoch and weights version.
	RecordCopy(end policy.Endpoint, blocks []prefix.BlockHash)
}

// Options set up a Mover.
type Options struct {
	Engines Engines
	Cache   CacheTracker
	// Target returns a configured target, or nil. Required.
	Target func(id string) *config.Target
	// Observe takes the end of each copy: done, failed or changed; nil means nobody does.
	Observe func(result string, tokens, bytes int)
	// Logger may be nil, which means no log.
	Logger hclog.Logger
}

// Totals are counters since the start of the process.
type Totals struct {
	Started, Done, Failed, Changed uint64
	CopiedTokens, Bytes            uint64
}

// job is a copy in flight; done is closed at its end.
type job struct {
	copy *policy.Copy
	done chan struct{}
	// deadline holds for waiting and running together.
	deadline time.Time
	// tokens and bytes were moved; only the worker uses them.
	tokens, bytes int
}

// Copier carries out copies. Its queue, its memory and the time of each copy are bounded.
type Copier struct {
	options Options
	jobs    chan *job

	mu      sync.Mutex
	planner *policy.Planner
	running map[policy.Key]*job
	totals  Totals
}

// New returns a mover. It copies nothing before Run.
func New(o Options) (*Copier, error) {
	if o.Engines == nil || o.Cache == nil || o.Target == nil {
		return nil, errors.New("the mover needs Engines, View and Target")
	}
	if o.Observe == nil {
		o.Observe = func(string, int, int) {}
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	return &Copier{
		options: o,
		// The planner starts no more copies than there are places.
		jobs: make(chan *job, slots+queued),
		planner: policy.NewPlanner(policy.Limits{
			InFlight: slots + queued, BlockBytes: maxChunkBytes, MinRequests: minHeat,
		}),
		running: map[policy.Key]*job{},
	}, nil
}

// Offer decides on a copy and starts it. It returns a channel that is closed when the
// copy has ended and the longest time to wait for it, or nil if there is no copy to
// wait for. It does not block.
func (m *Copier) Offer(o *policy.Offer, link *routing.LinkBudget) (done <-chan struct{}, patience time.Duration) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	c, verdict := m.planner.Plan(o, link, now)
	switch verdict {
	case policy.Start:
		limit := timeoutFactor*c.Predicted + timeoutGrace
		j := &job{copy: c, done: make(chan struct{}), deadline: now.Add(limit)}
		m.running[c.Key()] = j
		m.totals.Started++
		m.jobs <- j // has room: see New
		if !c.Probe {
			return j.done, limit
		}
	case policy.AlreadyRunning:
		if j := m.running[c.Key()]; j != nil && !j.copy.Probe {
			return j.done, time.Until(j.deadline)
		}
	}
	m.options.Logger.Trace("no copy", "from", o.Source.TargetID, "to", o.Destination.TargetID, "reason", verdict)
	return nil, 0
}

// RecordUse counts a request for the blocks of a chain.
func (m *Copier) RecordUse(chain []prefix.BlockHash) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.planner.RecordRequest(chain, time.Now())
}

// Totals returns the counters.
func (m *Copier) Totals() Totals {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.totals
}

// Run copies until ctx ends, which cancels the copies in flight.
func (m *Copier) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for range slots {
		group.Go(func() error {
			for {
				select {
				case <-ctx.Done():
					return nil
				case j := <-m.jobs:
					m.work(ctx, j)
				}
			}
		})
	}
	return group.Wait()
}

func (m *Copier) work(ctx context.Context, j *job) {
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	err := m.move(ctx, j)
	m.mu.Lock()
	m.planner.Finish(j.copy, err != nil, time.Now())
	m.planner.RemoveUnconfigured(func(id string) bool { return m.options.Target(id) != nil })
	delete(m.running, j.copy.Key())
	result := "failed"
	switch {
	case err == nil:
		m.totals.Done++
		result = "done"
	case errors.Is(err, policy.ErrChanged):
		m.totals.Changed++
		result = "changed"
	default:
		m.totals.Failed++
	}
	m.totals.CopiedTokens += uint64(j.tokens)
	m.totals.Bytes += uint64(j.bytes)
	m.mu.Unlock()
	m.options.Observe(result, j.tokens, j.bytes)
	close(j.done)
	if err != nil {
		m.options.Logger.Debug("copy failed", "from", j.copy.Source.TargetID, "to", j.copy.Destination.TargetID, "error", err)
	}
}

// move copies the blocks in chunks, in the order of the chain, since an engine takes a
// block only after the one before it.
func (m *Copier) move(ctx context.Context, j *job) error {
	c := j.copy
	source, destination := m.options.Target(c.Source.TargetID), m.options.Target(c.Destination.TargetID)
	if source == nil || destination == nil {
		return errors.New("an end of the copy is no longer configured")
	}
	rest := c.Blocks
	m.mu.Lock()
	blockBytes := m.planner.BlockBytes()
	m.mu.Unlock()
	for len(rest) > 0 {
		size := 1 // until the size of a block is known
		if blockBytes > 0 {
			// Half of the bound leaves room for blocks of uneven size.
			size = max(1, maxChunkBytes/2/blockBytes)
		}
		chunk := rest[:min(size, len(rest))]
		bytes, err := m.moveChunk(ctx, c, source, destination, chunk)
		j.bytes += bytes
		if err != nil {
			return err
		}
		rest = rest[len(chunk):]
		j.tokens += len(chunk) * prefix.BlockBytes / prefix.BytesPerToken
		blockBytes = max(1, bytes/len(chunk))
	}
	return nil
}

func (m *Copier) moveChunk(ctx context.Context, c *policy.Copy, source, destination *config.Target, chunk []prefix.BlockHash) (int, error) {
	blocks, bytes, err := m.export(ctx, c, source, chunk)
	if err != nil {
		return bytes, err
	}
	// The last step before the import: reports may have come since the copy began.
	view := m.options.Cache
	if err := c.Valid(view.CacheState(c.Source.TargetID), view.CacheState(c.Destination.TargetID)); err != nil {
		return bytes, err
	}
	began := time.Now()
	imported, err := m.options.Engines.ImportKV(ctx, destination, &target.KVTransfer{
		Epoch: c.Destination.Epoch, CacheSalt: c.Seed.String(), WeightsVersion: c.Weights, Blocks: blocks,
	})
	if err != nil {
		return bytes, errors.WithMessage(err, "import")
	}
	if imported != len(chunk) {
		return bytes, errors.Errorf("target %s took %d of %d blocks", destination.ID, imported, len(chunk))
	}
	m.mu.Lock()
	m.planner.RecordImport(destination.ID, bytes, time.Since(began))
	m.mu.Unlock()
	view.RecordCopy(c.Destination, chunk)
	return bytes, nil
}

// export reads the blocks of a chunk and checks that they are the ones asked for.
func (m *Copier) export(ctx context.Context, c *policy.Copy, source *config.Target, chunk []prefix.BlockHash) ([]target.KVBlock, int, error) {
	hashes := make([]string, len(chunk))
	for i, h := range chunk {
		hashes[i] = h.String()
	}
	began := time.Now()
	answer, bytes, err := m.options.Engines.ExportKV(ctx, source, &target.KVTransfer{
		Epoch: c.Source.Epoch, CacheSalt: c.Seed.String(), WeightsVersion: c.Weights, Hashes: hashes,
	}, maxChunkBytes)
	m.mu.Lock()
	switch {
	case err == nil:
		m.planner.RecordExport(source.ID, len(answer.Blocks)*prefix.BlockBytes/prefix.BytesPerToken, bytes, time.Since(began))
	case len(chunk) == 1 && errors.Is(err, target.ErrKVTooLarge):
		m.planner.RecordTooLarge()
	}
	m.mu.Unlock()
	if err != nil {
		return nil, bytes, errors.WithMessage(err, "export")
	}
	if answer.Epoch != c.Source.Epoch || answer.WeightsVersion != c.Weights || answer.CacheSalt != c.Seed.String() {
		return nil, bytes, policy.ErrChanged
	}
	same := slices.EqualFunc(answer.Blocks, hashes, func(b target.KVBlock, hash string) bool { return b.Hash == hash })
	if !same {
		return nil, bytes, errors.Errorf("target %s no longer holds all %d blocks", source.ID, len(chunk))
	}
	return answer.Blocks, bytes, nil
}
