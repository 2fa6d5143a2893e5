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

// refreshInterval is the period of prefetches and returns. It is a fraction of the grant
// lifetime, so that a new grant arrives before the previous one expires.
const refreshInterval = limit.DefaultGrantLifetime / 4

// minRetryInterval is the shortest time between two grant requests for waiting
// reservations of an account.
const minRetryInterval = 20 * time.Millisecond

// handleGrantRequest responds as a home of the requested accounts.
func (l *FleetLimiter) handleGrantRequest(_ context.Context, from wire.Peer, request wire.Request) (wire.Message, error) {
	var m GrantRequest
	if err := msgpack.Unmarshal(request.Body, &m); err != nil {
		return nil, errors.Wrapf(err, "decode grant request of host %s", from.HostID)
	}
	reply := &GrantReply{Revision: m.Revision, Results: make([]GrantResult, len(m.Items))}
	l.creditReturns(m.Returned)
	for i, item := range m.Items {
		reply.Results[i] = l.issueGrant(m.Revision, item)
	}
	return reply, nil
}

// issueGrant issues one grant if this host is a fresh home of the account and applies the
// same revision.
func (l *FleetLimiter) issueGrant(revision uint64, item GrantRequestItem) GrantResult {
	a, now, fresh, err := l.lockCurrent(item.Account)
	if err != nil {
		return GrantResult{Status: GrantNotHome}
	}
	defer a.mu.Unlock()
	pool := a.state.Pool()
	switch {
	case a.state.Role().Revision != revision:
		return GrantResult{Status: GrantRevisionMismatch}
	case !fresh:
		return GrantResult{Status: GrantNotFresh}
	case pool == nil:
		return GrantResult{Status: GrantNotHome}
	case !pool.Started(now):
		return GrantResult{Status: GrantTakeoverPending}
	}
	// Reservations that wait on this host have priority.
	waiting := a.waitingTokens()
	wait, ok := pool.TimeUntil(now, item.Need+waiting)
	if ok && wait == 0 {
		want := max(item.Need, min(item.Want, int64(pool.Level(now))-waiting))
		if id, tokens, issued := pool.Issue(now, item.Need, want); issued {
			a.granted.Add(tokens)
			return GrantResult{Status: GrantIssued, Epoch: id.Epoch, Number: id.Number, Tokens: tokens}
		}
	}
	if a.takingOver(now) {
		return GrantResult{Status: GrantTakeoverPending}
	}
	return GrantResult{Status: GrantInsufficientTokens, RetryAfterMillis: wait.Milliseconds() + 1}
}

// handleGrantReturn credits unspent tokens to the pools that granted them.
func (l *FleetLimiter) handleGrantReturn(_ context.Context, from wire.Peer, request wire.Request) (wire.Message, error) {
	var m GrantReturn
	if err := msgpack.Unmarshal(request.Body, &m); err != nil {
		return nil, errors.Wrapf(err, "decode grant return of host %s", from.HostID)
	}
	l.creditReturns(m.Returned)
	return &GrantReturnAck{}, nil
}

func (l *FleetLimiter) creditReturns(returned []ReturnedTokens) {
	for _, r := range returned {
		a, now, _, err := l.lockCurrent(r.Account)
		if err != nil {
			continue
		}
		a.state.Return(now, limit.GrantID{Epoch: r.Epoch, Number: r.Number}, r.Total)
		l.serveWaiters(a, now)
		a.mu.Unlock()
	}
}

// requestForWaiters requests grants for the waiters of an account. It requests all tokens
// that the first waiter lacks from the owner and, if the owner does not grant them, any
// number of them from the other homes. An owner that did not reply last time gets its
// request last, so that its timeout does not delay the requests to the other homes.
func (l *FleetLimiter) requestForWaiters(a *account) {
	a.mu.Lock()
	revision, homes, ownerLast := a.state.Role().Revision, a.homes, a.homesUnreachable
	need, want := l.demand(a, l.clock())
	a.mu.Unlock()

	// Half of the maximum wait leaves time for a request to a second home.
	timeout := min(l.timing.GrantLifetime, max(time.Duration(l.maxWait.Load())/2, minRetryInterval))
	outcome := requestOutcome{need: need}
	for i := range homes {
		rank := i
		if ownerLast {
			rank = (i + 1) % len(homes)
		}
		if outcome.granted >= need {
			break
		}
		if l.isSelf(homes[rank]) {
			outcome.conclusive = outcome.conclusive || rank == 0
			continue
		}
		item := GrantRequestItem{Account: a.id, Need: need, Want: want}
		if rank > 0 {
			item.Need, item.Want = 0, need-outcome.granted
		}
		request := &GrantRequest{
			Revision: revision, Items: []GrantRequestItem{item}, Returned: l.collectReturnsTo(a, homes[rank].InnerAddress),
		}
		if results := l.sendGrantRequest(homes[rank], request, timeout); results != nil {
			outcome.add(rank, results[0])
		}
	}
	l.finishRequest(a, outcome)
}

