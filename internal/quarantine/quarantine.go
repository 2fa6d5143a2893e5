// Package quarantine shares what crashed targets among the hosts and keeps the parts of
// prompts in quarantine in the store, so that hosts that start later reject them too.
package quarantine

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/sequoiaroad/sequoiaroad/internal/clock"
	"github.com/sequoiaroad/sequoiaroad/internal/leasestore"
	"github.com/sequoiaroad/sequoiaroad/internal/peers"
	"github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/internal/view"
	"github.com/sequoiaroad/sequoiaroad/policy/quarantine"
)

const (
	// Table holds a row for each entry in quarantine.
	Table = "sequoiaroad.quarantine"
	// broadcastTimeout bounds a notice to the other hosts.
	broadcastTimeout = 600 * time.Millisecond
	// minReadInterval bounds how often the table is read. It is read after each crash,
	// since notices of other hosts may be lost.
	minReadInterval = time.Second
	retryInterval   = time.Second
	// queueSize bounds the notices that wait to be sent.
	queueSize = 256
)

// Fleet sends notices to the other hosts.
type Fleet interface {
	// BroadcastQuarantineNotice sends a notice to all other hosts, and waits until they
	// have acknowledged it or ctx ends.
	BroadcastQuarantineNotice(ctx context.Context, n *peers.QuarantineNotice)
}

// Options configure a Keeper.
type Options struct {
	Store  leasestore.Client
	Source view.Source
	View   *view.View
	Fleet  Fleet
	Log    hclog.Logger
	// OnEntry is called after an entry was added. It must not block.
	OnEntry func(e quarantine.Entry)
}

// row is the value of a row of Table.
type row struct {
	Parts []string `json:"parts"`
	// UntilMs is the end of the quarantine by the store's clock.
	UntilMs int64 `json:"until_ms"`
}

// Keeper decides for this host which requests are in quarantine.
type Keeper struct {
	Options

	mu       sync.Mutex
	registry *quarantine.Registry

	notices chan *peers.QuarantineNotice
	reads   chan struct{}
}

// New returns a keeper that has read no entry.
func New(o Options) *Keeper {
	return &Keeper{
		Options: o, registry: quarantine.New(),
		notices: make(chan *peers.QuarantineNotice, queueSize), reads: make(chan struct{}, 1),
	}
}

// Match returns the entry that rejects a request with the given shared parts.
func (k *Keeper) Match(parts []string) (quarantine.Entry, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.registry.Match(parts, time.Now())
}

// Suspected reports whether a request with the given shared parts must not be retried.
func (k *Keeper) Suspected(parts []string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.registry.Suspected(parts)
}

// RecordCompletion records that a target completed a request.
func (k *Keeper) RecordCompletion(parts []string) {
	k.mu.Lock()
	cleared := k.registry.RecordCompletion(parts, time.Now())
	k.mu.Unlock()
	if len(cleared) > 0 {
		k.Log.Info("parts are no longer suspected of crashes", "parts", cleared)
		k.enqueue(&peers.QuarantineNotice{Innocent: cleared})
	}
}

// RecordCrash records that a target ended after it had begun to respond to a request of
// this host.
func (k *Keeper) RecordCrash(c quarantine.Crash) {
	if len(c.Parts) == 0 {
		return
	}
	k.enqueue(&peers.QuarantineNotice{Crashes: []quarantine.Crash{c}})
	k.applyCrash(c)
	select {
	case k.reads <- struct{}{}:
	default:
	}
}

func (k *Keeper) applyCrash(c quarantine.Crash) {
	k.mu.Lock()
	added, innocent := k.registry.RecordCrash(c, time.Now())
	k.mu.Unlock()
	k.Log.Info("a target ended as it began to respond", "target", c.Target, "parts", c.Parts, "innocent", innocent)
	if len(innocent) > 0 {
		k.enqueue(&peers.QuarantineNotice{Innocent: innocent})
	}
	for _, e := range added {
		k.announce(e)
	}
}

