package routing

import (
	"math"
	"time"
)

const (
	// defaultTokenCost is the prefill cost in seconds per token until one is learned.
	defaultTokenCost = 0.0001
	minTokenCost     = 1e-6
	maxTokenCost     = 1e-2
	// minSampleTokens is the smallest prefill used as a sample. In smaller ones the
	// fixed costs of a request hide the cost per token.
	minSampleTokens = 200
	// learningRate is the weight of a new sample; ten samples replace most of the old
	// value.
	learningRate = 0.2
	// maxReportLag bounds the assumed age of a load report, because the clocks of
	// targets and hosts may differ.
	maxReportLag = 5 * time.Second
	// runningRequestCost is the delay in seconds that each running request adds to a
	// step. It is small and mainly separates idle from busy targets.
	runningRequestCost = 0.0001
	// residualHalfLife is the half-life of the residual delay.
	residualHalfLife = 2 * time.Second
	// minSampleQueue is the shortest predicted queueing delay in seconds that is used
	// to learn the pending scale. Below it, noise hides the error of the prediction.
	minSampleQueue  = 0.02
	minPendingScale = 0.05
	// scaleLearningRate is lower than learningRate, because requests to all targets
	// update the scale.
	scaleLearningRate = 0.1
	// negligibleResidual is a delay in seconds that is too short for a caller to
	// notice.
	negligibleResidual = 0.001
	// maxSentRequests bounds the requests per target that are tracked until their first
	// token.
	maxSentRequests = 1024
)

// Report is a target's report of its own load.
type Report struct {
	Running, Waiting     int
	PendingPrefillTokens int
	MeasuredAt           time.Time
}

// sentRequest is a request that was sent and has no first token yet.
type sentRequest struct {
	id     uint64
	tokens int
	sentAt time.Time
	// unreported means that the last load report can't include the request.
	unreported bool
}

// Estimator predicts the queueing delay of one target and learns its prefill cost. The
// zero value is ready to use and predicts with default costs.
type Estimator struct {
	tokenCost float64
	// fleetCost is the cost learned over all targets, used while this target has none
	// of its own; nil or zero means the default. Without it, the predictions for
	// targets that were never used would be far too slow or too fast compared with the
	// others.
	fleetCost    *float64
	report       Report
	sentRequests []sentRequest
	// unreportedTokens is the sum over the requests that the last report can't include.
	unreportedTokens int
	residual         float64
	residualAt       time.Time
	// pendingScale is the learned share of the reported pending tokens that has to be
	// computed; zero means all. A target may report whole prompts, most of which may be
	// cached.
	pendingScale float64
	// fleetPendingScale replaces pendingScale in a router, where all targets share it;
	// nil means none.
	fleetPendingScale *float64
}

// TokenCost returns the prefill cost in seconds per token.
func (e *Estimator) TokenCost() float64 {
	switch {
	case e.tokenCost != 0:
		return e.tokenCost
	case e.fleetCost != nil && *e.fleetCost != 0:
		return *e.fleetCost
	}
	return defaultTokenCost
}

// Calibrated reports whether the prefill cost is based on measurements.
func (e *Estimator) Calibrated() bool {
	return e.tokenCost != 0 || e.fleetCost != nil && *e.fleetCost != 0
}

// SetTokenCost restores a learned cost; values out of range are ignored.
func (e *Estimator) SetTokenCost(cost float64) {
	if cost >= minTokenCost && cost <= maxTokenCost {
		e.tokenCost = cost
	}
}

// Observe records a load report.
func (e *Estimator) Observe(r Report, now time.Time) {
	if r.MeasuredAt.After(now) {
		r.MeasuredAt = now
	}
	if oldest := now.Add(-maxReportLag); r.MeasuredAt.Before(oldest) {
		r.MeasuredAt = oldest
	}
	e.report = r
	e.unreportedTokens = 0
	for i := range e.sentRequests {
		s := &e.sentRequests[i]
		if s.unreported = s.sentAt.After(r.MeasuredAt); s.unreported {
			e.unreportedTokens += s.tokens
		}
	}
}

// Sent records that a request with the given number of uncached tokens was sent.
func (e *Estimator) Sent(id uint64, tokens int, now time.Time) {
	if len(e.sentRequests) >= maxSentRequests {
		e.End(e.sentRequests[0].id)
	}
	e.sentRequests = append(e.sentRequests, sentRequest{id, tokens, now, true})
	e.unreportedTokens += tokens
}

