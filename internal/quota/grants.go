package quota

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/clock"
	"github.com/sequoiaroad/sequoiaroad/internal/wire"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/limit"
)

// refreshInterval is the period of prefetch and returns: several times per
// lifetime, so that held grants overlap.
const refreshInterval = limit.DefaultGrantLifetime / 4

// retryPause is the shortest time between two requests for waiting reservations.
const retryPause = 20 * time.Millisecond

// handleGrantRequest answers as a home.
func (l *FleetLimiter) handleGrantRequest(_ context.Context, from wire.Peer, request wire.Request) (wire.Message, error) {
	var m GrantRequest
	if err := msgpack.Unmarshal(request.Body, &m); err != nil {
		return nil, errors.Wrapf(err, "decode grant request of host %s", from.HostID)
	}
	reply := &GrantReply{Revision: m.Revision, Answers: make([]GrantAnswer, len(m.Asks))}
	l.takeBack(m.Returned)
	for i, ask := range m.Asks {
		reply.Answers[i] = l.answer(m.Revision, ask)
	}
	return reply, nil
}

// answer issues one grant. Only a fresh home of the same revision grants.
func (l *FleetLimiter) answer(revision uint64, ask GrantAsk) GrantAnswer {
	a, now, fresh, err := l.lockCurrent(ask.Account)
	if err != nil {
		return GrantAnswer{Status: GrantNotHome}
	}
	defer a.mu.Unlock()
	pool := a.state.Pool()
	switch {
	case a.state.Role().Revision != revision:
		return GrantAnswer{Status: GrantOtherRevision}
	case !fresh:
		return GrantAnswer{Status: GrantNotFresh}
	case pool == nil:
		return GrantAnswer{Status: GrantNotHome}
	case !pool.Started(now):
		return GrantAnswer{Status: GrantStarting}
	}
	// Reservations that wait here came first.
	waiting := a.waiting()
	wait, ok := pool.TimeUntil(now, ask.Need+waiting)
	if ok && wait == 0 {
		want := max(ask.Need, min(ask.Want, int64(pool.Level(now))-waiting))
		if id, tokens, issued := pool.Issue(now, ask.Need, want); issued {
			a.granted.Add(tokens)
			return GrantAnswer{Status: GrantIssued, Epoch: id.Epoch, Number: id.Number, Tokens: tokens}
		}
	}
	if a.takingOver(now) {
		return GrantAnswer{Status: GrantStarting}
	}
	return GrantAnswer{Status: GrantShort, RetryAfterMillis: wait.Milliseconds() + 1}
}

// handleGrantReturn takes back unspent tokens.
func (l *FleetLimiter) handleGrantReturn(_ context.Context, from wire.Peer, request wire.Request) (wire.Message, error) {
	var m GrantReturn
	if err := msgpack.Unmarshal(request.Body, &m); err != nil {
		return nil, errors.Wrapf(err, "decode grant return of host %s", from.HostID)
	}
	l.takeBack(m.Returned)
	return &GrantReturnAck{}, nil
}

func (l *FleetLimiter) takeBack(returned []ReturnedTokens) {
	for _, r := range returned {
		a, now, _, err := l.lockCurrent(r.Account)
		if err != nil {
			continue
		}
		a.state.Return(now, limit.GrantID{Epoch: r.Epoch, Number: r.Number}, r.Total)
		l.serve(a, now)
		a.mu.Unlock()
	}
}

