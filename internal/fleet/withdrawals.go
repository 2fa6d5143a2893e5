package fleet

import (
	"cmp"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

const (
	// maxRemovedKeys bounds the keys that are recorded as withdrawn after their removal
	// from the configuration. Streams that use such a key end within seconds, after
	// which the record is not needed.
	maxRemovedKeys = 4096
	// maxPendingWithdrawals bounds the withdrawals that wait to be accepted. Further
	// withdrawal notices are rejected.
	maxPendingWithdrawals = 4096
)

// withdrawnSet is an immutable set of withdrawn key IDs.
type withdrawnSet map[string]struct{}

// pendingWithdrawal is a received withdrawal that no applied revision contains.
type pendingWithdrawal struct {
	key        withdrawnKey
	receivedAt time.Time
}

// keyIdentity distinguishes a key from a later one with the same ID.
type keyIdentity struct {
	id   string
	hash config.KeyHash
}

func (k withdrawnKey) identity() keyIdentity { return keyIdentity{k.KeyID, k.Hash} }

// withdrawalLog holds the pending withdrawals and the keys that were removed from the
// configuration.
type withdrawalLog struct {
	pending map[keyIdentity]pendingWithdrawal
	removed *lru.Cache[string, struct{}]
}

func newWithdrawalLog() withdrawalLog {
	removed, err := lru.New[string, struct{}](maxRemovedKeys)
	if err != nil {
		panic(err) // only a size below 1 is an error
	}
	return withdrawalLog{pending: map[keyIdentity]pendingWithdrawal{}, removed: removed}
}

// record adds withdrawals. It returns the number of new ones, and false if they exceed
// maxPendingWithdrawals. A withdrawal that the applied revision resolves is not new.
func (l *withdrawalLog) record(keys []withdrawnKey, current *config.Document, now time.Time) (int, bool) {
	added := 0
	for _, k := range keys {
		if _, known := l.pending[k.identity()]; known || resolves(current, k) {
			continue
		}
		if len(l.pending) >= maxPendingWithdrawals {
			return added, false
		}
		l.pending[k.identity()] = pendingWithdrawal{key: k, receivedAt: now}
		added++
	}
	return added, true
}

// resolves reports whether a document resolves a withdrawal: the document is not older
// than the revision of the withdrawal and does not contain the key.
func resolves(d *config.Document, k withdrawnKey) bool {
	if d == nil || d.Revision < k.Revision {
		return false
	}
	return !slices.ContainsFunc(d.ClientKeys, k.matches)
}

func (k withdrawnKey) matches(key config.ClientKey) bool {
	return key.ID == k.KeyID && key.Hash == k.Hash
}

// applyRevision removes the pending withdrawals that the new revision resolves and
// records the keys that it removed. A key ID that was created again is valid again.
func (l *withdrawalLog) applyRevision(old, current *config.Document) {
	for id, w := range l.pending {
		if resolves(current, w.key) {
			delete(l.pending, id)
			l.removed.Add(id.id, struct{}{})
		}
	}
	present := map[string]bool{}
	for _, k := range current.ClientKeys {
		present[k.ID] = true
		l.removed.Remove(k.ID)
	}
	if old == nil {
		return
	}
	for _, k := range old.ClientKeys {
		if !present[k.ID] {
			l.removed.Add(k.ID, struct{}{})
		}
	}
}

// withdrawnSet returns the IDs of all pending and removed keys.
func (l *withdrawalLog) withdrawnSet() *withdrawnSet {
	set := make(withdrawnSet, len(l.pending)+l.removed.Len())
	for id := range l.pending {
		set[id.id] = struct{}{}
	}
	for _, id := range l.removed.Keys() {
		set[id] = struct{}{}
	}
	return &set
}

// pendingKeys returns the keys of the pending withdrawals, sorted by ID.
func (l *withdrawalLog) pendingKeys() []withdrawnKey {
	keys := make([]withdrawnKey, 0, len(l.pending))
	for _, w := range l.pending {
		keys = append(keys, w.key)
	}
	slices.SortFunc(keys, func(a, b withdrawnKey) int { return cmp.Compare(a.KeyID, b.KeyID) })
	return keys
}

// oldestPending returns when the oldest pending withdrawal was received.
func (l *withdrawalLog) oldestPending() (time.Time, bool) {
	var oldest time.Time
	for _, w := range l.pending {
		if oldest.IsZero() || w.receivedAt.Before(oldest) {
			oldest = w.receivedAt
		}
	}
	return oldest, !oldest.IsZero()
}

// Withdrawn implements View.
func (f *Fleet) Withdrawn(keyID string) bool {
	_, withdrawn := (*f.withdrawn.Load())[keyID]
	return withdrawn
}

// recordWithdrawals makes withdrawals effective on this host. It returns false if they
// exceed maxPendingWithdrawals.
func (f *Fleet) recordWithdrawals(keys []withdrawnKey) bool {
	if len(keys) == 0 {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.recordWithdrawalsLocked(keys)
}

func (f *Fleet) recordWithdrawalsLocked(keys []withdrawnKey) bool {
	var current *config.Document
	if idx := f.index.Load(); idx != nil {
		current = idx.Document()
	}
	added, ok := f.withdrawals.record(keys, current, f.now())
	if added > 0 {
		f.withdrawn.Store(f.withdrawals.withdrawnSet())
		f.log.Info("enforcing key withdrawals before acceptance", "keys", added)
		signal(f.changed)
	}
	return ok
}