// End removes a request that has its first token or has failed.
func (e *Estimator) End(id uint64) {
	for i, s := range e.sentRequests {
		if s.id == id {
			e.sentRequests = append(e.sentRequests[:i], e.sentRequests[i+1:]...)
			if s.unreported {
				e.unreportedTokens -= s.tokens
			}
			return
		}
	}
}

// Queue returns the predicted delay in seconds before a new request is prefilled.
func (e *Estimator) Queue(now time.Time) float64 {
	return e.fixedQueue() + max(0, e.drainedAt().Sub(now).Seconds()) + e.Residual(now)
}

// fixedQueue returns the part of the queueing delay that is constant until the next
// event.
func (e *Estimator) fixedQueue() float64 {
	return float64(e.unreportedTokens)*e.TokenCost() + float64(e.report.Running)*runningRequestCost
}

// idle reports whether no request is known to wait at the target.
func (e *Estimator) idle() bool {
	return e.report.PendingPrefillTokens == 0 && len(e.sentRequests) == 0
}

// drainedAt returns when the target should have computed the tokens reported as
// pending.
func (e *Estimator) drainedAt() time.Time {
	scale := e.pendingScale
	if e.fleetPendingScale != nil {
		scale = *e.fleetPendingScale
	}
	if scale == 0 {
		scale = 1
	}
	return e.report.MeasuredAt.Add(seconds(float64(e.report.PendingPrefillTokens) * e.TokenCost() * scale))
}

// Residual returns the delay in seconds of recent requests that neither the queue nor
// the prefill explains.
func (e *Estimator) Residual(now time.Time) float64 {
	if e.residual < negligibleResidual {
		return 0
	}
	return e.residual * math.Exp2(-now.Sub(e.residualAt).Seconds()/residualHalfLife.Seconds())
}

// LearnCost updates the prefill cost from the time between sending a request and its
// first token, and the number of tokens that the target reports to have computed for
// it. The time includes queueing, so that a sample is an upper bound of the cost. A
// lower sample is always applied, a higher one only if the target was idle. Subtracting
// the predicted queueing delay instead raised the learned cost up to a hundredfold in
// an overload, where the prediction is worst.
func (e *Estimator) LearnCost(elapsed time.Duration, computed int, network float64, idle bool) {
	if computed < minSampleTokens {
		return
	}
	cost := e.TokenCost()
	sample := min(max((elapsed.Seconds()-network)/float64(computed), minTokenCost), maxTokenCost)
	if sample > cost {
		if !idle {
			return
		}
		sample = min(sample, 2*cost) // bounds the effect of one slow request
	}
	e.tokenCost = cost + learningRate*(sample-cost)
	if e.fleetCost != nil {
		if *e.fleetCost == 0 {
			*e.fleetCost = cost
		}
		*e.fleetCost += learningRate * (sample - *e.fleetCost)
	}
}

// LearnDelay updates the residual and the pending scale from the time between sending a
// request and its first token, its uncached tokens, and the network and queueing delays
// that were predicted for it.
func (e *Estimator) LearnDelay(elapsed time.Duration, uncached int, network, queue float64, now time.Time) {
	waited := max(0, elapsed.Seconds()-network-float64(uncached)*e.TokenCost())
	if prefill := float64(uncached) * e.TokenCost(); queue > minSampleQueue && queue > 2*prefill {
		e.learnPendingScale(waited / queue)
	}
	// The delay that neither queue nor prefill explains, for example a lack of batch
	// slots.
	e.residual += learningRate * (max(0, waited-queue) - e.residual)
	e.residualAt = now
}

// learnPendingScale applies the ratio of an observed queueing delay to the predicted
// one. All targets share the scale: a target that is predicted to be busy gets no
// requests, so it could not correct a scale of its own.
func (e *Estimator) learnPendingScale(ratio float64) {
	scale := &e.pendingScale
	if e.fleetPendingScale != nil {
		scale = e.fleetPendingScale
	}
	if *scale == 0 {
		*scale = 1
	}
	*scale = min(max(*scale*(1+scaleLearningRate*(min(ratio, 2)-1)), minPendingScale), 1)
}
