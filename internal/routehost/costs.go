package routehost

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/sequoiaroad/sequoiaroad/internal/clock"
	"github.com/sequoiaroad/sequoiaroad/internal/wire"
)

// costLogInterval is the interval between log lines that state what control has cost.
const costLogInterval = 10 * time.Second

// reachOf returns how far a zone is away from this host.
func (h *Host) reachOf(zone string) wire.Reach {
	d := &h.options.Deployment
	switch {
	case zone == d.Zone:
		return wire.ReachZone
	case d.RegionOfZone[zone] == d.RegionOfZone[d.Zone]:
		return wire.ReachRegion
	default:
		return wire.ReachRemote
	}
}

// registerCosts exports what control costs: messages and bytes between hosts by kind and
// reach, calls to the store by table, verb and outcome, and connections opened to targets.
func (h *Host) registerCosts() error {
	meter := h.options.Telemetry.Meter
	messages, err := meter.Int64ObservableCounter("sequoiaroad_peer_messages", metric.WithUnit("{message}"),
		metric.WithDescription("Messages between hosts, by kind, reach and direction."))
	if err != nil {
		return errors.Wrap(err, "create metric")
	}
	bytes, err := meter.Int64ObservableCounter("sequoiaroad_peer_bytes", metric.WithUnit("By"),
		metric.WithDescription("Bytes of messages between hosts, by kind, reach and direction."))
	if err != nil {
		return errors.Wrap(err, "create metric")
	}
	calls, err := meter.Int64ObservableCounter("sequoiaroad_store_calls", metric.WithUnit("{call}"),
		metric.WithDescription("Calls to the store, by table, verb and outcome."))
	if err != nil {
		return errors.Wrap(err, "create metric")
	}
	connections, err := meter.Int64ObservableCounter("sequoiaroad_target_connections_opened", metric.WithUnit("{connection}"),
		metric.WithDescription("Connections opened to targets, by service."))
	if err != nil {
		return errors.Wrap(err, "create metric")
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for _, k := range h.traffic.Kinds() {
			for _, direction := range []struct {
				name            string
				messages, bytes uint64
			}{{"sent", k.MessagesSent, k.BytesSent}, {"received", k.MessagesReceived, k.BytesReceived}} {
				labels := metric.WithAttributes(attribute.String("kind", k.Type.String()), attribute.String("reach", k.Reach.String()),
					attribute.String("direction", direction.name))
				o.ObserveInt64(messages, int64(direction.messages), labels)
				o.ObserveInt64(bytes, int64(direction.bytes), labels)
			}
		}
		for _, c := range h.options.Platform.StoreCalls() {
			o.ObserveInt64(calls, int64(c.Calls), metric.WithAttributes(
				attribute.String("table", c.Table), attribute.String("verb", c.Verb), attribute.String("outcome", c.Outcome)))
		}
		for service, n := range h.router.ConnectionsOpened() {
			o.ObserveInt64(connections, int64(n), metric.WithAttributes(attribute.String("service", service)))
		}
		return nil
	}, messages, bytes, calls, connections)
	return errors.Wrap(err, "register metrics")
}

// logCosts logs the same totals now and then, since metrics end with the process.
func (h *Host) logCosts(ctx context.Context) error {
	clock.Every(ctx, costLogInterval, func() {
		args := []any{"peer_bytes_sent", h.traffic.Sent(), "peer_bytes_received", h.traffic.Received()}
		for _, k := range h.traffic.Kinds() {
			args = append(args, k.Type.String()+"/"+k.Reach.String(),
				[4]uint64{k.MessagesSent, k.BytesSent, k.MessagesReceived, k.BytesReceived})
		}
		for _, c := range h.options.Platform.StoreCalls() {
			args = append(args, "store/"+c.Table+"/"+c.Verb+"/"+c.Outcome, c.Calls)
		}
		for service, n := range h.router.ConnectionsOpened() {
			args = append(args, "connections/"+service, n)
		}
		h.log.Info("cost of control since the start", args...)
	})
	return nil
}
