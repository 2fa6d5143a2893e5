package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"strings"
)

// ValidationError lists every fault of a document.
type ValidationError struct{ Faults []string }

func (e *ValidationError) Error() string {
	return "invalid configuration: " + strings.Join(e.Faults, "; ")
}

// identifierPattern keeps ids usable in URLs, row keys and log lines.
var identifierPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

type faultList struct{ faults []string }

func (f *faultList) add(format string, args ...any) {
	f.faults = append(f.faults, fmt.Sprintf(format, args...))
}

func (f *faultList) checkID(kind, id string, seen map[string]bool) {
	if !identifierPattern.MatchString(id) {
		f.add("%s id %q is not an identifier", kind, id)
	}
	if seen[id] {
		f.add("%s %q is listed twice", kind, id)
	}
	seen[id] = true
}

// Validate returns a *ValidationError that lists all faults, or nil.
func (d *Document) Validate() error {
	f := &faultList{}
	switch d.Preset {
	case "", PresetOrdinary, PresetPeak, PresetMaintenance:
	default:
		f.add("preset %q is unknown", d.Preset)
	}
	d.validateMembers(f)
	accounts := d.validateAccounts(f)
	d.validateKeys(f, accounts)
	d.validateTargets(f)
	d.validateRoutes(f)
	if len(f.faults) > 0 {
		return &ValidationError{Faults: f.faults}
	}
	return nil
}

func (d *Document) validateMembers(f *faultList) {
	seen := map[string]bool{}
	for _, m := range d.Members {
		f.checkID("member", m.HostID, seen)
		if m.Incarnation == "" {
			f.add("member %q has no incarnation", m.HostID)
		}
		if m.Weight < 0 {
			f.add("member %q has a negative weight", m.HostID)
		}
		if _, err := netip.ParseAddrPort(m.InnerAddress); err != nil {
			f.add("member %q: inner address %q is not IP:port", m.HostID, m.InnerAddress)
		}
	}
}

func (d *Document) validateAccounts(f *faultList) map[string]bool {
	seen := map[string]bool{}
	for _, a := range d.Accounts {
		f.checkID("account", a.ID, seen)
		if a.RateTokensPerSecond <= 0 {
			f.add("account %q: the rate must be above 0 tokens per second", a.ID)
		}
		if a.BurstTokens <= 0 {
			f.add("account %q: the burst must be above 0 tokens", a.ID)
		}
	}
	return seen
}

func (d *Document) validateKeys(f *faultList, accounts map[string]bool) {
	seen := map[string]bool{}
	hashes := map[KeyHash]bool{}
	for _, k := range d.ClientKeys {
		f.checkID("client key", k.ID, seen)
		if !accounts[k.AccountID] {
			f.add("client key %q names unknown account %q", k.ID, k.AccountID)
		}
		if hashes[k.Hash] {
			f.add("client key %q has the hash of another key", k.ID)
		}
		hashes[k.Hash] = true
	}
	seen = map[string]bool{}
	for _, k := range d.OperatorKeys {
		f.checkID("operator key", k.ID, seen)
		if k.Role != RoleReader && k.Role != RoleAdmin {
			f.add("operator key %q has unknown role %q", k.ID, k.Role)
		}
		if hashes[k.Hash] {
			f.add("operator key %q has the hash of another key", k.ID)
		}
		hashes[k.Hash] = true
	}
}

func (d *Document) validateTargets(f *faultList) {
	models := map[string]bool{}
	for _, m := range d.Models {
		f.checkID("model", m.ID, models)
	}
	seen := map[string]bool{}
	for _, t := range d.Targets {
		f.checkID("target", t.ID, seen)
		if err := checkTargetURL(t.URL); err != nil {
			f.add("target %q: %v", t.ID, err)
		}
		switch t.Kind {
		case TargetEngine:
			for _, m := range t.Models {
				if !models[m] {
					f.add("target %q names unknown model %q", t.ID, m)
				}
			}
		case TargetService:
			if !identifierPattern.MatchString(t.Service) {
				f.add("target %q has no service name", t.ID)
			}
		default:
			f.add("target %q has unknown kind %q", t.ID, t.Kind)
		}
	}
}

func checkTargetURL(raw string) error {
	u, err := url.Parse(raw)
	if err != nil {
		return err
	}
	if u.Scheme != "http" && u.Scheme != "https" {
		return fmt.Errorf("URL %q is not http or https", raw)
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		return fmt.Errorf("URL %q does not name IP:port", raw)
	}
	return nil
}

func (d *Document) validateRoutes(f *faultList) {
	type routeKey struct{ service, prefix, method string }
	seen := map[routeKey]bool{}
	for _, r := range d.Routes {
		if !identifierPattern.MatchString(r.Service) {
			f.add("route names service %q, which is not an identifier", r.Service)
		}
		if r.PathPrefix != "" && !strings.HasPrefix(r.PathPrefix, "/") {
			f.add("route of service %q: path prefix %q does not start with /", r.Service, r.PathPrefix)
		}
		k := routeKey{r.Service, r.PathPrefix, r.Method}
		if seen[k] {
			f.add("route %s %s%s is listed twice", r.Method, r.Service, r.PathPrefix)
		}
		seen[k] = true
	}
}
