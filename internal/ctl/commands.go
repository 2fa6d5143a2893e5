package ctl

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/sequoiaroad/sequoiaroad/internal/admin"
	"github.com/sequoiaroad/sequoiaroad/internal/dispatch"
	"github.com/sequoiaroad/sequoiaroad/internal/idempotency"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

func (t *tool) accountsCommand() *cobra.Command {
	list := &cobra.Command{Use: "list", Short: "List client accounts", Args: exactArgs(0),
		RunE: withClient(t, func(ctx context.Context, c *admin.Client) ([]admin.AccountStatus, error) { return c.Accounts(ctx) },
			func(w *tabwriter.Writer, list []admin.AccountStatus) {
				writeRow(w, "ACCOUNT", "RATE (tokens/s)", "BURST (tokens)", "KEYS")
				for _, a := range list {
					writeRow(w, a.ID, a.RateTokensPerSecond, a.BurstTokens, a.Keys)
				}
			})}
	var account config.Account
	set := &cobra.Command{Use: "set ACCOUNT", Aliases: []string{"create", "limit"}, Short: "Create a client account or change its limits", Args: exactArgs(1)}
	set.RunE = func(cmd *cobra.Command, args []string) error {
		account.ID = args[0]
		return withClient(t, func(ctx context.Context, c *admin.Client) (admin.Change, error) {
			return c.PutAccount(ctx, account, t.changeOptions)
		}, printChange)(cmd, args)
	}
	set.Flags().Int64Var(&account.RateTokensPerSecond, "rate", 0, "tokens per second over the whole fleet")
	set.Flags().Int64Var(&account.BurstTokens, "burst", 0, "burst size in tokens over the whole fleet")
	remove := t.namedChangeCommand("delete ACCOUNT", "Delete a client account and its keys",
		func(ctx context.Context, c *admin.Client, id string) (admin.Change, error) {
			return c.DeleteAccount(ctx, id, t.changeOptions)
		})
	remove.ValidArgsFunction = t.completeFromHost(accountIDs)
	return commandGroup("accounts", "Manage client accounts", list, t.addChangeFlags(set), remove)
}

// namedChangeCommand returns a command that changes the configuration and takes one name.
func (t *tool) namedChangeCommand(use, short string, f func(context.Context, *admin.Client, string) (admin.Change, error)) *cobra.Command {
	cmd := &cobra.Command{Use: use, Short: short, Args: exactArgs(1)}
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		return withClient(t, func(ctx context.Context, c *admin.Client) (admin.Change, error) {
			return f(ctx, c, args[0])
		}, printChange)(cmd, args)
	}
	return t.addChangeFlags(cmd)
}

func (t *tool) keysCommand() *cobra.Command {
	var account string
	list := &cobra.Command{Use: "list", Short: "List client keys", Args: exactArgs(0),
		RunE: withClient(t, func(ctx context.Context, c *admin.Client) ([]admin.KeyInfo, error) { return c.Keys(ctx, account) },
			func(w *tabwriter.Writer, list []admin.KeyInfo) {
				writeRow(w, "KEY ID", "ACCOUNT", "CREATED")
				for _, k := range list {
					writeRow(w, k.ID, k.AccountID, k.CreatedAt.Format("2006-01-02 15:04:05Z07:00"))
				}
			})}
	list.Flags().StringVar(&account, "account", "", "only keys of this client account")
	var request admin.IssueKeyRequest
	issue := &cobra.Command{Use: "issue", Short: "Issue a client key; it is shown once", Args: exactArgs(0),
		RunE: withClient(t, func(ctx context.Context, c *admin.Client) (admin.IssuedKey, error) {
			return c.IssueKey(ctx, request, t.changeOptions)
		}, func(w *tabwriter.Writer, k admin.IssuedKey) {
			writeRow(w, "key", k.Key)
			writeRow(w, "key id", k.ID)
			writeRow(w, "account", k.AccountID)
			printChange(w, k.Change)
		})}
	issue.Flags().StringVar(&request.AccountID, "account", "", "client account")
	requireFlags(issue, "account")
	_ = issue.RegisterFlagCompletionFunc("account", t.completeFromHost(accountIDs)) // fails only for an unknown flag
	issue.Flags().StringVar(&request.ID, "id", "", "id of the key; empty lets the host choose")
	withdraw := t.namedChangeCommand("withdraw KEY-ID", "Withdraw a client key",
		func(ctx context.Context, c *admin.Client, id string) (admin.Change, error) {
			return c.WithdrawKey(ctx, id, t.changeOptions)
		})
	withdraw.ValidArgsFunction = t.completeFromHost(keyIDs)
	return commandGroup("keys", "Issue and withdraw client keys", list, t.addChangeFlags(issue), withdraw)
}

