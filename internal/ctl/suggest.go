package ctl

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/sequoiaroad/sequoiaroad/internal/admin"
	"github.com/sequoiaroad/sequoiaroad/internal/idempotency"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

// completionTimeout bounds how long a shell waits for completions.
const completionTimeout = 2 * time.Second

type completion = func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective)

// completeFixed completes a flag with fixed values.
func completeFixed(values ...string) completion {
	return func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
		return values, cobra.ShellCompDirectiveNoFileComp
	}
}

// completeFromHost completes with names that the host returns. It completes nothing if the
// host is unreachable.
func (t *tool) completeFromHost(names func(context.Context, *admin.Client) ([]string, error)) completion {
	return func(cmd *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
		client, err := t.client()
		if err != nil {
			return nil, cobra.ShellCompDirectiveNoFileComp
		}
		ctx, cancel := context.WithTimeout(context.Background(), completionTimeout)
		defer cancel()
		list, err := names(ctx, client)
		if err != nil {
			return nil, cobra.ShellCompDirectiveNoFileComp
		}
		return list, cobra.ShellCompDirectiveNoFileComp
	}
}

func collectIDs[T any](list []T, err error, id func(T) string) ([]string, error) {
	all := make([]string, len(list))
	for i, x := range list {
		all[i] = id(x)
	}
	return all, err
}

func accountIDs(ctx context.Context, c *admin.Client) ([]string, error) {
	list, err := c.Accounts(ctx)
	return collectIDs(list, err, func(a admin.AccountStatus) string { return a.ID })
}

func keyIDs(ctx context.Context, c *admin.Client) ([]string, error) {
	list, err := c.Keys(ctx, "")
	return collectIDs(list, err, func(k admin.KeyInfo) string { return k.ID })
}

func hostIDs(ctx context.Context, c *admin.Client) ([]string, error) {
	list, err := c.Hosts(ctx)
	return collectIDs(list, err, func(h admin.HostInfo) string { return h.HostID })
}

func targetIDs(ctx context.Context, c *admin.Client) ([]string, error) {
	list, err := c.Targets(ctx)
	return collectIDs(list, err, func(x config.Target) string { return x.ID })
}

func modelIDs(ctx context.Context, c *admin.Client) ([]string, error) {
	list, err := c.Models(ctx)
	return collectIDs(list, err, func(m config.Model) string { return m.ID })
}

func unresolvedIDs(ctx context.Context, c *admin.Client) ([]string, error) {
	list, err := c.Unresolved(ctx)
	return collectIDs(list, err, func(r idempotency.Record) string { return r.ID })
}

// requireFlags makes a command return a usage error that lists all missing flags.
func requireFlags(cmd *cobra.Command, flags ...string) {
	run := cmd.RunE
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		missing := ""
		for _, name := range flags {
			if cmd.Flags().Lookup(name).Value.String() == "" {
				missing += " --" + name
			}
		}
		if missing != "" {
			return &usageError{errors.Errorf("%s requires%s", cmd.CommandPath(), missing)}
		}
		return run(cmd, args)
	}
}
