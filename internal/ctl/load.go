package ctl

import (
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/sequoiaroad/sequoiaroad/internal/load"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

const allPolicies = "all"

// loadCommand returns the command that measures a fleet under load.
func (t *tool) loadCommand() *cobra.Command {
	var o load.Options
	var dev bool
	var deployment, policy, preset, scenario, plotFile string
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send a load to a fleet and measure it",
		Long:  "Send an open-loop load to a fleet and measure what its callers experience.\n\nWith --dev it starts hosts and simulated targets in this process, anew for each policy.",
		Args:  exactArgs(0),
	}
	cmd.RunE = func(cmd *cobra.Command, _ []string) (err error) {
		if o.Deployment, err = load.FindDeployment(deployment); err != nil {
			return &usageError{err}
		}
		if dev == (len(o.Addresses) > 0) {
			return &usageError{errors.New("either --dev or --addresses is required")}
		}
		o.Policies = strings.Split(policy, ",")
		if policy == allPolicies {
			o.Policies = load.Policies
		}
		o.Scenario, o.Preset, o.Progress = load.Scenario(scenario), config.Preset(preset), cmd.ErrOrStderr()
		results, err := load.Run(cmd.Context(), o)
		if err != nil {
			return err
		}
		if plotFile != "" {
			if err := load.Plot(results, plotFile); err != nil {
				return err
			}
		}
		return t.printResult(results, func(w *tabwriter.Writer) { printLoadResults(w, results) })
	}
	f := cmd.Flags()
	f.BoolVar(&dev, "dev", false, "start hosts and simulated targets in this process")
	f.StringVar(&deployment, "deployment", "inkono", "deployment whose size, network and workload are used: inkono or lanna")
	f.StringVar(&policy, "policy", load.Policies[0], "routing policies separated by commas, or all")
	f.Uint64Var(&o.Seed, "seed", 1, "random seed of the generated load")
	f.DurationVar(&o.Duration, "duration", load.DefaultDuration, "length of the measurement of each policy")
	f.DurationVar(&o.WarmUp, "warm-up", 0, "duration of the load before the measurement; zero means 12 s")
	f.Float64Var(&o.RateFactor, "rate-factor", 1, "factor that multiplies the request rate")
	f.BoolVar(&o.KVCopies, "kv-copies", false, "with --dev, copy KV caches between engines")
	f.StringVar(&preset, "preset", string(config.PresetOrdinary), "ordinary, peak or maintenance")
	f.StringVar(&scenario, "scenario", string(load.ScenarioOrdinary), "ordinary, surge, maintenance or restart")
	f.StringVar(&plotFile, "plot", "", "write a plot of the p99 time to first token by account to this .svg or .png file")
	f.StringSliceVar(&o.Addresses, "addresses", nil, "caller addresses of the hosts of a running fleet")
	f.StringSliceVar(&o.Keys, "client-key", nil, "client keys of a running fleet, one for each of the five accounts of the load")
	f.StringVar(&o.Model, "model", "", "model to request from a running fleet")
	return cmd
}

func printLoadResults(w *tabwriter.Writer, results []load.Result) {
	writeRow(w, "POLICY", "HIT RATE", "ORACLE", "WASTED (tokens)", "TTFT P50 (ms)", "TTFT P99 (ms)", "WORST ACCOUNT", "ITS P99 (ms)",
		"REFUSED WITHIN RATE", "OVER RATE", "REQUESTS", "FAILED", "ENGINES BUSY", "LAG P99 (ms)")
	for _, r := range results {
		writeRow(w, r.Policy, formatFixed(r.PrefixHitRate, 3), formatFixed(r.OracleHitRate, 3), r.WastedRecomputeTokens, formatFixed(r.TTFTP50Ms, 0), formatFixed(r.TTFTP99Ms, 0),
			r.WorstAccount, formatFixed(r.WorstAccountTTFTP99Ms, 0), r.RefusedWithinRate, r.RefusedOverRate, r.Requests, r.Failed,
			formatFixed(r.EngineUtilization, 2), formatFixed(r.GeneratorLagP99Ms, 1))
	}
}

func formatFixed(value float64, digits int) string {
	return strconv.FormatFloat(value, 'f', digits, 64)
}
