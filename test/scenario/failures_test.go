package scenario

import (
	"os"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// failureSeeds are the default seeds. The environment variable FAILURE_SEEDS overrides
// them with a comma-separated list.
const failureSeeds = "1,2"

// Guards against failures that only a combination of faults causes, by running a fleet
// under a sequence of faults that a seed determines. See testdata/failures/run.txtar and
// cmdFailures for the checks.
func TestSeededFailures(t *testing.T) {
	seeds := os.Getenv("FAILURE_SEEDS")
	if seeds == "" {
		seeds = failureSeeds
	}
	for seed := range strings.SplitSeq(seeds, ",") {
		t.Run(seed, func(t *testing.T) {
			t.Parallel()
			testscript.Run(t, testscript.Params{
				Files: []string{"testdata/failures/run.txtar"},
				Setup: func(env *testscript.Env) error {
					env.Setenv("SEED", seed)
					return setup(env)
				},
				Cmds:                scriptCommands(),
				RequireExplicitExec: true,
			})
		})
	}
}