func (t *tool) operatorKeysCommand() *cobra.Command {
	var request admin.IssueOperatorKeyRequest
	issue := &cobra.Command{Use: "issue ID", Short: "Issue an operator key; it is shown once", Args: exactArgs(1)}
	var role string
	issue.RunE = func(cmd *cobra.Command, args []string) error {
		request.ID, request.Role = args[0], config.Role(role)
		return withClient(t, func(ctx context.Context, c *admin.Client) (admin.IssuedOperatorKey, error) {
			return c.IssueOperatorKey(ctx, request, t.changeOptions)
		}, func(w *tabwriter.Writer, k admin.IssuedOperatorKey) {
			writeRow(w, "key", k.Key)
			writeRow(w, "role", k.Role)
			printChange(w, k.Change)
		})(cmd, args)
	}
	issue.Flags().StringVar(&role, "role", string(config.RoleReader), "reader or admin")
	_ = issue.RegisterFlagCompletionFunc("role", completeFixed(string(config.RoleReader), string(config.RoleAdmin))) // fails only for an unknown flag
	withdraw := t.namedChangeCommand("withdraw ID", "Withdraw an operator key",
		func(ctx context.Context, c *admin.Client, id string) (admin.Change, error) {
			return c.WithdrawOperatorKey(ctx, id, t.changeOptions)
		})
	return commandGroup("operator-keys", "Issue and withdraw operator keys", t.addChangeFlags(issue), withdraw)
}

func addRouteFlags(cmd *cobra.Command, r *config.Route) {
	cmd.Flags().StringVar(&r.PathPrefix, "path-prefix", "", "path below /services/NAME; empty means all")
	cmd.Flags().StringVar(&r.Method, "method", "", "HTTP method; empty means all")
}

func (t *tool) routesCommand() *cobra.Command {
	list := &cobra.Command{Use: "list", Short: "List routes of plain services", Args: exactArgs(0),
		RunE: withClient(t, func(ctx context.Context, c *admin.Client) ([]config.Route, error) { return c.Routes(ctx) },
			func(w *tabwriter.Writer, list []config.Route) {
				writeRow(w, "SERVICE", "PATH PREFIX", "METHOD", "OPEN", "IDEMPOTENT")
				for _, r := range list {
					writeRow(w, r.Service, r.PathPrefix, r.Method, r.Open, r.Idempotent)
				}
			})}
	var route, deleted config.Route
	set := &cobra.Command{Use: "set SERVICE", Short: "Create or replace a route", Args: exactArgs(1)}
	set.RunE = func(cmd *cobra.Command, args []string) error {
		route.Service = args[0]
		return withClient(t, func(ctx context.Context, c *admin.Client) (admin.Change, error) {
			return c.PutRoute(ctx, route, t.changeOptions)
		}, printChange)(cmd, args)
	}
	addRouteFlags(set, &route)
	set.Flags().BoolVar(&route.Open, "open", false, "accept requests without a client key")
	set.Flags().BoolVar(&route.Idempotent, "idempotent", false, "requests are idempotent and may be retried")
	remove := t.namedChangeCommand("delete SERVICE", "Delete a route",
		func(ctx context.Context, c *admin.Client, service string) (admin.Change, error) {
			deleted.Service = service
			return c.DeleteRoute(ctx, deleted, t.changeOptions)
		})
	addRouteFlags(remove, &deleted)
	return commandGroup("routes", "Manage routes of plain services", list, t.addChangeFlags(set), remove)
}

