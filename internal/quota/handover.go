package quota

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/sequoiaroad/sequoiaroad/internal/wire"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/limit"
)

// The backoff between two requests for a confirmation grows from minHandoverBackoff to
// maxHandoverBackoff: a home usually applies a revision within milliseconds, or within
// the probe period if a message was lost.
const (
	minHandoverBackoff = 10 * time.Millisecond
	maxHandoverBackoff = 320 * time.Millisecond
)

// returnPollInterval is the time between two requests for the returns of released grants.
const returnPollInterval = 200 * time.Millisecond

// maxHandoverAccounts bounds the accounts in a request, so that the reply with all
// their grants stays far below the maximum frame size.
const maxHandoverAccounts = 16

// handoverTimeout bounds one request for a confirmation.
const handoverTimeout = 500 * time.Millisecond

// errOtherIncarnation means that a home has restarted and can no longer confirm.
var errOtherIncarnation = errors.New("another incarnation responded")

func homeID(m config.Member) limit.HomeID {
	return limit.HomeID{HostID: m.HostID, Incarnation: m.Incarnation}
}

// takingOver reports whether a handover to this host is in progress. a.mu is held.
func (a *account) takingOver(now time.Time) bool {
	_, _, ok := a.state.AwaitedHomes(now)
	return ok
}

// startHandovers starts the takeover from each home whose share the revision reduces.
// l.mu is held.
func (l *FleetLimiter) startHandovers(revision uint64) {
	homes := map[limit.HomeID]config.Member{}
	for _, a := range l.accounts {
		a.mu.Lock()
		awaited, awaitedHomes, ok := a.state.AwaitedHomes(l.clock())
		if ok && awaited == revision {
			for _, m := range a.previousHomes {
				if slices.Contains(awaitedHomes, homeID(m)) {
					homes[homeID(m)] = m
				}
			}
		}
		a.mu.Unlock()
	}
	for _, m := range homes {
		go l.takeOver(m, revision)
	}
}

// takeOver requests confirmations from a home until all have arrived or TakeoverWait has
// passed, and then polls for returns of the grants that the home released.
func (l *FleetLimiter) takeOver(home config.Member, revision uint64) {
	for backoff := minHandoverBackoff; ; backoff = min(2*backoff, maxHandoverBackoff) {
		accounts, collecting := l.pendingAccounts(home, revision)
		if len(accounts) == 0 {
			return
		}
		for chunk := range slices.Chunk(accounts, maxHandoverAccounts) {
			err := l.requestConfirmation(home, revision, chunk)
			if err != nil {
				l.log.Debug("handover request failed", "host", home.HostID, "revision", revision, "error", err)
			}
			if errors.Is(err, errOtherIncarnation) {
				return
			}
		}
		if collecting {
			time.Sleep(min(backoff, returnPollInterval))
			continue
		}
		time.Sleep(backoff)
	}
}

// pendingAccounts returns the accounts that await a confirmation of the home or collect
// returns from it, and whether any of them collects returns.
func (l *FleetLimiter) pendingAccounts(home config.Member, revision uint64) (accounts []*account, collecting bool) {
	for _, a := range l.allAccounts() {
		a.mu.Lock()
		now := l.clock()
		awaited, homes, awaits := a.state.AwaitedHomes(now)
		awaits = awaits && awaited == revision && slices.Contains(homes, homeID(home))
		handedOver, returnHomes, collects := a.state.PendingReturnHomes(now)
		collects = collects && handedOver == revision && slices.Contains(returnHomes, homeID(home))
		a.mu.Unlock()
		if awaits || collects {
			accounts = append(accounts, a)
		}
		collecting = collecting || collects
	}
	return accounts, collecting
}

