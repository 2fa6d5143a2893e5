// Package command implements the command line of sequoiaroad.
package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/sequoiaroad/sequoiaroad/internal/dev"
	"github.com/sequoiaroad/sequoiaroad/internal/host"
	"github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/internal/settings"
	"github.com/sequoiaroad/sequoiaroad/internal/telemetry"
)

// Exit codes.
const (
	ExitOK     = 0
	ExitFailed = 1
)

const telemetryStopTimeout = 3 * time.Second

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	// Both handlers are registered first: a signal that arrives before its handler is
	// registered ends the process.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := newCommand(stdout, stderr, reloads)
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(stderr, "sequoiaroad:", err)
		return ExitFailed
	}
	return ExitOK
}

func newCommand(stdout, stderr io.Writer, reloads <-chan os.Signal) *cobra.Command {
	root := &cobra.Command{
		Use:           "sequoiaroad",
		Short:         "Router for language-model traffic with long shared prompts",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRun: func(cmd *cobra.Command, _ []string) {
			if cmd.Name() != routeCommandName {
				signal.Reset(syscall.SIGHUP) // only the route command reloads its settings
			}
		},
	}
	root.AddCommand(serveCommand(stdout, stderr), checkCommand(stdout), devCommand(stdout, stderr), routeCommand(stdout, reloads), explainCommand(stdout))
	return root
}

func readSettings(cmd *cobra.Command, s *settings.Host) error {
	if err := settings.ApplyEnvironment(cmd.Flags()); err != nil {
		return err
	}
	return s.Validate()
}

func serveCommand(stdout, stderr io.Writer) *cobra.Command {
	var s settings.Host
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run the router on this host; SIGTERM is a planned stop",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := readSettings(cmd, &s); err != nil {
				return err
			}
			return serve(cmd.Context(), &s, stdout, stderr)
		},
	}
	s.Register(cmd.Flags())
	return cmd
}

func serve(ctx context.Context, s *settings.Host, stdout, stderr io.Writer) error {
	tel, err := telemetry.New(ctx, telemetry.Options{
		LogLevel: s.LogLevel, LogJSON: s.LogJSON, LogOutput: stderr,
		TraceExporter: s.TraceExporter, OTLPEndpoint: s.OTLPEndpoint, TraceOutput: stdout,
	})
	if err != nil {
		return err
	}
	defer stopTelemetry(tel)
	tel.Logger.Info("effective settings", s.LogFields()...)
	client, err := platform.NewClient(platform.Options{
		BaseURL: s.PlatformURL, ReadsPerSecond: s.StoreReadsPerSecond, WritesPerSecond: s.StoreWritesPerSecond,
	})
	if err != nil {
		return err
	}
	defer client.Close()
	h, err := host.New(host.Options{
		Settings: *s, Telemetry: tel,
		Platform: host.Platform{Store: client, Objects: client, HostList: client},
	})
	if err != nil {
		return err
	}
	return h.Run(ctx)
}

func stopTelemetry(t *telemetry.Telemetry) {
	ctx, cancel := context.WithTimeout(context.Background(), telemetryStopTimeout)
	defer cancel()
	if err := t.Shutdown(ctx); err != nil {
		t.Logger.Warn("failed to flush telemetry", "error", err)
	}
}

func checkCommand(stdout io.Writer) *cobra.Command {
	var s settings.Host
	cmd := &cobra.Command{
		Use:   "check",
		Short: "Check the settings of serve without starting",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := readSettings(cmd, &s); err != nil {
				return err
			}
			pairs := s.LogFields()
			for i := 0; i < len(pairs); i += 2 {
				fmt.Fprintf(stdout, "%s=%v\n", pairs[i], pairs[i+1])
			}
			return nil
		},
	}
	s.Register(cmd.Flags())
	return cmd
}

func devCommand(stdout, stderr io.Writer) *cobra.Command {
	var o dev.Options
	var output, logLevel string
	var selfTest bool
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run a whole small system in this process: platform, engines, service and one host",
		Args:  cobra.NoArgs,
	}
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if output != "text" && output != "json" {
			return errors.Errorf("--output %q is not text or json", output)
		}
		if _, err := netip.ParseAddrPort(o.Listen); err != nil {
			return errors.Errorf("--listen %q is not IP:port", o.Listen)
		}
		tel, err := telemetry.New(cmd.Context(), telemetry.Options{LogLevel: logLevel, LogOutput: stderr})
		if err != nil {
			return err
		}
		defer stopTelemetry(tel)
		o.Telemetry = tel
		system, err := dev.New(cmd.Context(), o)
		if err != nil {
			return err
		}
		if selfTest {
			return runSelfTest(cmd.Context(), system, stdout)
		}
		return system.Run(cmd.Context(), func() { printInfo(stdout, output, &system.Info) })
	}
	f := cmd.Flags()
	f.StringVar(&o.Listen, "listen", "127.0.0.1:0", "listen address for callers, IP:port; port 0 picks a free port")
	f.DurationVar(&o.ServiceDelay, "service-delay", 0, "delay of the booking service before each response")
	f.DurationVar(&o.TokenDelay, "token-delay", 10*time.Millisecond, "time between two output tokens of an engine")
	f.StringVar(&o.RoutingPolicy, "routing-policy", "", "routing policy; empty means predicted-ttft")
	f.StringVarP(&output, "output", "o", "text", "text or json")
	f.StringVar(&logLevel, "log-level", "warn", "trace, debug, info, warn or error")
	f.BoolVar(&selfTest, "self-test", false, "send requests, check the answers and exit")
	return cmd
}

func runSelfTest(ctx context.Context, system *dev.System, stdout io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var result error
	tested := false
	err := system.Run(ctx, func() {
		result, tested = system.SelfTest(ctx, stdout), true
		cancel()
	})
	switch {
	case err != nil:
		return err
	case !tested:
		return errors.New("the self-test did not run")
	case result != nil:
		return errors.Wrap(result, "self-test failed")
	}
	fmt.Fprintln(stdout, "self-test passed")
	return nil
}

func printInfo(out io.Writer, output string, info *dev.Info) {
	if output == "json" {
		_ = json.NewEncoder(out).Encode(info) // fails only if standard output is closed
		return
	}
	fmt.Fprintf(out, `sequoiaroad dev is ready

  address        http://%[1]s
  administration %[2]s
  client key     %[3]s  (id %[4]s)
  operator key   %[5]s
  model          %[6]s

Stream a completion:

  curl -N http://%[1]s/v1/completions -H 'Authorization: Bearer %[3]s' -H 'Content-Type: application/json' -d '{"model":"%[6]s","prompt":"Hello","max_tokens":32,"stream":true}'

Operate it:

  SEQUOIAROADCTL_ADDRESS=%[2]s SEQUOIAROADCTL_KEY=%[5]s go run ./cmd/sequoiaroadctl hosts list

Stop it with Ctrl-C.
`, info.Address, info.AdminAddress, info.ClientKey, info.ClientKeyID, info.OperatorKey, info.Model)
}