// announce logs a new entry, withdraws what it rejects and sends it to the peers.
func (k *Keeper) announce(e quarantine.Entry) {
	k.Log.Warn("parts are in quarantine: several targets crashed on them", "entry", e.ID, "parts", e.Parts, "for_s", int(time.Until(e.Until).Seconds()))
	k.OnEntry(e)
	k.enqueue(&peers.QuarantineNotice{Entries: []peers.QuarantineEntry{{ID: e.ID, Parts: e.Parts, RemainingMs: time.Until(e.Until).Milliseconds()}}})
}

// HandleNotice handles the notice of a peer.
func (k *Keeper) HandleNotice(n *peers.QuarantineNotice) {
	if len(n.Innocent) > 0 {
		k.mu.Lock()
		k.registry.RecordCompletion(n.Innocent, time.Now())
		k.mu.Unlock()
	}
	for _, c := range n.Crashes {
		k.applyCrash(c)
	}
	for _, e := range n.Entries {
		k.addEntry(quarantine.Entry{ID: e.ID, Parts: e.Parts, Until: time.Now().Add(time.Duration(e.RemainingMs) * time.Millisecond)})
	}
}

func (k *Keeper) addEntry(e quarantine.Entry) {
	k.mu.Lock()
	k.registry.AddEntry(e)
	k.mu.Unlock()
	k.OnEntry(e)
}

func (k *Keeper) enqueue(n *peers.QuarantineNotice) {
	select {
	case k.notices <- n:
	default:
		k.Log.Warn("quarantine notice dropped: the queue is full")
	}
}

// Run reads the table, sends notices and writes entries until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	var running sync.WaitGroup
	running.Go(func() { k.readEntries(ctx) })
	running.Go(func() { k.sendNotices(ctx) })
	running.Wait()
	return nil
}

// readEntries reads the table at the start and after each crash.
func (k *Keeper) readEntries(ctx context.Context) {
	for ctx.Err() == nil {
		if err := k.read(ctx); err != nil {
			k.Log.Warn("failed to read the quarantine", "error", err)
			clock.Sleep(ctx, retryInterval)
			continue
		}
		clock.Sleep(ctx, minReadInterval)
		select {
		case <-ctx.Done():
		case <-k.reads:
		}
	}
}

func (k *Keeper) read(ctx context.Context) error {
	page, err := k.Source.List(ctx, Table)
	if err != nil {
		return err
	}
	now := time.Now()
	for _, r := range page.Rows {
		var value row
		if err := json.Unmarshal(r.Value, &value); err != nil {
			k.Log.Warn("row of the quarantine is ignored", "key", r.Key, "row_version", r.Version, "error", err)
			continue
		}
		remaining := time.Duration(value.UntilMs)*time.Millisecond - page.Clock
		k.addEntry(quarantine.Entry{ID: r.Key, Parts: value.Parts, Until: now.Add(remaining)})
	}
	return nil
}

// sendNotices sends queued notices to the peers and writes new entries to the store.
func (k *Keeper) sendNotices(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-k.notices:
			go k.broadcast(ctx, n)
			for _, e := range n.Entries {
				go k.write(ctx, e)
			}
		}
	}
}

func (k *Keeper) broadcast(ctx context.Context, n *peers.QuarantineNotice) {
	ctx, cancel := context.WithTimeout(ctx, broadcastTimeout)
	defer cancel()
	k.Fleet.BroadcastQuarantineNotice(ctx, n)
}

// write keeps an entry in the store until it is written or has ended. Several hosts may
// write the same entry.
func (k *Keeper) write(ctx context.Context, e peers.QuarantineEntry) {
	until := time.Now().Add(time.Duration(e.RemainingMs) * time.Millisecond)
	for ctx.Err() == nil && time.Now().Before(until) {
		err := k.tryWrite(ctx, e, until)
		if err == nil {
			return
		}
		k.Log.Warn("failed to write to the quarantine", "entry", e.ID, "error", err)
		clock.Sleep(ctx, retryInterval)
	}
}

func (k *Keeper) tryWrite(ctx context.Context, e peers.QuarantineEntry, until time.Time) error {
	storeTime, err := k.View.StoreTime(until)
	if err != nil {
		return err
	}
	value, err := json.Marshal(row{Parts: e.Parts, UntilMs: storeTime.Milliseconds()})
	if err != nil {
		return err
	}
	_, err = k.Store.Commit(ctx, nil, []platform.Write{{Table: Table, Key: e.ID, Value: value}})
	return err
}
