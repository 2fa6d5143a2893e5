package command

import (
	"context"
	"io"
	"os"
	"runtime"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"github.com/sequoiaroad/sequoiaroad/internal/logsink"
	"github.com/sequoiaroad/sequoiaroad/internal/routehost"
	"github.com/sequoiaroad/sequoiaroad/internal/settings"
	"github.com/sequoiaroad/sequoiaroad/internal/telemetry"
	"github.com/sequoiaroad/sequoiaroad/platform"
)

const routeCommandName = "route"

// routeCommand runs a host on the users' platform. Each signal from reloads makes it
// check the settings file again.
func routeCommand(stdout io.Writer, reloads <-chan os.Signal) *cobra.Command {
	var s settings.RouteFlags
	cmd := &cobra.Command{
		Use:   routeCommandName,
		Short: "Run a host on the users' platform; SIGTERM is a planned stop",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := settings.ApplyEnvironment(cmd.Flags()); err != nil {
				return err
			}
			if err := s.Validate(); err != nil {
				return err
			}
			return route(cmd.Context(), &s, stdout, reloads)
		},
	}
	s.Register(cmd.Flags())
	return cmd
}

func route(ctx context.Context, s *settings.RouteFlags, stdout io.Writer, reloads <-chan os.Signal) error {
	runtime.GOMAXPROCS(1)
	deployment, err := platform.ReadSettings(s.NodeFile)
	if err != nil {
		return err
	}
	sink := logsink.New(stdout)
	defer sink.Close()
	tel, err := telemetry.New(ctx, telemetry.Options{
		LogLevel: s.LogLevel, LogJSON: true, LogOutput: sink, LogExclude: sink.Exclude,
		TraceExporter: s.TraceExporter, OTLPEndpoint: s.OTLPEndpoint, TraceOutput: stdout,
	})
	if err != nil {
		return err
	}
	defer stopTelemetry(tel)
	adapter, closeAdapter := platform.New(deployment)
	defer closeAdapter()
	host, err := routehost.New(routehost.Options{
		Deployment: *deployment, FleetSecret: s.FleetSecret, MetricsListen: s.MetricsListen,
		MaxConcurrentLoads: s.MaxConcurrentLoads, Telemetry: tel, Platform: adapter,
	})
	if err != nil {
		return err
	}
	go watchReload(ctx, s.NodeFile, reloads, tel.Logger)
	return host.Run(ctx)
}

// watchReload validates the settings file after each signal. The addresses and bounds of a
// running process do not change; a changed file takes effect at the next start.
func watchReload(ctx context.Context, path string, reloads <-chan os.Signal, log hclog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloads:
		}
		if _, err := platform.ReadSettings(path); err != nil {
			log.Warn("settings file can't be used; the earlier settings hold", "error", err)
			continue
		}
		log.Info("settings file is valid; changes take effect at the next start")
	}
}
