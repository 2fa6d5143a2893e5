package fleet

import (
	"cmp"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

const (
	// maxRemovedKeys bounds the keys remembered as withdrawn after they left the
	// configuration; streams under such a key end within seconds.
	maxRemovedKeys = 4096
	// maxOpenWithdrawals bounds the withdrawals that wait to be accepted. Beyond it
	// a withdrawal message is refused.
	maxOpenWithdrawals = 4096
)

// withdrawnSet is an immutable set of withdrawn key ids.
type withdrawnSet map[string]struct{}

// openWithdrawal is a withdrawal that no applied revision contains.
type openWithdrawal struct {
	key     withdrawnKey
	heardAt time.Time
}

// keyIdentity tells a key from a later one with the same id.
type keyIdentity struct {
	id   string
	hash config.KeyHash
}

func (k withdrawnKey) identity() keyIdentity { return keyIdentity{k.KeyID, k.Hash} }

// withdrawalLog keeps the withdrawals that were heard and the keys that have left
// the configuration.
type withdrawalLog struct {
	open    map[keyIdentity]openWithdrawal
	removed *lru.Cache[string, struct{}]
}

func newWithdrawalLog() withdrawalLog {
	removed, err := lru.New[string, struct{}](maxRemovedKeys)
	if err != nil {
		panic(err) // only a size below 1 is an error
	}
	return withdrawalLog{open: map[keyIdentity]openWithdrawal{}, removed: removed}
}

// hear records withdrawals. It returns the number of new ones, and false if there
// is no room for all of them. A withdrawal that an applied revision settles is not
// new.
func (l *withdrawalLog) hear(keys []withdrawnKey, current *config.Document, now time.Time) (int, bool) {
	heard := 0
	for _, k := range keys {
		if _, known := l.open[k.identity()]; known || settles(current, k) {
			continue
		}
		if len(l.open) >= maxOpenWithdrawals {
			return heard, false
		}
		l.open[k.identity()] = openWithdrawal{key: k, heardAt: now}
		heard++
	}
	return heard, true
}

// settles reports whether a document makes an open withdrawal superfluous: it is not
// older than the withdrawal and does not hold the key.
func settles(d *config.Document, k withdrawnKey) bool {
	if d == nil || d.Revision < k.Revision {
		return false
	}
	return !slices.ContainsFunc(d.ClientKeys, k.matches)
}

func (k withdrawnKey) matches(key config.ClientKey) bool {
	return key.ID == k.KeyID && key.Hash == k.Hash
}

// applied drops the open withdrawals that the new revision settles and remembers
// the keys that it removed. A key id that was created again is valid again.
func (l *withdrawalLog) applied(old, current *config.Document) {
	for id, o := range l.open {
		if settles(current, o.key) {
			delete(l.open, id)
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

func (l *withdrawalLog) set() *withdrawnSet {
	set := make(withdrawnSet, len(l.open)+l.removed.Len())
	for id := range l.open {
		set[id.id] = struct{}{}
	}
	for _, id := range l.removed.Keys() {
		set[id] = struct{}{}
	}
	return &set
}

// list returns the open withdrawals in a stable order.
func (l *withdrawalLog) list() []withdrawnKey {
	keys := make([]withdrawnKey, 0, len(l.open))
	for _, o := range l.open {
		keys = append(keys, o.key)
	}
	slices.SortFunc(keys, func(a, b withdrawnKey) int { return cmp.Compare(a.KeyID, b.KeyID) })
	return keys
}

// oldest returns when the oldest open withdrawal was heard.
func (l *withdrawalLog) oldest() (time.Time, bool) {
	var oldest time.Time
	for _, o := range l.open {
		if oldest.IsZero() || o.heardAt.Before(oldest) {
			oldest = o.heardAt
		}
	}
	return oldest, !oldest.IsZero()
}

// Withdrawn implements View.
func (f *Fleet) Withdrawn(keyID string) bool {
	_, withdrawn := (*f.withdrawn.Load())[keyID]
	return withdrawn
}

// hear puts withdrawals in force on this host; false if there is no room.
func (f *Fleet) hear(keys []withdrawnKey) bool {
	if len(keys) == 0 {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hearLocked(keys)
}

func (f *Fleet) hearLocked(keys []withdrawnKey) bool {
	var current *config.Document
	if x := f.index.Load(); x != nil {
		current = x.Document()
	}
	heard, ok := f.withdrawals.hear(keys, current, f.now())
	if heard > 0 {
		f.withdrawn.Store(f.withdrawals.set())
		f.log.Info("withdrawal in force before acceptance", "keys", heard)
		signal(f.changed)
	}
	return ok
}
