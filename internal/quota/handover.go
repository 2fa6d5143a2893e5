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

// The pauses between two requests for a confirmation grow from the first to the
// last: a home applies a revision within milliseconds as a rule, and after a lost
// message within the period of the probes.
const (
	firstHandoverPause = 10 * time.Millisecond
	lastHandoverPause  = 320 * time.Millisecond
)

// collectPause is the time between two requests for the returns of released grants.
const collectPause = 200 * time.Millisecond

// maxHandoverAccounts bounds the accounts in a request, so that the reply with all
// their grants stays far below the largest frame.
const maxHandoverAccounts = 16

// handoverTimeout bounds one request for a confirmation.
const handoverTimeout = 500 * time.Millisecond

// errOtherIncarnation says that a home has restarted. It can no longer confirm.
var errOtherIncarnation = errors.New("another incarnation responded")

func homeID(m config.Member) limit.HomeID {
	return limit.HomeID{HostID: m.HostID, Incarnation: m.Incarnation}
}

// takingOver reports whether a handover to this host is under way. a.mu is held.
func (a *account) takingOver(now time.Time) bool {
	_, _, ok := a.state.AwaitedHomes(now)
	return ok
}

// startHandovers asks the homes that the revision takes shares from. l.mu is held.
func (l *FleetLimiter) startHandovers(revision uint64) {
	homes := map[limit.HomeID]config.Member{}
	for _, a := range l.accounts {
		a.mu.Lock()
		awaited, awaitedHomes, ok := a.state.AwaitedHomes(l.clock())
		if ok && awaited == revision {
			for _, m := range a.previous {
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

// takeOver asks a home for confirmations until it has given all or the ordinary wait
// is over, and then for the returns of the grants that it released.
func (l *FleetLimiter) takeOver(home config.Member, revision uint64) {
	for pause := firstHandoverPause; ; pause = min(2*pause, lastHandoverPause) {
		accounts, collecting := l.concernedWith(home, revision)
		if len(accounts) == 0 {
			return
		}
		for part := range slices.Chunk(accounts, maxHandoverAccounts) {
			err := l.askForConfirmation(home, revision, part)
			if err != nil {
				l.log.Debug("handover request failed", "host", home.HostID, "revision", revision, "error", err)
			}
			if errors.Is(err, errOtherIncarnation) {
				return
			}
		}
		if collecting {
			time.Sleep(min(pause, collectPause))
			continue
		}
		time.Sleep(pause)
	}
}

// concernedWith returns the accounts that need a confirmation of the home or collect
// returns from it, and whether any collects.
func (l *FleetLimiter) concernedWith(home config.Member, revision uint64) (accounts []*account, collecting bool) {
	for _, a := range l.all() {
		a.mu.Lock()
		now := l.clock()
		awaited, homes, awaits := a.state.AwaitedHomes(now)
		awaits = awaits && awaited == revision && slices.Contains(homes, homeID(home))
		handedOver, from, collects := a.state.PendingReturnHomes(now)
		collects = collects && handedOver == revision && slices.Contains(from, homeID(home))
		a.mu.Unlock()
		if awaits || collects {
			accounts = append(accounts, a)
		}
		collecting = collecting || collects
	}
	return accounts, collecting
}

func (l *FleetLimiter) askForConfirmation(home config.Member, revision uint64, accounts []*account) error {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	request := &HandoverRequest{Revision: revision, HostID: home.HostID, Incarnation: home.Incarnation}
	for _, a := range accounts {
		request.Accounts = append(request.Accounts, a.id)
	}
	var reply HandoverReply
	if err := l.caller.Call(ctx, home.InnerAddress, request, &reply); err != nil {
		return errors.Wrapf(err, "ask host %s for a handover", home.HostID)
	}
	if len(reply.Answers) == 0 {
		return errors.WithMessagef(errOtherIncarnation, "ask host %s for a handover", home.HostID)
	}
	if len(reply.Answers) != len(accounts) {
		return errors.Errorf("host %s answered for %d of %d accounts", home.HostID, len(reply.Answers), len(accounts))
	}
	for i, answer := range reply.Answers {
		if answer.Confirmed {
			l.confirmed(accounts[i], revision, home, answer)
		}
	}
	return nil
}

func (l *FleetLimiter) confirmed(a *account, revision uint64, home config.Member, answer HandoverAnswer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := l.clock()
	awaited := a.takingOver(now)
	c := limit.Confirmation{
		Settled: answer.Settled, Level: float64(answer.Level), GrantsExpireIn: time.Duration(answer.LapseMicros) * time.Microsecond,
	}
	for _, g := range answer.Grants {
		c.Grants = append(c.Grants, limit.ReleasedGrant{
			ID: limit.GrantID{Epoch: g.Epoch, Number: g.Number}, Tokens: g.Tokens,
			ExpiresIn: time.Duration(g.LapseMicros) * time.Microsecond, Closed: g.Reported, Returned: g.Returned,
		})
	}
	a.state.HandleConfirmation(now, revision, homeID(home), c)
	if awaited && !a.takingOver(now) {
		l.log.Debug("share is handed over", "account", a.id, "revision", revision)
	}
	l.serve(a, now)
}

// handleHandoverRequest answers as a home whose share has become smaller.
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
		reply.Answers = append(reply.Answers, l.confirm(id, m.Revision, to))
	}
	return reply, nil
}

func (l *FleetLimiter) confirm(accountID string, revision uint64, to limit.HomeID) HandoverAnswer {
	a, now, _, err := l.lockCurrent(accountID)
	if err != nil {
		return HandoverAnswer{}
	}
	defer a.mu.Unlock()
	c, ok := a.state.Confirm(now, revision, to)
	if !ok {
		return HandoverAnswer{}
	}
	answer := HandoverAnswer{
		Confirmed: true, Settled: c.Settled, Level: int64(c.Level), LapseMicros: lapseMicros(c.GrantsExpireIn),
	}
	for _, g := range c.Grants {
		answer.Grants = append(answer.Grants, ReleasedGrant{
			Epoch: g.ID.Epoch, Number: g.ID.Number, Tokens: g.Tokens, LapseMicros: lapseMicros(g.ExpiresIn),
			Reported: g.Closed, Returned: g.Returned,
		})
	}
	return answer
}

// HandedOver reports whether all hosts that take over shares of this host have asked
// for them. A host that stops must answer until then or until TakeoverWait is over.
func (l *FleetLimiter) HandedOver() bool {
	l.sync()
	for _, a := range l.all() {
		a.mu.Lock()
		unconfirmed := a.state.HasUnconfirmedHomes(l.clock())
		a.mu.Unlock()
		if unconfirmed {
			return false
		}
	}
	return true
}

// TakeoverWait is how long a host waits for shares that are not handed over.
func (l *FleetLimiter) TakeoverWait() time.Duration { return l.timing.TakeoverWait() }

// lapseMicros rounds up, so that no grant counts for too short a time.
func lapseMicros(d time.Duration) int64 { return int64((d + time.Microsecond - 1) / time.Microsecond) }
