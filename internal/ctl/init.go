package ctl

import (
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/sequoiaroad/sequoiaroad/internal/admin"
	"github.com/sequoiaroad/sequoiaroad/internal/fleet"
	"github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

// initResult is the first revision with its operator key.
type initResult struct {
	OperatorID  string `json:"operator_id"`
	OperatorKey string `json:"operator_key"`
	Revision    uint64 `json:"revision"`
}

// initCommand writes revision 1 directly to the platform, before any host runs.
func (t *tool) initCommand() *cobra.Command {
	var platformURL, operatorID string
	cmd := &cobra.Command{
		Use:   "init",
		Short: "Create the first revision of the configuration and print an operator key once",
		Args:  exactArgs(0),
	}
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if platformURL == "" {
			return &usageError{errors.New("--platform-url is required")}
		}
		client, err := platform.NewClient(platform.Options{BaseURL: platformURL})
		if err != nil {
			return &usageError{err}
		}
		defer client.Close()
		key := admin.NewOperatorKey()
		err = fleet.Bootstrap(cmd.Context(), client, &config.Document{
			Preset:       config.PresetOrdinary,
			OperatorKeys: []config.OperatorKey{{ID: operatorID, Hash: config.HashKey(key), Role: config.RoleAdmin}},
			Change:       config.ChangeRecord{Operator: operatorID, At: time.Now().UTC(), Summary: "first configuration"},
		})
		if err != nil {
			return initError(platformURL, err)
		}
		result := initResult{OperatorID: operatorID, OperatorKey: key, Revision: 1}
		return t.printResult(result, func(w *tabwriter.Writer) {
			writeRow(w, "operator", result.OperatorID)
			writeRow(w, "key", result.OperatorKey)
			writeRow(w, "revision", result.Revision)
		})
	}
	cmd.Flags().StringVar(&platformURL, "platform-url", "", "base URL of the platform")
	cmd.Flags().StringVar(&operatorID, "operator-id", "first", "id of the operator key")
	return cmd
}

func initError(platformURL string, err error) error {
	switch {
	case errors.Is(err, fleet.ErrRevisionConflict):
		return &admin.Error{Code: admin.CodeConflict, Message: "the platform already holds a configuration"}
	case errors.Is(err, platform.ErrUnknownOutcome):
		return &admin.Error{Code: admin.CodeOutcomeUnknown, Message: err.Error()}
	case errors.Is(err, platform.ErrUnavailable):
		return &admin.UnreachableError{Address: platformURL, Err: err}
	default:
		return err
	}
}
