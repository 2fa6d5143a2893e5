package command

import (
	"io"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/sequoiaroad/sequoiaroad/internal/explain"
)

// explainCommand prints the log lines about one request.
func explainCommand(stdout io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST-ID",
		Short: "Print what the logs on standard input say about one request, in order",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			n, err := explain.Request(args[0], cmd.InOrStdin(), stdout)
			if err == nil && n == 0 {
				err = errors.Errorf("no line of the log is about request %s", args[0])
			}
			return err
		},
	}
}
