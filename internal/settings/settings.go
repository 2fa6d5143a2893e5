// Package settings holds the settings of a host and validates them before the host
// starts. It reads flags and SEQUOIAROAD_* environment variables.
package settings

import (
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"
	"github.com/spf13/pflag"
	"github.com/spf13/viper"
)

// EnvPrefix is the prefix of all environment variables. A flag takes precedence over its
// variable.
const EnvPrefix = "SEQUOIAROAD"

const maskedSecret = "***"

// Host holds the settings of a host that the command serve runs. The flag tag of a field
// is the name of its flag.
type Host struct {
	HostID string  `flag:"host-id" validate:"required,identifier"`
	Zone   string  `flag:"zone" validate:"required,identifier"`
	Region string  `flag:"region" validate:"required,identifier"`
	Weight float64 `flag:"weight" validate:"gt=0,lte=100"`

	CallerListen  string `flag:"caller-listen" validate:"addrport"`
	CallerAddress string `flag:"caller-address" validate:"omitempty,addrport"`
	InnerListen   string `flag:"inner-listen" validate:"addrport"`
	InnerAddress  string `flag:"inner-address" validate:"omitempty,addrport"`
	AdminListen   string `flag:"admin-listen" validate:"addrport"`
	AdminAddress  string `flag:"admin-address" validate:"omitempty,addrport"`

	PlatformURL          string  `flag:"platform-url" validate:"required,http_url"`
	StoreReadsPerSecond  float64 `flag:"store-reads-per-second" validate:"gt=0"`
	StoreWritesPerSecond float64 `flag:"store-writes-per-second" validate:"gt=0"`

	FleetSecret string `flag:"fleet-secret" secret:"true" validate:"omitempty,min=16"`
	TLSCert     string `flag:"tls-cert" validate:"omitempty,file"`
	TLSKey      string `flag:"tls-key" validate:"omitempty,file"`
	TLSCA       string `flag:"tls-ca" validate:"omitempty,file"`

	FreshnessDeadline    time.Duration `flag:"freshness-deadline" validate:"min=500ms"`
	LocatorTTL           time.Duration `flag:"locator-ttl" validate:"min=100ms,max=1h"`
	DrainGrace           time.Duration `flag:"drain-grace" validate:"min=100ms,max=2h"`
	DrainTimeout         time.Duration `flag:"drain-timeout" validate:"min=1s"`
	LimitWait            time.Duration `flag:"limit-wait" validate:"min=0,max=1m"`
	MaxBodyBytes         int64         `flag:"max-body-bytes" validate:"min=1024,max=1073741824"`
	IdempotencyRetention time.Duration `flag:"idempotency-retention" validate:"min=1h"`
	KVCopies             bool          `flag:"kv-copies"`
	RoutingPolicy        string        `flag:"routing-policy" validate:"oneof=predicted-ttft round-robin least-loaded prefix-hash"`

	TraceExporter string `flag:"trace-exporter" validate:"oneof=none stdout otlp"`
	OTLPEndpoint  string `flag:"otlp-endpoint" validate:"required_if=TraceExporter otlp,omitempty,http_url"`
	LogLevel      string `flag:"log-level" validate:"oneof=trace debug info warn error"`
	LogJSON       bool   `flag:"log-json"`
	CallerMetrics bool   `flag:"caller-metrics"`
}