func (l *FleetLimiter) requestConfirmation(home config.Member, revision uint64, accounts []*account) error {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	request := &HandoverRequest{Revision: revision, HostID: home.HostID, Incarnation: home.Incarnation}
	for _, a := range accounts {
		request.Accounts = append(request.Accounts, a.id)
	}
	var reply HandoverReply
	if err := l.caller.Call(ctx, home.InnerAddress, request, &reply); err != nil {
		return errors.Wrapf(err, "request handover from host %s", home.HostID)
	}
	if len(reply.Results) == 0 {
		return errors.WithMessagef(errOtherIncarnation, "request handover from host %s", home.HostID)
	}
	if len(reply.Results) != len(accounts) {
		return errors.Errorf("host %s returned results for %d of %d accounts", home.HostID, len(reply.Results), len(accounts))
	}
	for i, result := range reply.Results {
		if result.Confirmed {
			l.handleConfirmation(accounts[i], revision, home, result)
		}
	}
	return nil
}

func (l *FleetLimiter) handleConfirmation(a *account, revision uint64, home config.Member, result HandoverResult) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := l.clock()
	awaited := a.takingOver(now)
	c := limit.Confirmation{
		Settled: result.Settled, Level: float64(result.Level), GrantsExpireIn: time.Duration(result.GrantExpiryMicros) * time.Microsecond,
	}
	for _, g := range result.Grants {
		c.Grants = append(c.Grants, limit.ReleasedGrant{
			ID: limit.GrantID{Epoch: g.Epoch, Number: g.Number}, Tokens: g.Tokens,
			ExpiresIn: time.Duration(g.ExpiryMicros) * time.Microsecond, Closed: g.Closed, Returned: g.Returned,
		})
	}
	a.state.HandleConfirmation(now, revision, homeID(home), c)
	if awaited && !a.takingOver(now) {
		l.log.Debug("handover completed", "account", a.id, "revision", revision)
	}
	l.serveWaiters(a, now)
}

// handleHandoverRequest responds as a home whose share has become smaller.
func (l *FleetLimiter) handleHandoverRequest(_ context.Context, from wire.Peer, request wire.Request) (wire.Message, error) {
	var m HandoverRequest
	if err := msgpack.Unmarshal(request.Body, &m); err != nil {
		return nil, errors.Wrapf(err, "decode handover request of host %s", from.HostID)
	}
	reply := &HandoverReply{}
	if self := l.view.Self(); m.HostID != self.HostID || m.Incarnation != self.Incarnation {
		return reply, nil
	}
	to := limit.HomeID{HostID: from.HostID, Incarnation: from.Incarnation}
	for _, id := range m.Accounts {
		reply.Results = append(reply.Results, l.confirmRelease(id, m.Revision, to))
	}
	return reply, nil
}

func (l *FleetLimiter) confirmRelease(accountID string, revision uint64, to limit.HomeID) HandoverResult {
	a, now, _, err := l.lockCurrent(accountID)
	if err != nil {
		return HandoverResult{}
	}
	defer a.mu.Unlock()
	c, ok := a.state.Confirm(now, revision, to)
	if !ok {
		return HandoverResult{}
	}
	result := HandoverResult{
		Confirmed: true, Settled: c.Settled, Level: int64(c.Level), GrantExpiryMicros: expiryMicros(c.GrantsExpireIn),
	}
	for _, g := range c.Grants {
		result.Grants = append(result.Grants, ReleasedGrant{
			Epoch: g.ID.Epoch, Number: g.ID.Number, Tokens: g.Tokens, ExpiryMicros: expiryMicros(g.ExpiresIn),
			Closed: g.Closed, Returned: g.Returned,
		})
	}
	return result
}

// HandedOver reports whether all hosts that take over shares of this host have requested
// them. A stopping host must keep responding until then or until TakeoverWait has passed.
func (l *FleetLimiter) HandedOver() bool {
	l.applyLatest()
	for _, a := range l.allAccounts() {
		a.mu.Lock()
		unconfirmed := a.state.HasUnconfirmedHomes(l.clock())
		a.mu.Unlock()
		if unconfirmed {
			return false
		}
	}
	return true
}

// TakeoverWait returns how long a host waits before it takes over shares that are not
// handed over.
func (l *FleetLimiter) TakeoverWait() time.Duration { return l.timing.TakeoverWait() }

// expiryMicros converts d to microseconds, rounded up so that no grant expires too early.
func expiryMicros(d time.Duration) int64 { return int64((d + time.Microsecond - 1) / time.Microsecond) }