func (t *tool) modelsCommand() *cobra.Command {
	list := &cobra.Command{Use: "list", Short: "List models", Args: exactArgs(0),
		RunE: withClient(t, func(ctx context.Context, c *admin.Client) ([]config.Model, error) { return c.Models(ctx) },
			func(w *tabwriter.Writer, list []config.Model) {
				writeRow(w, "MODEL", "WEIGHTS VERSION")
				for _, m := range list {
					writeRow(w, m.ID, m.WeightsVersion)
				}
			})}
	var model config.Model
	set := &cobra.Command{Use: "set MODEL", Short: "Create a model or change its weights version", Args: exactArgs(1)}
	set.RunE = func(cmd *cobra.Command, args []string) error {
		model.ID = args[0]
		return withClient(t, func(ctx context.Context, c *admin.Client) (admin.Change, error) {
			return c.PutModel(ctx, model, t.changeOptions)
		}, printChange)(cmd, args)
	}
	set.Flags().StringVar(&model.WeightsVersion, "weights-version", "", "version of the weights")
	return commandGroup("models", "Manage models", list, t.addChangeFlags(set))
}

func (t *tool) targetsCommand() *cobra.Command {
	list := &cobra.Command{Use: "list", Short: "List targets", Args: exactArgs(0),
		RunE: withClient(t, func(ctx context.Context, c *admin.Client) ([]config.Target, error) { return c.Targets(ctx) },
			func(w *tabwriter.Writer, list []config.Target) {
				writeRow(w, "TARGET", "KIND", "URL", "ZONE", "SERVES", "CHECKS FENCING", "LEAVING")
				for _, x := range list {
					serves := x.Service
					if x.Kind == config.TargetEngine {
						serves = strings.Join(x.Models, ",")
					}
					writeRow(w, x.ID, x.Kind, x.URL, x.Zone, serves, x.ChecksFencing, x.Leaving)
				}
			})}
	var target config.Target
	var kind string
	set := &cobra.Command{Use: "set TARGET", Short: "Create or replace a target", Args: exactArgs(1)}
	set.RunE = func(cmd *cobra.Command, args []string) error {
		target.ID, target.Kind = args[0], config.TargetKind(kind)
		return withClient(t, func(ctx context.Context, c *admin.Client) (admin.Change, error) {
			return c.PutTarget(ctx, target, t.changeOptions)
		}, printChange)(cmd, args)
	}
	f := set.Flags()
	f.StringVar(&kind, "kind", string(config.TargetEngine), "engine or service")
	f.StringVar(&target.URL, "url", "", "base URL with IP and port")
	f.StringVar(&target.Zone, "zone", "", "availability zone")
	f.StringVar(&target.Region, "region", "", "region")
	f.StringSliceVar(&target.Models, "models", nil, "models that an engine serves")
	f.StringVar(&target.Service, "service", "", "name of the plain service that the target serves")
	f.BoolVar(&target.ChecksFencing, "checks-fencing", false, "the target rejects orders with a stale fencing token")
	f.BoolVar(&target.Leaving, "leaving", false, "the target receives no new requests")
	remove := t.namedChangeCommand("delete TARGET", "Delete a target",
		func(ctx context.Context, c *admin.Client, id string) (admin.Change, error) {
			return c.DeleteTarget(ctx, id, t.changeOptions)
		})
	remove.ValidArgsFunction = t.completeFromHost(targetIDs)
	drain := t.namedChangeCommand("drain TARGET", "Give a target no new work; running requests finish",
		func(ctx context.Context, c *admin.Client, id string) (admin.Change, error) {
			return setLeaving(ctx, c, id, true, t.changeOptions)
		})
	admit := t.namedChangeCommand("admit TARGET", "Give a drained target work again",
		func(ctx context.Context, c *admin.Client, id string) (admin.Change, error) {
			return setLeaving(ctx, c, id, false, t.changeOptions)
		})
	drain.ValidArgsFunction, admit.ValidArgsFunction = t.completeFromHost(targetIDs), t.completeFromHost(targetIDs)
	return commandGroup("targets", "Manage targets", list, t.addChangeFlags(set), remove, drain, admit)
}

