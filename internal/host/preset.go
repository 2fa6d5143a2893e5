package host

import (
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/preset"
)

// knobs returns the parameters of the current preset.
func (h *Host) knobs() preset.Knobs { return preset.For(h.index().Document().Preset) }

// applyPreset sets the limiter's wait to that of the preset. The dispatcher and the
// gateway read the preset themselves.
func (h *Host) applyPreset() {
	wait := time.Duration(h.knobs().LimitWaitFactor * float64(h.options.Settings.LimitWait))
	h.limiter.SetMaxWait(wait)
}

func (h *Host) defaultDeadline() time.Duration { return h.knobs().DefaultDeadline }
