package quarantine

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a target that lives and counts as crashed because it was slow to answer or
// closed a connection, and against one that has ended and counts as alive because something
// else holds its port.
func TestVerdictOnTarget(t *testing.T) {
	for name, c := range map[string]struct {
		signs []Sign
		want  Verdict
	}{
		"reports":                         {[]Sign{SignAlive}, Alive},
		"reports after a busy moment":     {[]Sign{SignNoReport, SignSilent, SignAlive}, Alive},
		"nothing listens":                 {[]Sign{SignEnded}, Crashed},
		"its port closes after its links": {[]Sign{SignNoReport, SignEnded}, Crashed},
		"a supervisor holds the port":     {[]Sign{SignNoReport, SignNoReport, SignNoReport}, Crashed},
		"unreachable":                     {[]Sign{SignSilent, SignSilent, SignSilent}, Undecided},
		"unreachable, then no report":     {[]Sign{SignSilent, SignNoReport, SignNoReport}, Undecided},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var check CrashCheck
			for i, sign := range c.signs {
				verdict, delay := check.Observe(sign)
				if i < len(c.signs)-1 {
					g.Expect(verdict).To(Equal(CheckAgain))
					g.Expect(delay).To(BeNumerically(">", 0))
					continue
				}
				g.Expect(verdict).To(Equal(c.want))
			}
		})
	}
}