// ask requests grants for the waiters of an account: all that the first one lacks
// from the owner or, failing that, any part of it from the other homes. An owner
// that did not answer last time is asked last, so that it delays nothing.
func (l *FleetLimiter) ask(a *account) {
	a.mu.Lock()
	revision, homes, ownerLast := a.state.Role().Revision, a.homes, a.homesOut
	need, want := l.demand(a, l.clock())
	a.mu.Unlock()

	// Half of the longest wait leaves time for a second home.
	timeout := min(l.timing.GrantLifetime, max(time.Duration(l.maxWait.Load())/2, retryPause))
	result := askResult{need: need}
	for i := range homes {
		rank := i
		if ownerLast {
			rank = (i + 1) % len(homes)
		}
		if result.lent >= need {
			break
		}
		if l.isSelf(homes[rank]) {
			result.reached = result.reached || rank == 0
			continue
		}
		ask := GrantAsk{Account: a.id, Need: need, Want: want}
		if rank > 0 {
			ask.Need, ask.Want = 0, need-result.lent
		}
		request := &GrantRequest{
			Revision: revision, Asks: []GrantAsk{ask}, Returned: l.returnsTo(a, homes[rank].InnerAddress),
		}
		if answers := l.request(homes[rank], request, timeout); answers != nil {
			result.add(rank, answers[0])
		}
	}
	l.finishAsk(a, result)
}

// returnsTo collects the account's returns to one issuer. If the message fails, their
// tokens count as spent.
func (l *FleetLimiter) returnsTo(a *account, issuer string) []ReturnedTokens {
	a.mu.Lock()
	defer a.mu.Unlock()
	var returned []ReturnedTokens
	for _, r := range a.state.Holder().TakeReturnsTo(l.clock(), issuer) {
		returned = append(returned, returnedTokens(a.id, r))
	}
	return returned
}

func returnedTokens(accountID string, r limit.Return) ReturnedTokens {
	return ReturnedTokens{Account: accountID, Epoch: r.ID.Epoch, Number: r.ID.Number, Total: r.Total}
}

// askResult sums up the answers of the homes.
type askResult struct {
	need, lent int64
	// reached says that a home's answer shows what the account has left.
	reached bool
	// retry is the owner's estimate; zero if it gave none.
	retry time.Duration
}

func (r *askResult) add(rank int, answer GrantAnswer) {
	r.lent += answer.Tokens
	if rank != 0 {
		return
	}
	r.reached = answer.Status == GrantIssued || answer.Status == GrantShort
	if answer.Status == GrantShort {
		r.retry = time.Duration(answer.RetryAfterMillis) * time.Millisecond
	}
}

func (l *FleetLimiter) finishAsk(a *account, r askResult) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := l.clock()
	a.asking, a.shortNeed = false, 0
	a.homesOut = !r.reached && r.need > 0
	a.askAfter = now
	if r.lent < r.need {
		a.askAfter, a.shortNeed = now.Add(max(r.retry, retryPause)), r.need
	}
	l.serve(a, now)
	l.refuseHopeless(a, now)
}

// demand returns the tokens that the first waiter lacks, and those of all waiters
// plus the use expected soon.
func (l *FleetLimiter) demand(a *account, now time.Time) (need, want int64) {
	if len(a.waiters) == 0 {
		return 0, 0
	}
	available := a.state.Available(now)
	need = a.waiters[0].tokens - available
	return need, a.waiting() - available + a.state.Holder().PrefetchTokens(now)
}

func (l *FleetLimiter) isSelf(m config.Member) bool {
	self := l.view.Self()
	return m.HostID == self.HostID && m.Incarnation == self.Incarnation
}

// request sends a request and accepts the grants of the reply. It returns the
// answers, or nil if there is no valid reply.
func (l *FleetLimiter) request(home config.Member, m *GrantRequest, timeout time.Duration) []GrantAnswer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	sent := l.clock()
	var reply GrantReply
	if err := l.caller.Call(ctx, home.InnerAddress, m, &reply); err != nil {
		l.log.Debug("grant request failed", "host", home.HostID, "error", err)
		return nil
	}
	if reply.Revision != m.Revision || len(reply.Answers) != len(m.Asks) {
		l.log.Warn("grant reply does not match its request", "host", home.HostID)
		return nil
	}
	for i, answer := range reply.Answers {
		if answer.Status == GrantIssued {
			l.accept(home, m.Asks[i].Account, reply.Revision, answer, sent)
		}
	}
	return reply.Answers
}

