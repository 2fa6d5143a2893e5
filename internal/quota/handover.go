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

// handoverTimeout bounds one request for a confirmation.
const handoverTimeout = 500 * time.Millisecond

func homeID(m config.Member) limit.HomeID {
	return limit.HomeID{HostID: m.HostID, Incarnation: m.Incarnation}
}

// takingOver reports whether a handover to this host is under way. a.mu is held.
func (a *account) takingOver(now time.Time) bool {
	_, _, ok := a.state.Awaiting(now)
	return ok
}

// startHandovers asks the homes that the revision takes shares from. l.mu is held.
func (l *FleetLimiter) startHandovers(revision uint64) {
	homes := map[limit.HomeID]config.Member{}
	for _, a := range l.accounts {
		a.mu.Lock()
		awaited, awaitedHomes, ok := a.state.Awaiting(l.clock())
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
// is over.
func (l *FleetLimiter) takeOver(home config.Member, revision uint64) {
	for pause := firstHandoverPause; ; pause = min(2*pause, lastHandoverPause) {
		accounts := l.awaitingHome(home, revision)
		if len(accounts) == 0 {
			return
		}
		if err := l.askForConfirmation(home, revision, accounts); err != nil {
			l.log.Debug("handover request failed", "host", home.HostID, "revision", revision, "error", err)
		}
		time.Sleep(pause)
	}
}

// awaitingHome returns the accounts that need a confirmation of the home.
func (l *FleetLimiter) awaitingHome(home config.Member, revision uint64) []*account {
	var accounts []*account
	for _, a := range l.all() {
		a.mu.Lock()
		awaited, homes, ok := a.state.Awaiting(l.clock())
		if ok && awaited == revision && slices.Contains(homes, homeID(home)) {
			accounts = append(accounts, a)
		}
		a.mu.Unlock()
	}
	return accounts
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
	a.state.Confirmed(now, revision, homeID(home), limit.Confirmation{
		Settled: answer.Settled, Level: float64(answer.Level), Outstanding: float64(answer.Outstanding),
		Lapse: time.Duration(answer.LapseMicros) * time.Microsecond,
	})
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
	return HandoverAnswer{
		Confirmed: true, Settled: c.Settled, Level: int64(c.Level), Outstanding: int64(c.Outstanding),
		LapseMicros: lapseMicros(c.Lapse),
	}
}

// HandedOver reports whether all hosts that take over shares of this host have asked
// for them. A host that stops must answer until then or until TakeoverWait is over.
func (l *FleetLimiter) HandedOver() bool {
	l.sync()
	for _, a := range l.all() {
		a.mu.Lock()
		unconfirmed := a.state.Unconfirmed(l.clock())
		a.mu.Unlock()
		if unconfirmed {
			return false
		}
	}
	return true
}

// TakeoverWait is how long a host waits for shares that are not handed over.
func (l *FleetLimiter) TakeoverWait() time.Duration { return l.terms.TakeoverWait() }

// lapseMicros rounds up, so that no grant counts for too short a time.
func lapseMicros(d time.Duration) int64 { return int64((d + time.Microsecond - 1) / time.Microsecond) }
