package quota

import (
	"cmp"
	"slices"
)

// AccountStatus is the state of an account on this host, for operators.
type AccountStatus struct {
	AccountID string `json:"account_id"`
	Owner     string `json:"owner"`
	// Rank is 0 on the owner, positive on the other homes and negative elsewhere.
	Rank int `json:"rank"`
	// Level, BurstTokens and Outstanding describe the host's pool; zero if it has
	// none.
	Level       int64 `json:"level_tokens"`
	BurstTokens int64 `json:"burst_tokens"`
	Outstanding int64 `json:"outstanding_tokens"`
	// Held counts tokens granted by other hosts that this host has not spent.
	Held int64 `json:"held_tokens"`
	// Granted counts tokens granted to other hosts and Reserved tokens reserved by
	// requests on this host, both since the start. Refused counts requests.
	Granted  int64 `json:"granted_tokens_total"`
	Reserved int64 `json:"reserved_tokens_total"`
	Refused  int64 `json:"refused_requests_total"`
	Waiting  int   `json:"waiting_requests"`
}

// Status returns the state of all accounts, sorted by id.
func (l *FleetLimiter) Status() []AccountStatus {
	l.applyLatest()
	var all []AccountStatus
	for _, a := range l.allAccounts() {
		all = append(all, l.accountStatus(a))
	}
	slices.SortFunc(all, func(x, y AccountStatus) int { return cmp.Compare(x.AccountID, y.AccountID) })
	return all
}

func (l *FleetLimiter) accountStatus(a *account) AccountStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := l.clock()
	s := AccountStatus{
		AccountID: a.id,
		Rank:      a.state.Role().Rank,
		Held:      a.state.Holder().Free(now),
		Granted:   a.granted.Load(), Reserved: a.reserved.Load(), Refused: a.refused.Load(),
		Waiting: len(a.waiters),
	}
	if len(a.homes) > 0 {
		s.Owner = a.homes[0].HostID
	}
	if pool := a.state.Pool(); pool != nil {
		s.Level, s.Outstanding = int64(pool.Level(now)), int64(pool.Outstanding(now))
		s.BurstTokens = int64(pool.Burst())
	}
	return s
}
