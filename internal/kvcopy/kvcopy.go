// Package kvcopy copies the KV cache of prefixes between engines, so that a request that
// is sent to another target than the one that caches its prefix need not compute the
// prefix again.
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
	// maxConcurrent is the number of copies that run at once, each in its own goroutine.
	// With one copy at a time the prefixes of a leaving target would queue; more copies
	// would raise the memory bound.
	maxConcurrent = 2
	// maxQueued is the number of copies that wait to run.
	maxQueued = 2
	// maxChunkBytes bounds one export. A running copy holds the response, its decoded
	// form and the encoded import, so two running copies hold at most 48 MiB.
	maxChunkBytes = 8 << 20
	// minRequests is the number of recent requests from which on a block is copied.
	minRequests = 2
	// timeoutFactor times the predicted duration is allowed for a copy.
	timeoutFactor = 4
	// timeoutMargin is added to the timeout, for engines that pause briefly.
	timeoutMargin = 200 * time.Millisecond
)

// EngineClient makes the engine calls of a copy. *target.HTTPEngineClient implements it.
type EngineClient interface {
	ExportKV(ctx context.Context, t *config.Target, request *target.KVTransfer, maxBytes int) (*target.KVTransfer, int, error)
	ImportKV(ctx context.Context, t *config.Target, request *target.KVTransfer) (int, error)
}

// CacheTracker reports and records the cache state of targets.
type CacheTracker interface {
	// CacheState returns the epoch and weights version last reported by a target.
	CacheState(targetID string) policy.Endpoint
	// RecordCopy records that a target holds blocks of an epoch and weights version.
	RecordCopy(endpoint policy.Endpoint, blocks []prefix.BlockHash)
}

// Options configures a Copier. Engines, Cache and Target are required.
type Options struct {
	Engines EngineClient
	Cache   CacheTracker
	// Target returns the configured target with an id, or nil.
	Target func(id string) *config.Target
	// Observe is called at the end of each copy with the result done, failed or changed;
	// it may be nil.
	Observe func(result string, tokens, bytes int)
	// Logger may be nil, which disables logging.
	Logger hclog.Logger
}

// Totals holds counters since the start of the process. Changed counts the copies that
// were dropped because an endpoint had a new epoch or other weights.
type Totals struct {
	Started, Done, Failed, Changed uint64
	CopiedTokens, Bytes            uint64
}

// job is a copy that waits or runs; done is closed at its end.
type job struct {
	plan *policy.Copy
	done chan struct{}
	// deadline covers the waiting and the running time.
	deadline time.Time
	// tokens and bytes count what was copied; only the goroutine that runs the job uses
	// them.
	tokens, bytes int
}

// Copier runs copies. Its queue, its memory and the duration of each copy are bounded.
type Copier struct {
	options Options
	jobs    chan *job

	mu       sync.Mutex
	planner  *policy.Planner
	inFlight map[policy.Key]*job
	totals   Totals
}

// New returns a copier. It copies nothing until Run is called.
func New(o Options) (*Copier, error) {
	if o.Engines == nil || o.Cache == nil || o.Target == nil {
		return nil, errors.New("a KV copier needs Engines, Cache and Target")
	}
	if o.Observe == nil {
		o.Observe = func(string, int, int) {}
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	return &Copier{
		options: o,
		// The planner's InFlight limit keeps sends to jobs from blocking.
		jobs: make(chan *job, maxConcurrent+maxQueued),
		planner: policy.NewPlanner(policy.Limits{
			InFlight: maxConcurrent + maxQueued, BlockBytes: maxChunkBytes, MinRequests: minRequests,
		}),
		inFlight: map[policy.Key]*job{},
	}, nil
}

// TryCopy starts a copy if the planner decides for one. It returns a channel that is
// closed at the end of the copy, and the longest time to wait for it; the channel is nil
// if the request should not wait for a copy. TryCopy does not block.
func (c *Copier) TryCopy(candidate *policy.Candidate, link *routing.LinkBudget) (done <-chan struct{}, maxWait time.Duration) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	plan, decision := c.planner.Plan(candidate, link, now)
	switch decision {
	case policy.Start:
		timeout := timeoutFactor*plan.Predicted + timeoutMargin
		j := &job{plan: plan, done: make(chan struct{}), deadline: now.Add(timeout)}
		c.inFlight[plan.Key()] = j
		c.totals.Started++
		c.jobs <- j // does not block, see New
		if !plan.Probe {
			return j.done, timeout
		}
	case policy.AlreadyInFlight:
		if j := c.inFlight[plan.Key()]; j != nil && !j.plan.Probe {
			return j.done, time.Until(j.deadline)
		}
	}
	c.options.Logger.Trace("no copy to wait for", "from", candidate.Source.TargetID, "to", candidate.Destination.TargetID, "reason", decision)
	return nil, 0
}

// RecordRequest counts a request for the blocks of a chain.
func (c *Copier) RecordRequest(chain []prefix.BlockHash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.planner.RecordRequest(chain, time.Now())
}

// Totals returns the counters.
func (c *Copier) Totals() Totals {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.totals
}

// Run runs copies until ctx ends, which cancels the copies in flight.
func (c *Copier) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for range maxConcurrent {
		group.Go(func() error {
			for {
				select {
				case <-ctx.Done():
					return nil
				case j := <-c.jobs:
					c.runJob(ctx, j)
				}
			}
		})
	}
	return group.Wait()
}