func (l *FleetLimiter) accept(home config.Member, accountID string, revision uint64, answer GrantAnswer, sent time.Time) {
	a, now, _, err := l.lockCurrent(accountID)
	if err != nil {
		return
	}
	defer a.mu.Unlock()
	g := &limit.Grant{
		ID:       limit.GrantID{Epoch: answer.Epoch, Number: answer.Number},
		Revision: revision, Issuer: home.InnerAddress,
	}
	a.state.Holder().Accept(now, g, answer.Tokens, sent)
	l.serve(a, now)
}

// Run prefetches grants and returns unspent ones until ctx ends.
func (l *FleetLimiter) Run(ctx context.Context) error {
	clock.Every(ctx, refreshInterval, l.refresh)
	return nil
}

// refresh starts one round of returns and prefetch per home that is concerned.
func (l *FleetLimiter) refresh() {
	l.sync()
	returns := l.collectReturns(false)
	requests := l.collectAsks()
	for address, m := range returns {
		go func() { _ = l.sendReturn(context.Background(), address, m) }()
	}
	for owner, m := range requests {
		// An owner that does not answer must not pile up requests.
		if _, busy := l.sending.LoadOrStore(owner.InnerAddress, struct{}{}); busy {
			continue
		}
		go func() {
			defer l.sending.Delete(owner.InnerAddress)
			l.request(owner, m, l.timing.GrantLifetime)
		}()
	}
}

func (l *FleetLimiter) collectAsks() map[config.Member]*GrantRequest {
	requests := map[config.Member]*GrantRequest{}
	for _, a := range l.all() {
		a.mu.Lock()
		now := l.clock()
		role := a.state.Role()
		if role.Rank != 0 && len(a.homes) > 0 {
			if want := a.state.Holder().PrefetchTokens(now); want > 0 {
				owner := a.homes[0]
				if requests[owner] == nil {
					requests[owner] = &GrantRequest{Revision: role.Revision}
				}
				if requests[owner].Revision == role.Revision {
					requests[owner].Asks = append(requests[owner].Asks, GrantAsk{Account: a.id, Want: want})
				}
			}
		}
		a.mu.Unlock()
	}
	return requests
}

func (l *FleetLimiter) collectReturns(all bool) map[string]*GrantReturn {
	messages := map[string]*GrantReturn{}
	for _, a := range l.all() {
		a.mu.Lock()
		due := a.state.Holder().TakeReturns(l.clock(), all)
		a.mu.Unlock()
		for _, r := range due {
			m := messages[r.Issuer]
			if m == nil {
				m = &GrantReturn{}
				messages[r.Issuer] = m
			}
			m.Returned = append(m.Returned, returnedTokens(a.id, r))
		}
	}
	return messages
}

// returnAttempts is how often a return is sent: tokens of a lost one count as spent,
// and a message that arrives twice credits nothing twice.
const returnAttempts = 2

// sendReturn sends one message, again if it fails. All attempts together take at most
// the lifetime of a grant, after which the tokens count as spent at the home anyway.
func (l *FleetLimiter) sendReturn(ctx context.Context, address string, m *GrantReturn) error {
	var err error
	for range returnAttempts {
		attempt, cancel := context.WithTimeout(ctx, l.timing.GrantLifetime/returnAttempts)
		err = l.caller.Call(attempt, address, m, &GrantReturnAck{})
		cancel()
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	if err != nil {
		l.log.Debug("grant return failed", "address", address, "error", err)
	}
	return errors.Wrapf(err, "return grants to %s", address)
}

// Return gives all unspent grants back, as before a planned stop. It tries every
// home and returns the first error.
func (l *FleetLimiter) Return(ctx context.Context) error {
	var first error
	for address, m := range l.collectReturns(true) {
		if err := l.sendReturn(ctx, address, m); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// all returns the accounts of the applied revision.
func (l *FleetLimiter) all() []*account {
	l.mu.RLock()
	defer l.mu.RUnlock()
	all := make([]*account, 0, len(l.accounts))
	for _, a := range l.accounts {
		all = append(all, a)
	}
	return all
}
