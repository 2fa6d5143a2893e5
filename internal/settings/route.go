package settings

import (
	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"
	"github.com/spf13/pflag"
)

// RouteFlags holds the flags of the route command, which runs a host on the users'
// platform. The settings that the platform provides are in Deployment.
type RouteFlags struct {
	NodeFile           string `flag:"node-file" validate:"required,file"`
	FleetSecret        string `flag:"fleet-secret" secret:"true" validate:"required,min=16"`
	MetricsListen      string `flag:"metrics-listen" validate:"omitempty,addrport"`
	MaxConcurrentLoads int    `flag:"loads-at-once" validate:"min=0,max=1000"`

	TraceExporter string `flag:"trace-exporter" validate:"oneof=none stdout otlp"`
	OTLPEndpoint  string `flag:"otlp-endpoint" validate:"required_if=TraceExporter otlp,omitempty,http_url"`
	LogLevel      string `flag:"log-level" validate:"oneof=trace debug info warn error"`
}

// Register defines the flags on a flag set.
func (s *RouteFlags) Register(flags *pflag.FlagSet) {
	flags.StringVar(&s.NodeFile, "node-file", "", "path of the platform's settings file")
	flags.StringVar(&s.FleetSecret, "fleet-secret", "", "secret of at least 16 characters shared by all hosts; better given in the environment than as a flag")
	flags.StringVar(&s.MetricsListen, "metrics-listen", "", "listen address for metrics, IP:port; empty disables them")
	flags.IntVar(&s.MaxConcurrentLoads, "loads-at-once", 0, "number of engines that may load weights at the same time; zero means a quarter of all engines")
	flags.StringVar(&s.TraceExporter, "trace-exporter", "none", "none, stdout or otlp")
	flags.StringVar(&s.OTLPEndpoint, "otlp-endpoint", "", "URL for traces when trace-exporter is otlp")
	flags.StringVar(&s.LogLevel, "log-level", "info", "trace, debug, info, warn or error")
}

// Validate returns an *Error that lists every problem, or nil.
func (s *RouteFlags) Validate() error { return validate(s) }

// validate checks a struct and collects its problems in an *Error.
func validate(s any) error {
	v, err := newValidator()
	if err != nil {
		return errors.Wrap(err, "prepare validation")
	}
	err = v.Struct(s)
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		return errors.Wrap(err, "validate settings")
	}
	e := &Error{}
	for _, f := range invalid {
		e.Problems = append(e.Problems, describeFieldError(f))
	}
	return e
}