func (c *Copier) runJob(ctx context.Context, j *job) {
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	err := c.copyBlocks(ctx, j)
	c.mu.Lock()
	c.planner.Finish(j.plan, err != nil, time.Now())
	c.planner.RemoveUnconfigured(func(id string) bool { return c.options.Target(id) != nil })
	delete(c.inFlight, j.plan.Key())
	result := "failed"
	switch {
	case err == nil:
		c.totals.Done++
		result = "done"
	case errors.Is(err, policy.ErrChanged):
		c.totals.Changed++
		result = "changed"
	default:
		c.totals.Failed++
	}
	c.totals.CopiedTokens += uint64(j.tokens)
	c.totals.Bytes += uint64(j.bytes)
	c.mu.Unlock()
	c.options.Observe(result, j.tokens, j.bytes)
	close(j.done)
	if err != nil {
		c.options.Logger.Debug("KV copy failed", "from", j.plan.Source.TargetID, "to", j.plan.Destination.TargetID, "error", err)
	}
}

// copyBlocks copies the blocks in chunks, in the order of the chain, since an engine
// accepts a block only if it holds the previous one.
func (c *Copier) copyBlocks(ctx context.Context, j *job) error {
	plan := j.plan
	source, destination := c.options.Target(plan.Source.TargetID), c.options.Target(plan.Destination.TargetID)
	if source == nil || destination == nil {
		return errors.New("the source or the destination is no longer configured")
	}
	remaining := plan.Blocks
	c.mu.Lock()
	blockBytes := c.planner.BlockBytes()
	c.mu.Unlock()
	for len(remaining) > 0 {
		count := 1 // until the size of a block is known
		if blockBytes > 0 {
			// Half of the limit leaves room for blocks of uneven size.
			count = max(1, maxChunkBytes/2/blockBytes)
		}
		chunk := remaining[:min(count, len(remaining))]
		bytes, err := c.copyChunk(ctx, plan, source, destination, chunk)
		j.bytes += bytes
		if err != nil {
			return err
		}
		remaining = remaining[len(chunk):]
		j.tokens += len(chunk) * prefix.BlockBytes / prefix.BytesPerToken
		blockBytes = max(1, bytes/len(chunk))
	}
	return nil
}

func (c *Copier) copyChunk(ctx context.Context, plan *policy.Copy, source, destination *config.Target, chunk []prefix.BlockHash) (int, error) {
	blocks, bytes, err := c.export(ctx, plan, source, chunk)
	if err != nil {
		return bytes, err
	}
	// Checked right before the import, since an engine may have reported another epoch or
	// other weights after the copy began.
	cache := c.options.Cache
	if err := plan.Valid(cache.CacheState(plan.Source.TargetID), cache.CacheState(plan.Destination.TargetID)); err != nil {
		return bytes, err
	}
	start := time.Now()
	imported, err := c.options.Engines.ImportKV(ctx, destination, &target.KVTransfer{
		Epoch: plan.Destination.Epoch, CacheSalt: plan.Seed.String(), WeightsVersion: plan.Weights, Blocks: blocks,
	})
	if err != nil {
		return bytes, errors.WithMessage(err, "import")
	}
	if imported != len(chunk) {
		return bytes, errors.Errorf("target %s imported %d of %d blocks", destination.ID, imported, len(chunk))
	}
	c.mu.Lock()
	c.planner.RecordImport(destination.ID, bytes, time.Since(start))
	c.mu.Unlock()
	cache.RecordCopy(plan.Destination, chunk)
	return bytes, nil
}

// export fetches the blocks of a chunk from the source and checks that the response holds
// exactly these blocks.
func (c *Copier) export(ctx context.Context, plan *policy.Copy, source *config.Target, chunk []prefix.BlockHash) ([]target.KVBlock, int, error) {
	hashes := make([]string, len(chunk))
	for i, h := range chunk {
		hashes[i] = h.String()
	}
	start := time.Now()
	exported, bytes, err := c.options.Engines.ExportKV(ctx, source, &target.KVTransfer{
		Epoch: plan.Source.Epoch, CacheSalt: plan.Seed.String(), WeightsVersion: plan.Weights, Hashes: hashes,
	}, maxChunkBytes)
	c.mu.Lock()
	switch {
	case err == nil:
		c.planner.RecordExport(source.ID, len(exported.Blocks)*prefix.BlockBytes/prefix.BytesPerToken, bytes, time.Since(start))
	case len(chunk) == 1 && errors.Is(err, target.ErrKVTooLarge):
		c.planner.RecordTooLarge()
	}
	c.mu.Unlock()
	if err != nil {
		return nil, bytes, errors.WithMessage(err, "export")
	}
	if exported.Epoch != plan.Source.Epoch || exported.WeightsVersion != plan.Weights || exported.CacheSalt != plan.Seed.String() {
		return nil, bytes, policy.ErrChanged
	}
	matches := slices.EqualFunc(exported.Blocks, hashes, func(b target.KVBlock, hash string) bool { return b.Hash == hash })
	if !matches {
		return nil, bytes, errors.Errorf("target %s no longer holds all %d blocks", source.ID, len(chunk))
	}
	return exported.Blocks, bytes, nil
}