// Register defines the flags of a host on a flag set.
func (s *Host) Register(flags *pflag.FlagSet) {
	flags.StringVar(&s.HostID, "host-id", "", "id of this host, unique in the fleet")
	flags.StringVar(&s.Zone, "zone", "", "availability zone of this host")
	flags.StringVar(&s.Region, "region", "", "region of this host")
	flags.Float64Var(&s.Weight, "weight", 1, "relative weight of this host in the placement of client accounts and prefixes")

	flags.StringVar(&s.CallerListen, "caller-listen", "127.0.0.1:8080", "listen address for callers, IP:port")
	flags.StringVar(&s.CallerAddress, "caller-address", "", "address advertised to callers, IP:port; empty means the listen address")
	flags.StringVar(&s.InnerListen, "inner-listen", "127.0.0.1:8081", "listen address for other hosts, IP:port")
	flags.StringVar(&s.InnerAddress, "inner-address", "", "address advertised to other hosts, IP:port; empty means the listen address")
	flags.StringVar(&s.AdminListen, "admin-listen", "127.0.0.1:8082", "listen address for operators, IP:port")
	flags.StringVar(&s.AdminAddress, "admin-address", "", "address advertised to operators, IP:port; empty means the listen address")

	flags.StringVar(&s.PlatformURL, "platform-url", "", "base URL of the platform")
	flags.Float64Var(&s.StoreReadsPerSecond, "store-reads-per-second", 100, "maximum reads per second that this host sends to the platform")
	flags.Float64Var(&s.StoreWritesPerSecond, "store-writes-per-second", 30, "maximum writes per second that this host sends to the platform")

	flags.StringVar(&s.FleetSecret, "fleet-secret", "", "secret of at least 16 characters shared by all hosts; better given in the environment than as a flag")
	flags.StringVar(&s.TLSCert, "tls-cert", "", "certificate file for mutual TLS between hosts; if empty, hosts authenticate with the fleet secret only")
	flags.StringVar(&s.TLSKey, "tls-key", "", "private key file for mutual TLS between hosts")
	flags.StringVar(&s.TLSCA, "tls-ca", "", "CA certificate file for verifying the certificates of other hosts")

	flags.DurationVar(&s.FreshnessDeadline, "freshness-deadline", 3*time.Second, "maximum age of the evidence that the host's configuration is current; with older evidence the host refuses requests that need a client key; must be the same on all hosts, because token limits depend on it")
	flags.DurationVar(&s.LocatorTTL, "locator-ttl", 5*time.Second, "time for which callers may cache a response of the locator")
	flags.DurationVar(&s.DrainGrace, "drain-grace", 10*time.Second, "time for which the host still accepts new requests after a planned stop begins; at least twice locator-ttl")
	flags.DurationVar(&s.DrainTimeout, "drain-timeout", 15*time.Minute, "maximum time that a planned stop waits for running requests to finish")
	flags.DurationVar(&s.LimitWait, "limit-wait", 250*time.Millisecond, "maximum time that a request waits for tokens of its client account under the preset ordinary; with zero, requests are refused immediately under every preset")
	flags.Int64Var(&s.MaxBodyBytes, "max-body-bytes", 8<<20, "largest request body in bytes")
	flags.DurationVar(&s.IdempotencyRetention, "idempotency-retention", 720*time.Hour, "time for which the outcome of a non-idempotent request is kept after the request ends")
	flags.BoolVar(&s.KVCopies, "kv-copies", false, "copy the KV cache of hot prefixes between engines instead of recomputing it")
	flags.StringVar(&s.RoutingPolicy, "routing-policy", "predicted-ttft", "predicted-ttft, round-robin, least-loaded or prefix-hash")

	flags.StringVar(&s.TraceExporter, "trace-exporter", "none", "none, stdout or otlp")
	flags.StringVar(&s.OTLPEndpoint, "otlp-endpoint", "", "URL for traces when trace-exporter is otlp")
	flags.StringVar(&s.LogLevel, "log-level", "info", "trace, debug, info, warn or error")
	flags.BoolVar(&s.LogJSON, "log-json", false, "write the log as JSON")
	flags.BoolVar(&s.CallerMetrics, "caller-metrics", false, "serve /metrics on the callers' address too; by default only the administration address serves it, because the metrics name client accounts")
}

// Defaults returns the settings without any flags and environment variables.
func Defaults() *Host {
	var s Host
	s.Register(pflag.NewFlagSet("defaults", pflag.ContinueOnError))
	return &s
}

// EnvName returns the environment variable of a flag.
func EnvName(flag string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// ApplyEnvironment sets each flag that is not on the command line from its variable.
func ApplyEnvironment(flags *pflag.FlagSet) error {
	v := viper.New()
	var problems []string
	flags.VisitAll(func(f *pflag.Flag) {
		name := EnvName(f.Name)
		if err := v.BindEnv(f.Name, name); err != nil || f.Changed || !v.IsSet(f.Name) {
			return
		}
		if err := flags.Set(f.Name, v.GetString(f.Name)); err != nil {
			problems = append(problems, fmt.Sprintf("%s: value is not usable for --%s", name, f.Name))
		}
	})
	if len(problems) > 0 {
		return &Error{Problems: problems}
	}
	return nil
}

// Error lists all problems of the settings.
type Error struct{ Problems []string }

func (e *Error) Error() string { return "invalid settings:\n  " + strings.Join(e.Problems, "\n  ") }

var identifier = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

func newValidator() (*validator.Validate, error) {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("flag") })
	err := v.RegisterValidation("identifier", func(l validator.FieldLevel) bool {
		return identifier.MatchString(l.Field().String())
	})
	if err != nil {
		return nil, err
	}
	err = v.RegisterValidation("addrport", func(l validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(l.Field().String())
		return err == nil
	})
	return v, err
}

