package preset

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

// Guards against a zero preset with other knobs than ordinary, and against presets
// that change nothing.
func TestPresets(t *testing.T) {
	g := NewWithT(t)
	g.Expect(For("")).To(Equal(For(config.PresetOrdinary)))
	g.Expect(For(config.PresetPeak)).NotTo(Equal(For("")))
	g.Expect(For(config.PresetMaintenance)).NotTo(Equal(For("")))
	g.Expect(For(config.PresetPeak).RetryShare).To(BeNumerically("<", For("").RetryShare))
}