// setLeaving changes the leaving state of a target. The change must follow the revision at
// which the target was read, so that it does not overwrite a concurrent change.
func setLeaving(ctx context.Context, c *admin.Client, id string, leaving bool, o admin.ChangeOptions) (admin.Change, error) {
	d, err := c.Configuration(ctx)
	if err != nil {
		return admin.Change{}, err
	}
	for _, target := range d.Targets {
		if target.ID != id {
			continue
		}
		if o.ExpectedRevision == 0 {
			o.ExpectedRevision = d.Revision
		}
		target.Leaving = leaving
		return c.PutTarget(ctx, target, o)
	}
	return admin.Change{}, &admin.Error{Code: admin.CodeNotFound, Message: "there is no target " + id}
}

func (t *tool) presetCommand() *cobra.Command {
	show := &cobra.Command{Use: "show", Short: "Show the preset in force", Args: exactArgs(0),
		RunE: withClient(t, func(ctx context.Context, c *admin.Client) (admin.PresetStatus, error) { return c.Preset(ctx) },
			func(w *tabwriter.Writer, p admin.PresetStatus) { writeRow(w, "preset", p.Preset) })}
	diff := &cobra.Command{Use: "diff PRESET", Short: "Show what another preset would change", Args: exactArgs(1)}
	diff.RunE = func(cmd *cobra.Command, args []string) error {
		return withClient(t, func(ctx context.Context, c *admin.Client) (admin.PresetDifference, error) {
			return c.DiffPreset(ctx, config.Preset(args[0]))
		}, func(w *tabwriter.Writer, d admin.PresetDifference) {
			writeRow(w, "KNOB", d.From, d.To)
			for _, k := range d.Differences {
				writeRow(w, k.Knob, k.From, k.To)
			}
		})(cmd, args)
	}
	set := t.namedChangeCommand("set PRESET", "Choose a preset; it holds until the next choice",
		func(ctx context.Context, c *admin.Client, name string) (admin.Change, error) {
			return c.SetPreset(ctx, config.Preset(name), t.changeOptions)
		})
	for _, cmd := range []*cobra.Command{diff, set} {
		cmd.ValidArgs = []string{string(config.PresetOrdinary), string(config.PresetPeak), string(config.PresetMaintenance)}
	}
	return commandGroup("preset", "Show and choose the preset", show, diff, set)
}

func (t *tool) configCommand() *cobra.Command {
	get := &cobra.Command{Use: "get", Short: "Print the configuration as JSON", Args: exactArgs(0)}
	get.RunE = func(cmd *cobra.Command, args []string) error {
		t.output = outputJSON
		return withClient(t, func(ctx context.Context, c *admin.Client) (*config.Document, error) {
			return c.Configuration(ctx)
		}, nil)(cmd, args)
	}
	validate := &cobra.Command{Use: "validate FILE", Short: "Check a configuration; - reads standard input", Args: exactArgs(1)}
	validate.RunE = func(cmd *cobra.Command, args []string) error {
		d, err := readDocument(cmd.InOrStdin(), args[0])
		if err != nil {
			return err
		}
		return withClient(t, func(ctx context.Context, c *admin.Client) (string, error) {
			return "valid", c.Validate(ctx, d)
		}, func(w *tabwriter.Writer, s string) { writeRow(w, s) })(cmd, args)
	}
	apply := &cobra.Command{Use: "apply FILE", Short: "Apply a configuration; the file's revision must be the current one", Args: exactArgs(1)}
	apply.RunE = func(cmd *cobra.Command, args []string) error {
		d, err := readDocument(cmd.InOrStdin(), args[0])
		if err != nil {
			return err
		}
		if t.changeOptions.ExpectedRevision == 0 {
			t.changeOptions.ExpectedRevision = d.Revision
		}
		return withClient(t, func(ctx context.Context, c *admin.Client) (admin.Change, error) {
			return c.Apply(ctx, d, t.changeOptions)
		}, printChange)(cmd, args)
	}
	limit := 0
	history := &cobra.Command{Use: "history", Short: "List changes, newest first", Args: exactArgs(0),
		RunE: withClient(t, func(ctx context.Context, c *admin.Client) ([]admin.HistoryEntry, error) { return c.History(ctx, limit) },
			func(w *tabwriter.Writer, list []admin.HistoryEntry) {
				writeRow(w, "REVISION", "WHEN", "WHO", "WHAT")
				for _, h := range list {
					writeRow(w, h.Revision, h.At.Format("2006-01-02 15:04:05Z07:00"), h.Operator, h.Summary)
				}
			})}
	history.Flags().IntVar(&limit, "limit", 50, "maximum number of changes to list")
	return commandGroup("config", "Read and apply the configuration", get, validate, t.addChangeFlags(apply), history)
}

