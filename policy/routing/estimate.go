package routing

import (
	"math"
	"time"
)

const (
	// defaultTokenCost in seconds is the prefill cost assumed until one is learned.
	defaultTokenCost = 0.0001
	minTokenCost     = 1e-6
	maxTokenCost     = 1e-2
	// minSampleTokens: below it the fixed costs of a request hide the cost per token.
	minSampleTokens = 200
	// learningRate weighs a new sample; ten samples replace most of the old value.
	learningRate = 0.2
	// maxReportLag bounds the age of a report, because the clocks of targets and hosts
	// may differ.
	maxReportLag = 5 * time.Second
	// runningCost in seconds is the delay that each running request adds to a step.
	// It is small and mainly separates idle from busy targets.
	runningCost = 0.0001
	// residualHalfLife is how fast an unexplained delay is forgotten.
	residualHalfLife = 2 * time.Second
	// minSampleQueue in seconds: below it, noise hides how right the prediction was.
	minSampleQueue = 0.02
	minScale       = 0.05
	// scaleRate is lower than learningRate, because the requests of all targets teach
	// the scale.
	scaleRate = 0.1
	// negligibleResidual in seconds is below what a caller notices.
	negligibleResidual = 0.001
	// maxFlights bounds the requests that are tracked until their first token.
	maxFlights = 1024
)

// Report is a target's own view of its load.
type Report struct {
	Running, Waiting     int
	PendingPrefillTokens int
	MeasuredAt           time.Time
}

// flight is a request that was sent and has no first token yet.
type flight struct {
	id     uint64
	tokens int
	sentAt time.Time
	// recent says that the last report can't contain it.
	recent bool
}

// Estimator predicts the queueing delay of one target and learns its prefill cost.
// The zero value is ready to use and knows nothing.
type Estimator struct {
	tokenCost float64
	// fleet is the cost learned over all targets, used while this one has none of its
	// own; nil or zero means a default. Without it, targets that were never used would
	// look far slower or faster than the others.
	fleet   *float64
	report  Report
	flights []flight
	// recent is the sum of the flights that the last report can't contain.
	recent     int
	residual   float64
	residualAt time.Time
	// scale is the learned part of the reported pending tokens that has to be computed;
	// zero means all. A target may report whole prompts, of which much is cached.
	scale float64
	// fleetScale takes the place of scale in a router; nil means none.
	fleetScale *float64
}

// TokenCost returns the learned seconds per prefill token.
func (e *Estimator) TokenCost() float64 {
	switch {
	case e.tokenCost != 0:
		return e.tokenCost
	case e.fleet != nil && *e.fleet != 0:
		return *e.fleet
	}
	return defaultTokenCost
}

// LearnedState reports whether the cost per token comes from measurements.
func (e *Estimator) Calibrated() bool { return e.tokenCost != 0 || e.fleet != nil && *e.fleet != 0 }

// SetTokenCost restores a learned cost; values out of range are ignored.
func (e *Estimator) SetTokenCost(cost float64) {
	if cost >= minTokenCost && cost <= maxTokenCost {
		e.tokenCost = cost
	}
}

// Observe takes a load report.
func (e *Estimator) Observe(r Report, now time.Time) {
	if r.MeasuredAt.After(now) {
		r.MeasuredAt = now
	}
	if oldest := now.Add(-maxReportLag); r.MeasuredAt.Before(oldest) {
		r.MeasuredAt = oldest
	}
	e.report = r
	e.recent = 0
	for i := range e.flights {
		f := &e.flights[i]
		if f.recent = f.sentAt.After(r.MeasuredAt); f.recent {
			e.recent += f.tokens
		}
	}
}

// Sent records a request with its uncached tokens.
func (e *Estimator) Sent(id uint64, tokens int, now time.Time) {
	if len(e.flights) >= maxFlights {
		e.End(e.flights[0].id)
	}
	e.flights = append(e.flights, flight{id, tokens, now, true})
	e.recent += tokens
}

// End forgets a request that has its first token or has failed.
func (e *Estimator) End(id uint64) {
	for i, f := range e.flights {
		if f.id == id {
			e.flights = append(e.flights[:i], e.flights[i+1:]...)
			if f.recent {
				e.recent -= f.tokens
			}
			return
		}
	}
}

// Queue returns the predicted delay in seconds before a new request is prefilled.
func (e *Estimator) Queue(now time.Time) float64 {
	return e.fixed() + max(0, e.drainedAt().Sub(now).Seconds()) + e.Residual(now)
}

// fixed is the part of the queue that stays the same until the next event.
func (e *Estimator) fixed() float64 {
	return float64(e.recent)*e.TokenCost() + float64(e.report.Running)*runningCost
}

// idle reports whether nothing is known to wait at the target.
func (e *Estimator) idle() bool { return e.report.PendingPrefillTokens == 0 && len(e.flights) == 0 }

// drainedAt is when the target will have computed what it reported as pending.
func (e *Estimator) drainedAt() time.Time {
	scale := e.scale
	if e.fleetScale != nil {
		scale = *e.fleetScale
	}
	if scale == 0 {
		scale = 1
	}
	return e.report.MeasuredAt.Add(seconds(float64(e.report.PendingPrefillTokens) * e.TokenCost() * scale))
}

// Residual returns the delay in seconds of the last requests that neither the queue
// nor the prefill explains.
func (e *Estimator) Residual(now time.Time) float64 {
	if e.residual < negligibleResidual {
		return 0
	}
	return e.residual * math.Exp2(-now.Sub(e.residualAt).Seconds()/residualHalfLife.Seconds())
}

// LearnCost takes the time from sending to the first token of a request and the tokens
// that the target says it computed for it. The time includes waiting, so that a sample
// is an upper bound of the cost. A lower sample is followed always, a higher one only
// if the target was idle. Subtracting the predicted wait instead raised the learned
// cost up to a hundredfold in an overload, where the prediction is worst.
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
		sample = min(sample, 2*cost) // one slow request says little
	}
	e.tokenCost = cost + learningRate*(sample-cost)
	if e.fleet != nil {
		if *e.fleet == 0 {
			*e.fleet = cost
		}
		*e.fleet += learningRate * (sample - *e.fleet)
	}
}

// Learn takes the time from sending to the first token of a request, with the
// uncached tokens it had and the network and queueing delay predicted for it.
func (e *Estimator) Learn(elapsed time.Duration, uncached int, network, queue float64, now time.Time) {
	waited := max(0, elapsed.Seconds()-network-float64(uncached)*e.TokenCost())
	if own := float64(uncached) * e.TokenCost(); queue > minSampleQueue && queue > 2*own {
		e.learnScale(waited / queue)
	}
	// What neither queue nor prefill explains, for example a lack of batch slots.
	e.residual += learningRate * (max(0, waited-queue) - e.residual)
	e.residualAt = now
}

// learnScale takes the ratio of an observed queueing delay to the predicted one. The
// scale is shared by all targets: one that looks busy gets no requests, and could not
// learn that it is not.
func (e *Estimator) learnScale(ratio float64) {
	scale := &e.scale
	if e.fleetScale != nil {
		scale = e.fleetScale
	}
	if *scale == 0 {
		*scale = 1
	}
	*scale = min(max(*scale*(1+scaleRate*(min(ratio, 2)-1)), minScale), 1)
}