// Validate returns an *Error that lists every problem, or nil. Empty advertised
// addresses are set to the listen addresses.
func (s *Host) Validate() error {
	v, err := newValidator()
	if err != nil {
		return errors.Wrap(err, "prepare validation")
	}
	var problems []string
	var invalid validator.ValidationErrors
	if err := v.Struct(s); errors.As(err, &invalid) {
		for _, f := range invalid {
			problems = append(problems, describeFieldError(f))
		}
	} else if err != nil {
		return errors.Wrap(err, "validate settings")
	}
	problems = append(problems, s.crossFieldProblems()...)
	if len(problems) > 0 {
		return &Error{Problems: problems}
	}
	s.CallerAddress = firstNonEmpty(s.CallerAddress, s.CallerListen)
	s.InnerAddress = firstNonEmpty(s.InnerAddress, s.InnerListen)
	s.AdminAddress = firstNonEmpty(s.AdminAddress, s.AdminListen)
	return nil
}

// crossFieldProblems returns the problems that involve more than one setting.
func (s *Host) crossFieldProblems() []string {
	var problems []string
	tlsFiles := 0
	for _, f := range []string{s.TLSCert, s.TLSKey, s.TLSCA} {
		if f != "" {
			tlsFiles++
		}
	}
	if tlsFiles != 0 && tlsFiles != 3 {
		problems = append(problems, "--tls-cert, --tls-key and --tls-ca go together")
	}
	if s.FleetSecret == "" {
		problems = append(problems, "--fleet-secret is required: it authenticates hosts and signs stream positions")
	}
	if s.DrainGrace < 2*s.LocatorTTL {
		problems = append(problems, "--drain-grace must be at least twice --locator-ttl, or callers still use an address that refuses them")
	}
	for _, a := range []struct{ flag, listen, address string }{
		{"caller", s.CallerListen, s.CallerAddress},
		{"inner", s.InnerListen, s.InnerAddress},
		{"admin", s.AdminListen, s.AdminAddress},
	} {
		if listen, err := netip.ParseAddrPort(a.listen); err == nil && listen.Addr().IsUnspecified() && a.address == "" {
			problems = append(problems, fmt.Sprintf("--%s-address is required when --%s-listen is a wildcard address", a.flag, a.flag))
		}
	}
	return problems
}

func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

func describeFieldError(f validator.FieldError) string {
	name := "--" + f.Field()
	switch f.Tag() {
	case "required", "required_if":
		return name + " is required"
	case "identifier":
		return fmt.Sprintf("%s: %q is not an identifier", name, f.Value())
	case "addrport":
		return fmt.Sprintf("%s: %q is not IP:port", name, f.Value())
	case "oneof":
		return fmt.Sprintf("%s: %q is not one of %s", name, f.Value(), f.Param())
	case "http_url":
		return fmt.Sprintf("%s: %q is not an http or https URL", name, f.Value())
	case "file":
		return fmt.Sprintf("%s: %q is not a readable file", name, f.Value())
	default:
		if f.Field() == "fleet-secret" {
			return name + " must have at least " + f.Param() + " characters"
		}
		return fmt.Sprintf("%s: %v does not satisfy %s %s", name, f.Value(), f.Tag(), f.Param())
	}
}

// LogFields returns flag names and values for the log, in the order of the struct, with
// secrets masked.
func (s *Host) LogFields() []any {
	var pairs []any
	value := reflect.ValueOf(*s)
	for i := range value.NumField() {
		field := value.Type().Field(i)
		name := field.Tag.Get("flag")
		shown := value.Field(i).Interface()
		if field.Tag.Get("secret") == "true" && shown != "" {
			shown = maskedSecret
		}
		pairs = append(pairs, name, shown)
	}
	return pairs
}
