package ctl

import (
	"context"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/sequoiaroad/sequoiaroad/internal/admin"
)

func (t *tool) limitsCommand() *cobra.Command {
	var account, host string
	var allHosts bool
	status := &cobra.Command{Use: "status", Short: "Show the tokens of client accounts at a host", Args: exactArgs(0),
		Long: "Show the tokens of client accounts on the host at --address, on another host or on all live hosts.\n\n" +
			"An account's tokens are spread over its home hosts; the owner holds most of them. LEVEL is what remains of BURST\n" +
			"on the host, OUTSTANDING the tokens granted to other hosts and not yet returned or expired, HELD the unspent tokens\n" +
			"granted by other hosts. GRANTED, RESERVED and REFUSED count since the start of the host."}
	status.RunE = func(cmd *cobra.Command, args []string) error {
		if host != "" && allHosts {
			return &usageError{errors.New("--host and --all-hosts exclude each other")}
		}
		return withClient(t, func(ctx context.Context, c *admin.Client) ([]admin.LimitStatus, error) {
			list, err := fetchLimits(ctx, c, host, allHosts)
			return filterByAccount(list, account), err
		}, printLimits)(cmd, args)
	}
	f := status.Flags()
	f.StringVar(&account, "account", "", "only this client account")
	f.StringVar(&host, "host", "", "id of the host to query")
	f.BoolVar(&allHosts, "all-hosts", false, "query all live hosts")
	_ = status.RegisterFlagCompletionFunc("account", t.completeFromHost(accountIDs)) // fails only for an unknown flag
	_ = status.RegisterFlagCompletionFunc("host", t.completeFromHost(hostIDs))
	return commandGroup("limits", "Show the token limits in use", status)
}

// fetchLimits returns the limits on the given host, on all live hosts or on the called
// one.
func fetchLimits(ctx context.Context, c *admin.Client, host string, allHosts bool) ([]admin.LimitStatus, error) {
	switch {
	case host != "":
		address, err := adminAddress(ctx, c, host)
		if err != nil {
			return nil, err
		}
		return withAddress(c, address).Limits(ctx)
	case !allHosts:
		return c.Limits(ctx)
	}
	hosts, err := c.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	var all []admin.LimitStatus
	for _, h := range hosts {
		if !h.Live {
			continue
		}
		list, err := withAddress(c, h.AdminAddress).Limits(ctx)
		if err != nil {
			return nil, err
		}
		all = append(all, list...)
	}
	return all, nil
}

// withAddress returns a copy of the client that calls another host.
func withAddress(c *admin.Client, address string) *admin.Client {
	other := *c
	other.Address = address
	return &other
}

func filterByAccount(list []admin.LimitStatus, account string) []admin.LimitStatus {
	kept := []admin.LimitStatus{}
	for _, l := range list {
		if account == "" || l.AccountID == account {
			kept = append(kept, l)
		}
	}
	return kept
}

func printLimits(w *tabwriter.Writer, list []admin.LimitStatus) {
	writeRow(w, "ACCOUNT", "HOST", "ROLE", "LEVEL", "BURST", "OUTSTANDING", "HELD", "GRANTED", "RESERVED", "REFUSED", "WAITING")
	for _, l := range list {
		writeRow(w, l.AccountID, l.HostID, homeRole(l.Rank), l.Level, l.BurstTokens, l.Outstanding, l.Held, l.Granted, l.Reserved, l.Refused, l.Waiting)
	}
}

func homeRole(rank int) string {
	switch {
	case rank == 0:
		return "owner"
	case rank > 0:
		return "home"
	}
	return "-"
}