// collectReturnsTo collects the account's returns to one issuer. If the message that
// carries them fails, their tokens count as spent.
func (l *FleetLimiter) collectReturnsTo(a *account, issuer string) []ReturnedTokens {
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

// requestOutcome summarizes the results of the homes.
type requestOutcome struct {
	need, granted int64
	// conclusive is set if the owner's result shows how many tokens the account has left.
	conclusive bool
	// retryAfter is the owner's estimate; zero if there is none.
	retryAfter time.Duration
}

func (r *requestOutcome) add(rank int, result GrantResult) {
	r.granted += result.Tokens
	if rank != 0 {
		return
	}
	r.conclusive = result.Status == GrantIssued || result.Status == GrantInsufficientTokens
	if result.Status == GrantInsufficientTokens {
		r.retryAfter = time.Duration(result.RetryAfterMillis) * time.Millisecond
	}
}

func (l *FleetLimiter) finishRequest(a *account, r requestOutcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := l.clock()
	a.requesting, a.unmetNeed = false, 0
	a.homesUnreachable = !r.conclusive && r.need > 0
	a.retryAt = now
	if r.granted < r.need {
		a.retryAt, a.unmetNeed = now.Add(max(r.retryAfter, minRetryInterval)), r.need
	}
	l.serveWaiters(a, now)
	l.refuseUnservable(a, now)
}

// demand returns the tokens that the first waiter lacks, and those of all waiters
// plus the use expected soon.
func (l *FleetLimiter) demand(a *account, now time.Time) (need, want int64) {
	if len(a.waiters) == 0 {
		return 0, 0
	}
	available := a.state.Available(now)
	need = a.waiters[0].tokens - available
	return need, a.waitingTokens() - available + a.state.Holder().PrefetchTokens(now)
}

func (l *FleetLimiter) isSelf(m config.Member) bool {
	self := l.view.Self()
	return m.HostID == self.HostID && m.Incarnation == self.Incarnation
}

// sendGrantRequest sends a request and accepts the grants of the reply. It returns the
// results, or nil if there is no valid reply.
func (l *FleetLimiter) sendGrantRequest(home config.Member, m *GrantRequest, timeout time.Duration) []GrantResult {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	sent := l.clock()
	var reply GrantReply
	if err := l.caller.Call(ctx, home.InnerAddress, m, &reply); err != nil {
		l.log.Debug("grant request failed", "host", home.HostID, "error", err)
		return nil
	}
	if reply.Revision != m.Revision || len(reply.Results) != len(m.Items) {
		l.log.Warn("grant reply does not match its request", "host", home.HostID)
		return nil
	}
	for i, result := range reply.Results {
		if result.Status == GrantIssued {
			l.acceptGrant(home, m.Items[i].Account, reply.Revision, result, sent)
		}
	}
	return reply.Results
}

func (l *FleetLimiter) acceptGrant(home config.Member, accountID string, revision uint64, result GrantResult, sent time.Time) {
	a, now, _, err := l.lockCurrent(accountID)
	if err != nil {
		return
	}
	defer a.mu.Unlock()
	g := &limit.Grant{
		ID:       limit.GrantID{Epoch: result.Epoch, Number: result.Number},
		Revision: revision, Issuer: home.InnerAddress,
	}
	a.state.Holder().Accept(now, g, result.Tokens, sent)
	l.serveWaiters(a, now)
}

// Run prefetches grants and returns unspent ones until ctx ends.
func (l *FleetLimiter) Run(ctx context.Context) error {
	clock.Every(ctx, refreshInterval, l.refresh)
	return nil
}

// refresh sends the returns that are due and the prefetch requests, one message of each
// kind per home.
func (l *FleetLimiter) refresh() {
	l.applyLatest()
	returns := l.collectReturns(false)
	requests := l.collectPrefetches()
	for address, m := range returns {
		go func() { _ = l.sendReturn(context.Background(), address, m) }()
	}
	for owner, m := range requests {
		// At most one prefetch per owner, so that requests to an unresponsive owner do not
		// accumulate.
		if _, busy := l.prefetching.LoadOrStore(owner.InnerAddress, struct{}{}); busy {
			continue
		}
		go func() {
			defer l.prefetching.Delete(owner.InnerAddress)
			l.sendGrantRequest(owner, m, l.timing.GrantLifetime)
		}()
	}
}

func (l *FleetLimiter) collectPrefetches() map[config.Member]*GrantRequest {
	requests := map[config.Member]*GrantRequest{}
	for _, a := range l.allAccounts() {
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
					requests[owner].Items = append(requests[owner].Items, GrantRequestItem{Account: a.id, Want: want})
				}
			}
		}
		a.mu.Unlock()
	}
	return requests
}

func (l *FleetLimiter) collectReturns(all bool) map[string]*GrantReturn {
	messages := map[string]*GrantReturn{}
	for _, a := range l.allAccounts() {
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

// returnAttempts bounds how often a return is sent. Tokens of a lost return count as
// spent; a return that arrives twice is credited once.
const returnAttempts = 2

// sendReturn sends one message and retries if it fails. All attempts together take at most
// the lifetime of a grant, after which the home counts the tokens as spent anyway.
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

// ReturnGrants returns all unspent grants, for example before a planned stop. It tries
// every home and returns the first error.
func (l *FleetLimiter) ReturnGrants(ctx context.Context) error {
	var firstErr error
	for address, m := range l.collectReturns(true) {
		if err := l.sendReturn(ctx, address, m); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

// allAccounts returns the accounts of the applied revision.
func (l *FleetLimiter) allAccounts() []*account {
	l.mu.RLock()
	defer l.mu.RUnlock()
	all := make([]*account, 0, len(l.accounts))
	for _, a := range l.accounts {
		all = append(all, a)
	}
	return all
}
