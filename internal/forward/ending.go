package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/httpclient"
	"github.com/sequoiaroad/sequoiaroad/policy/completion"
	"github.com/sequoiaroad/sequoiaroad/policy/quarantine"
	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

// confirmEnd returns an error if a response that its target has ended without an error is not
// complete. It is called before the caller's response ends.
func (r *Router) confirmEnd(ctx context.Context, c *call, p *plan, resp *http.Response, stream bool) error {
	unframed := httpclient.IsUnframed(resp)
	needed, err := c.progress.Check(completion.End{
		Stream: stream, HeadOnly: c.req.Method == http.MethodHead, Unframed: unframed, TargetLeaves: unframed && r.leaves(p.target),
	})
	if err != nil || needed == completion.NoProof {
		return err
	}
	return r.awaitProof(ctx, c, p, resp)
}

// errNoSignOfLife means that a target has not outlived a response that ended with its
// connection, or that nobody knows.
var errNoSignOfLife = errors.New("the response ended with its connection, and no sign of life of the target followed")

// awaitProof waits until it is known whether the target has outlived its response, and
// returns an error if that is not so.
func (r *Router) awaitProof(ctx context.Context, c *call, p *plan, resp *http.Response) error {
	p.free() // the target is done with the request
	crash := c.crashAt(p.target)
	if resp.StatusCode != http.StatusOK {
		crash.Parts = nil // such a response proves no part innocent
	}
	endedAt := time.Now()
	verdicts := make(chan quarantine.Verdict, 1)
	r.checkTarget(p.target, endedResponse{crash: crash, end: endComplete, at: endedAt, verdict: verdicts})
	var verdict quarantine.Verdict
	select {
	case verdict = <-verdicts:
	case <-ctx.Done():
		return errors.Wrap(errNoSignOfLife, ctx.Err().Error())
	}
	left := r.leaves(p.target)
	c.log.Info("checked a response that ended with its connection", "target", p.target.ID, "status", resp.StatusCode,
		"verdict", verdict.String(), "leaving", left, "waited_ms", time.Since(endedAt).Milliseconds())
	if verdict == quarantine.Alive || left {
		return nil
	}
	return errNoSignOfLife
}

// leaves reports whether a target is known to leave, so that its end is no crash. The entry of
// one that does not say so is removed before it ends.
func (r *Router) leaves(t *topology.Target) bool {
	current := r.View.Snapshot().Targets[t.ID]
	if current == nil || current.SameIncarnation(t) && current.Leaving {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pressure.IsLeaving(t.Incarnation())
}
