package forward

import (
	"context"
	"net"
	"net/http"
	"syscall"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/message"
	"github.com/sequoiaroad/sequoiaroad/policy/quarantine"
	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

// Reporter reads the reports of engines.
type Reporter interface {
	// State reads the report of a target.
	State(ctx context.Context, t *topology.Target) (message.EngineState, error)
}

// observe asks a target for a sign of life: an engine for its report, which names its
// incarnation, and any other target for a connection.
func (r *Router) observe(t *topology.Target) (quarantine.Sign, error) {
	if !r.isEngine(t) {
		return observeConnection(t)
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	state, err := r.Reports.State(ctx, t)
	var status *message.StatusError
	var timeout net.Error
	switch {
	case err == nil && t.Started != 0 && state.Started != 0 && state.Started != t.Started:
		return quarantine.SignEnded, errors.Errorf("target %s started at %d, the one at %s at %d", t.ID, t.Started, t.Address, state.Started)
	case err == nil:
		return quarantine.SignAlive, nil
	case errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &status) && status.Status == http.StatusMisdirectedRequest:
		return quarantine.SignEnded, err
	case errors.As(err, &status) && status.Status < http.StatusInternalServerError:
		return quarantine.SignAlive, err
	case ctx.Err() != nil || errors.As(err, &timeout) && timeout.Timeout():
		return quarantine.SignSilent, err
	}
	return quarantine.SignNoReport, err
}

// isEngine reports whether a target serves models.
func (r *Router) isEngine(t *topology.Target) bool {
	config := r.View.Snapshot().Config
	if config == nil || config.Services[t.Service] == nil {
		return len(t.Weights) > 0
	}
	return config.Services[t.Service].Engine != nil
}

// observeConnection asks a target for a connection.
func observeConnection(t *topology.Target) (quarantine.Sign, error) {
	err := probe(t.Address)
	switch {
	case err == nil:
		return quarantine.SignAlive, nil
	case errors.Is(err, syscall.ECONNREFUSED):
		return quarantine.SignEnded, err
	}
	return quarantine.SignSilent, err
}
