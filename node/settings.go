// Package node assembles one process of the fleet from its settings: listeners,
// filter chains, the control loop and the outbound workers.
package node

import (
	"fmt"
	"net/netip"
	"net/url"
	"time"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Settings are the settings of one process. Every field can be set by a flag or by an
// environment variable with the prefix RAGWORTYARD_.
type Settings struct {
	ID   string `required:"" help:"Identifier of this host in the platform's host list."`
	Zone string `required:"" help:"Availability zone of this host."`

	CallersAddr  string `default:"127.0.0.1:8080" help:"IP and port on which callers connect."`
	TrafficAddr  string `default:"127.0.0.1:8081" help:"IP and port on which other processes send requests."`
	ControlAddr  string `default:"127.0.0.1:8082" help:"IP and port on which other processes send control messages."`
	OperatorAddr string `default:"127.0.0.1:8083" help:"IP and port of metrics, health, readiness and status."`

	ConfigURL string `required:"" help:"Base URL of the configuration service."`
	HostsURL  string `required:"" help:"Base URL of the host list."`

	HostsInterval time.Duration `default:"1s" help:"Time between two reads of the host list."`
	DrainTime     time.Duration `default:"2s" help:"Time that a stopping process still takes work after it announced the stop."`
	StopTimeout   time.Duration `default:"30s" help:"Longest time that a stopping process waits for running requests."`
	LedgerWindow  time.Duration `default:"5m" help:"Time for which an idempotency key is remembered; the same in the whole fleet."`

	HealthReports string `default:"auto" enum:"auto,often,seldom" help:"How often to report on backend servers that behave as before: often (every second), seldom (every 5 seconds, for about 11 on a host) or auto (seldom from 300 in the fleet). Processes may differ."`

	FleetCert  string `help:"File with the certificate chain for other processes (PEM). Read again when it changes."`
	FleetKey   string `help:"File with the private key of the fleet certificate (PEM)."`
	FleetCA    string `help:"File with the certificate authority of the fleet (PEM)."`
	FleetPlain bool   `help:"Talk to other processes without TLS; for loopback and tests only."`

	CallersCert string `help:"File with the certificate chain for callers (PEM); without it callers connect without TLS."`
	CallersKey  string `help:"File with the private key of the callers' certificate (PEM)."`

	LogLevel string `default:"info" enum:"debug,info,warn,error" help:"Least level of log lines: debug, info, warn or error."`
}

// SettingError is an invalid setting.
type SettingError struct {
	Setting string // name of the flag
	Reason  string
}

// Error returns the result code, the flag and the reason.
func (e *SettingError) Error() string {
	return fmt.Sprintf("%s: --%s: %s", pipeline.CodeBadSetting, e.Setting, e.Reason)
}

// Validate checks the constraints that the types of the flags cannot express.
func (s *Settings) Validate() error {
	checks := []func() error{s.checkAddresses, s.checkURLs, s.checkDurations, s.checkTLS}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkAddresses() error {
	named := []struct{ flag, value string }{
		{"callers-addr", s.CallersAddr},
		{"traffic-addr", s.TrafficAddr},
		{"control-addr", s.ControlAddr},
		{"operator-addr", s.OperatorAddr},
	}
	for _, n := range named {
		if _, err := netip.ParseAddrPort(n.value); err != nil {
			return &SettingError{n.flag, "must be an IP address and a port, for example 10.0.0.5:8080"}
		}
	}
	return nil
}

func (s *Settings) checkURLs() error {
	named := []struct{ flag, value string }{{"config-url", s.ConfigURL}, {"hosts-url", s.HostsURL}}
	for _, n := range named {
		u, err := url.Parse(n.value)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return &SettingError{n.flag, "must be an http or https URL"}
		}
	}
	return nil
}

func (s *Settings) checkDurations() error {
	named := []struct {
		flag  string
		value time.Duration
	}{
		{"hosts-interval", s.HostsInterval},
		{"stop-timeout", s.StopTimeout},
		{"ledger-window", s.LedgerWindow},
	}
	for _, n := range named {
		if n.value <= 0 {
			return &SettingError{n.flag, "must be positive"}
		}
	}
	if s.DrainTime < 0 {
		return &SettingError{"drain-time", "must not be negative"}
	}
	return nil
}

func (s *Settings) checkTLS() error {
	allFiles := s.FleetCert != "" && s.FleetKey != "" && s.FleetCA != ""
	anyFile := s.FleetCert != "" || s.FleetKey != "" || s.FleetCA != ""
	switch {
	case s.FleetPlain && anyFile:
		return &SettingError{"fleet-plain", "cannot be combined with fleet-cert, fleet-key and fleet-ca"}
	case !s.FleetPlain && !allFiles:
		return &SettingError{"fleet-cert", "fleet-cert, fleet-key and fleet-ca are required unless fleet-plain is set"}
	case (s.CallersCert == "") != (s.CallersKey == ""):
		return &SettingError{"callers-cert", "callers-cert and callers-key must be set together"}
	}
	return nil
}