func readDocument(stdin io.Reader, name string) (*config.Document, error) {
	var data []byte
	var err error
	if name == "-" {
		data, err = io.ReadAll(stdin)
	} else {
		data, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}
	var d config.Document
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, &usageError{errors.Wrapf(err, "%s is not a configuration", name)}
	}
	return &d, nil
}

func (t *tool) hostsCommand() *cobra.Command {
	list := &cobra.Command{Use: "list", Aliases: []string{"status"}, Short: "List hosts and their freshness", Args: exactArgs(0),
		RunE: withClient(t, func(ctx context.Context, c *admin.Client) ([]admin.HostInfo, error) { return c.Hosts(ctx) },
			func(w *tabwriter.Writer, list []admin.HostInfo) {
				writeRow(w, "HOST", "ZONE", "CALLERS", "OPERATORS", "LISTED", "LIVE", "FRESH", "DRAINING", "REVISION", "EVIDENCE AGE (ms)")
				for _, h := range list {
					writeRow(w, h.HostID, h.Zone, h.CallerAddress, h.AdminAddress, h.Listed, h.Live, h.Fresh, h.Draining, h.Revision, formatEvidenceAge(h.EvidenceAgeMs))
				}
			})}
	drain := &cobra.Command{Use: "drain [HOST]", Short: "Start the planned stop of a host; without a name, of the host at --address"}
	drain.Args = func(cmd *cobra.Command, args []string) error {
		if len(args) > 1 {
			return exactArgs(1)(cmd, args)
		}
		return nil
	}
	drain.RunE = func(cmd *cobra.Command, args []string) error {
		return withClient(t, func(ctx context.Context, c *admin.Client) (string, error) {
			if len(args) == 1 {
				address, err := adminAddress(ctx, c, args[0])
				if err != nil {
					return "", err
				}
				c.Address = address
			}
			return c.Address, c.Drain(ctx)
		}, func(w *tabwriter.Writer, address string) { writeRow(w, "draining", address) })(cmd, args)
	}
	drain.ValidArgsFunction = t.completeFromHost(hostIDs)
	return commandGroup("hosts", "Show and drain hosts", list, drain)
}

func formatEvidenceAge(ms int64) string {
	if ms < 0 {
		return "none"
	}
	return strconv.FormatInt(ms, 10)
}

func adminAddress(ctx context.Context, c *admin.Client, hostID string) (string, error) {
	hosts, err := c.Hosts(ctx)
	if err != nil {
		return "", err
	}
	for _, h := range hosts {
		if h.HostID == hostID {
			return h.AdminAddress, nil
		}
	}
	return "", &admin.Error{Code: admin.CodeNotFound, Message: "there is no host " + hostID}
}

func (t *tool) ordersCommand() *cobra.Command {
	var order admin.OrderRequest
	sendOrder := &cobra.Command{Use: "send TARGET", Short: "Send an order to an engine", Args: exactArgs(1)}
	sendOrder.RunE = func(cmd *cobra.Command, args []string) error {
		order.TargetID = args[0]
		return withClient(t, func(ctx context.Context, c *admin.Client) (admin.OrderResult, error) {
			return c.SendOrder(ctx, order)
		}, func(w *tabwriter.Writer, r admin.OrderResult) {
			writeRow(w, "target", r.TargetID)
			writeRow(w, "fencing number", r.FencingToken)
		})(cmd, args)
	}
	f := sendOrder.Flags()
	f.StringVar(&order.Kind, "kind", "", "load_model, load_adapter, load_version or change_role")
	f.StringVar(&order.Model, "model", "", "model")
	f.StringVar(&order.Adapter, "adapter", "", "adapter")
	f.StringVar(&order.Version, "version", "", "weights version")
	f.StringVar(&order.Role, "role", "", "role")
	requireFlags(sendOrder, "kind")
	_ = sendOrder.RegisterFlagCompletionFunc("kind", completeFixed("load_model", "load_adapter", "load_version", "change_role")) // fails only for an unknown flag
	sendOrder.ValidArgsFunction = t.completeFromHost(targetIDs)
	return commandGroup("orders", "Send orders to engines", sendOrder)
}

