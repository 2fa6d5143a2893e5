package settings

import (
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/spf13/pflag"
)

func parse(args ...string) (*Host, *pflag.FlagSet, error) {
	var s Host
	flags := pflag.NewFlagSet("test", pflag.ContinueOnError)
	s.Register(flags)
	if err := flags.Parse(args); err != nil {
		return nil, nil, err
	}
	if err := ApplyEnvironment(flags); err != nil {
		return nil, nil, err
	}
	return &s, flags, s.Validate()
}

// Guards against validation that stops at the first problem.
func TestValidateListsAllProblems(t *testing.T) {
	g := NewWithT(t)
	_, _, err := parse("--caller-listen=example:80", "--drain-grace=1s", "--routing-policy=best")
	var invalid *Error
	g.Expect(err).To(BeAssignableToTypeOf(invalid))
	text := err.Error()
	for _, part := range []string{"--host-id is required", "--zone is required", "--region is required",
		"--caller-listen", "--drain-grace", "--routing-policy", "--platform-url is required", "--fleet-secret is required"} {
		g.Expect(text).To(ContainSubstring(part))
	}
}

// Guards against the environment overriding a flag, and against a secret in the log.
func TestFlagsTakePrecedenceOverEnvironment(t *testing.T) {
	g := NewWithT(t)
	t.Setenv("SEQUOIAROAD_ZONE", "kigali-a")
	t.Setenv("SEQUOIAROAD_HOST_ID", "h9")
	t.Setenv("SEQUOIAROAD_FLEET_SECRET", "0123456789abcdef0")
	s, _, err := parse("--host-id=h1", "--region=kigali", "--platform-url=http://127.0.0.1:1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.HostID).To(Equal("h1"))
	g.Expect(s.Zone).To(Equal("kigali-a"))
	g.Expect(s.CallerAddress).To(Equal("127.0.0.1:8080"))
	g.Expect(fmt.Sprint(s.LogFields()...)).NotTo(ContainSubstring("0123456789abcdef0"))
}

// Guards against ignoring an environment variable whose value has the wrong type.
func TestInvalidEnvironmentValueIsReported(t *testing.T) {
	g := NewWithT(t)
	t.Setenv("SEQUOIAROAD_LOCATOR_TTL", "soon")
	_, _, err := parse()
	g.Expect(err).To(MatchError(ContainSubstring("SEQUOIAROAD_LOCATOR_TTL")))
}

// Guards against docs/configuration.md missing a flag or showing another default.
func TestConfigurationPageListsEachFlag(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/configuration.md")
	g.Expect(err).NotTo(HaveOccurred())
	var s Host
	flags := pflag.NewFlagSet("test", pflag.ContinueOnError)
	s.Register(flags)
	flags.VisitAll(func(f *pflag.Flag) {
		row := fmt.Sprintf("| `--%s` | `%s` | %s | %s |", f.Name, EnvName(f.Name), defaultCell(f.DefValue), f.Usage)
		g.Expect(strings.Contains(string(page), row)).To(BeTrue(), "docs/configuration.md lacks the row:\n%s", row)
	})
}

func defaultCell(value string) string {
	if value == "" {
		return "none"
	}
	return "`" + value + "`"
}
