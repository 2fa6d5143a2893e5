// Package ctl implements the command line of sequoiaroadctl, the operators' tool.
package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/sequoiaroad/sequoiaroad/internal/admin"
)

// Exit codes, which let scripts distinguish failures.
const (
	ExitOK             = 0
	ExitFailed         = 1
	ExitUsage          = 2
	ExitRefused        = 3
	ExitConflict       = 4
	ExitUnreachable    = 5
	ExitOutcomeUnknown = 6
)

// Environment variables that replace the flags --address and --key.
const (
	EnvAddress = "SEQUOIAROADCTL_ADDRESS"
	EnvKey     = "SEQUOIAROADCTL_KEY"
)

const (
	outputTable = "table"
	outputJSON  = "json"
)

// usageError is an error in the arguments of the command line.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }

// tool holds the global flags and the output of a command.
type tool struct {
	address       string
	key           string
	output        string
	timeout       time.Duration
	changeOptions admin.ChangeOptions
	out           io.Writer
}

// Main runs the tool and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	root := NewCommand(stdout)
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(context.Background())
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(stderr, "sequoiaroadctl:", err)
	return exitCode(err)
}

func exitCode(err error) int {
	var usage *usageError
	var apiErr *admin.Error
	var unreachable *admin.UnreachableError
	switch {
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &unreachable):
		return ExitUnreachable
	case errors.As(err, &apiErr) && apiErr.Code == admin.CodeConflict:
		return ExitConflict
	case errors.As(err, &apiErr) && apiErr.Code == admin.CodeOutcomeUnknown:
		return ExitOutcomeUnknown
	case errors.As(err, &apiErr) && apiErr.Code == admin.CodeInternal:
		return ExitFailed
	case errors.As(err, &apiErr):
		return ExitRefused
	case strings.HasPrefix(err.Error(), "unknown command"):
		return ExitUsage
	default:
		return ExitFailed
	}
}

// NewCommand returns the root command.
func NewCommand(out io.Writer) *cobra.Command {
	t := &tool{out: out}
	root := &cobra.Command{
		Use:           "sequoiaroadctl",
		Short:         "Operate a sequoiaroad fleet",
		Long:          "Operate a sequoiaroad fleet through the administration API of any of its hosts.\n\nExit codes: 0 done, 1 failed, 2 usage, 3 refused, 4 conflict, 5 host unreachable, 6 outcome unknown.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	flags := root.PersistentFlags()
	flags.StringVar(&t.address, "address", os.Getenv(EnvAddress), "administration address of a host, IP:port (or "+EnvAddress+")")
	flags.StringVar(&t.key, "key", "", "operator key (better given as "+EnvKey+")")
	flags.StringVarP(&t.output, "output", "o", outputTable, "table or json")
	flags.DurationVar(&t.timeout, "timeout", 30*time.Second, "timeout of each request to a host")
	_ = root.RegisterFlagCompletionFunc("output", completeFixed(outputTable, outputJSON)) // fails only for an unknown flag
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &usageError{err} })
	root.PersistentPreRunE = func(*cobra.Command, []string) error {
		if t.output != outputTable && t.output != outputJSON {
			return &usageError{errors.Errorf("--output %q is not table or json", t.output)}
		}
		return nil
	}
	root.AddCommand(
		t.accountsCommand(), t.limitsCommand(), t.keysCommand(), t.operatorKeysCommand(), t.routesCommand(), t.modelsCommand(),
		t.targetsCommand(), t.presetCommand(), t.configCommand(), t.hostsCommand(), t.ordersCommand(),
		t.unresolvedCommand(), t.explainCommand(), t.initCommand(), t.loadCommand(),
	)
	return root
}

// client returns a client for the host at --address.
func (t *tool) client() (*admin.Client, error) {
	if t.key == "" {
		t.key = os.Getenv(EnvKey)
	}
	if t.address == "" || t.key == "" {
		return nil, &usageError{errors.Errorf("--address and --key (or %s and %s) are required", EnvAddress, EnvKey)}
	}
	if _, err := netip.ParseAddrPort(t.address); err != nil {
		return nil, &usageError{errors.Errorf("--address %q is not IP:port of a host's operator listener", t.address)}
	}
	return &admin.Client{Address: t.address, Key: t.key, HTTP: &http.Client{Timeout: t.timeout}}, nil
}

// withClient returns the body of a command that runs f with a client and prints its
// result.
func withClient[T any](t *tool, f func(context.Context, *admin.Client) (T, error), table func(*tabwriter.Writer, T)) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, _ []string) error {
		client, err := t.client()
		if err != nil {
			return err
		}
		result, err := f(cmd.Context(), client)
		if err != nil {
			return err
		}
		return t.printResult(result, func(w *tabwriter.Writer) { table(w, result) })
	}
}

func (t *tool) printResult(value any, table func(*tabwriter.Writer)) error {
	if t.output == outputJSON {
		encoder := json.NewEncoder(t.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	const minWidth, tabWidth, padding = 0, 8, 2
	w := tabwriter.NewWriter(t.out, minWidth, tabWidth, padding, ' ', 0)
	table(w)
	return w.Flush()
}

// writeRow writes one line of a table.
func writeRow(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
	}
	fmt.Fprintln(w, strings.Join(texts, "\t"))
}

// printChange prints an accepted change and the hosts that have not confirmed it.
func printChange(w *tabwriter.Writer, c admin.Change) {
	writeRow(w, "revision", c.Revision)
	writeRow(w, "confirmed by", listOrNone(c.Confirmed))
	if len(c.Expired) > 0 {
		writeRow(w, "refusing keyed requests", listOrNone(c.Expired))
	}
	if len(c.Pending) > 0 {
		writeRow(w, "not yet in force at", listOrNone(c.Pending))
	}
}

func listOrNone(list []string) string {
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, ", ")
}

// addChangeFlags adds the flags of commands that change the configuration.
func (t *tool) addChangeFlags(cmd *cobra.Command) *cobra.Command {
	cmd.Flags().Uint64Var(&t.changeOptions.ExpectedRevision, "expected-revision", 0, "reject the change unless this is the current revision; zero accepts any")
	cmd.Flags().BoolVar(&t.changeOptions.Force, "force", false, "commit without acknowledgements from a majority of hosts; unreachable hosts may continue to use the old configuration")
	return cmd
}

// commandGroup returns a command that consists only of subcommands.
func commandGroup(use, short string, subcommands ...*cobra.Command) *cobra.Command {
	const maxTypoDistance = 2
	cmd := &cobra.Command{Use: use, Short: short, SuggestionsMinimumDistance: maxTypoDistance, RunE: func(cmd *cobra.Command, args []string) error {
		if len(args) > 0 {
			hint := "see " + cmd.CommandPath() + " --help"
			if suggestions := cmd.SuggestionsFor(args[0]); len(suggestions) > 0 {
				hint = "did you mean " + strings.Join(suggestions, " or ") + "?"
			}
			return &usageError{errors.Errorf("unknown command %q for %q; %s", args[0], cmd.CommandPath(), hint)}
		}
		return cmd.Help()
	}}
	cmd.AddCommand(subcommands...)
	return cmd
}

// exactArgs requires n arguments.
func exactArgs(n int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) != n {
			return &usageError{errors.Errorf("%s takes %d arguments, not %d; usage: %s", cmd.CommandPath(), n, len(args), cmd.UseLine())}
		}
		return nil
	}
}