func (t *tool) unresolvedCommand() *cobra.Command {
	list := &cobra.Command{Use: "list", Short: "List non-idempotent requests without a known outcome", Args: exactArgs(0),
		RunE: withClient(t, func(ctx context.Context, c *admin.Client) ([]idempotency.Record, error) { return c.Unresolved(ctx) },
			func(w *tabwriter.Writer, list []idempotency.Record) {
				writeRow(w, "RECORD", "ACCOUNT", "SERVICE", "KEY", "STATE", "HOST", "CLAIMED")
				for _, r := range list {
					writeRow(w, r.ID, r.AccountID, r.Service, r.IdempotencyKey, r.State, r.HostID, r.ClaimedAt.Format("2006-01-02 15:04:05Z07:00"))
				}
			})}
	var request admin.ResolveRequest
	resolve := &cobra.Command{Use: "resolve RECORD", Short: "Store an outcome; the request is never run again", Args: exactArgs(1)}
	resolve.RunE = func(cmd *cobra.Command, args []string) error {
		return withClient(t, func(ctx context.Context, c *admin.Client) (string, error) {
			return args[0], c.Resolve(ctx, args[0], request)
		}, func(w *tabwriter.Writer, id string) { writeRow(w, "resolved", id) })(cmd, args)
	}
	resolve.Flags().IntVar(&request.Status, "status", 0, "HTTP status of the response to retries of the request; zero responds with an error")
	resolve.Flags().StringVar(&request.Body, "body", "", "body of the response to retries of the request")
	resolve.Flags().StringVar(&request.Note, "note", "", "how the outcome was determined")
	resolve.ValidArgsFunction = t.completeFromHost(unresolvedIDs)
	return commandGroup("unresolved", "Resolve non-idempotent requests without a known outcome", list, resolve)
}

func (t *tool) explainCommand() *cobra.Command {
	var account, model, prompt string
	explain := &cobra.Command{Use: "explain", Short: "Explain where a completion would go", Args: exactArgs(0),
		RunE: withClient(t, func(ctx context.Context, c *admin.Client) (dispatch.Explanation, error) {
			return c.ExplainRoute(ctx, account, model, prompt)
		}, func(w *tabwriter.Writer, e dispatch.Explanation) {
			writeRow(w, "chosen", e.Chosen, e.Reason)
			writeRow(w, "TARGET", "CACHED", "UNCACHED", "NETWORK (ms)", "QUEUE (ms)", "PREFILL (ms)", "LOAD (ms)", "TOTAL (ms)", "EXCLUDED")
			for _, c := range e.Candidates {
				writeRow(w, c.Target, c.CachedTokens, c.UncachedTokens, formatFixed(c.NetworkMs, 1), formatFixed(c.QueueMs, 1),
					formatFixed(c.PrefillMs, 1), formatFixed(c.LoadMs, 1), formatFixed(c.TotalMs, 1), c.Excluded)
			}
		})}
	explain.Flags().StringVar(&account, "account", "", "client account")
	explain.Flags().StringVar(&model, "model", "", "model")
	explain.Flags().StringVar(&prompt, "prompt", "", "prompt")
	requireFlags(explain, "account", "model")
	_ = explain.RegisterFlagCompletionFunc("account", t.completeFromHost(accountIDs)) // fails only for an unknown flag
	_ = explain.RegisterFlagCompletionFunc("model", t.completeFromHost(modelIDs))
	return explain
}
