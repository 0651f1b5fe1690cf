package daemon

import (
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"pineturn/core/lease"
	"pineturn/core/member"
	"pineturn/io/security"
)

// Settings are what a daemon is told at its start.
type Settings struct {
	Name             string
	Domain           string
	CallerAddress    string
	PeerAddress      string
	AdminAddress     string
	LogAddress       string
	HostListAddress  string
	GrantLife        time.Duration
	Suspicion        time.Duration
	SnapshotInterval time.Duration
	StopTimeout      time.Duration
	MaxHeaderBytes   int
	Security         security.Settings

	// malformed are the values that could not be read.
	malformed []error
}

// Flags returns the command line flags that fill the settings; each can also
// be set by the environment variable that its help names.
func (s *Settings) Flags() []cli.Flag {
	return append([]cli.Flag{
		text(&s.Name, "name", "", "name of this host, unique among all hosts"),
		text(&s.Domain, "domain", "", "failure domain that this host runs in"),
		text(&s.CallerAddress, "caller-address", "127.0.0.1:7080", "IP:port that callers connect to"),
		text(&s.PeerAddress, "peer-address", "127.0.0.1:7081", "IP:port that other hosts connect to"),
		text(&s.AdminAddress, "admin-address", "127.0.0.1:7082", "IP:port for operators, metrics, health and dumps"),
		text(&s.LogAddress, "log-address", "", "IP:port of the platform's log service"),
		text(&s.HostListAddress, "hostlist-address", "", "IP:port of the platform's host list; empty for none"),
		s.span(&s.GrantLife, "grant-life", lease.DefaultLife, "time a grant lasts after the latest proof of freshness; the same on all hosts"),
		s.span(&s.Suspicion, "suspicion", member.DefaultSuspicion, "time of silence after which another host is suspected"),
		s.span(&s.SnapshotInterval, "snapshot-interval", DefaultSnapshotInterval, "time between two snapshots; at most a third of the log's retention"),
		s.span(&s.StopTimeout, "stop-timeout", DefaultStopTimeout, "time a stop may take to hand over and to finish requests"),
		s.count(&s.MaxHeaderBytes, "max-header-bytes", DefaultMaxHeaderBytes, "size of the largest request header, in bytes"),
	}, s.Security.Flags()...)
}

func text(into *string, name, value, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Value: value, Destination: into, Usage: usage, Sources: cli.EnvVars(envName(name))}
}

func (s *Settings) span(into *time.Duration, name string, value time.Duration, usage string) cli.Flag {
	*into = value
	return flagOf(&parsed[time.Duration]{
		into: into, name: name, parse: time.ParseDuration, want: "a duration with its unit, such as 900ms", faults: &s.malformed,
	}, name, usage+" (such as 900ms)")
}

func (s *Settings) count(into *int, name string, value int, usage string) cli.Flag {
	*into = value
	return flagOf(&parsed[int]{
		into: into, name: name, parse: strconv.Atoi, want: "a whole number", faults: &s.malformed,
	}, name, usage)
}

// envName is the environment variable of a flag.
func envName(flag string) string {
	name := []byte("PINETURN_" + flag)
	for i, c := range name {
		switch {
		case c == '-':
			name[i] = '_'
		case c >= 'a' && c <= 'z':
			name[i] = c - 'a' + 'A'
		}
	}
	return string(name)
}

// Bounds of the settings.
const (
	minGrantLife = 300 * time.Millisecond
	maxGrantLife = time.Minute
	minSuspicion = 200 * time.Millisecond
	// minHeaderBytes and maxHeaderBytes bound the size of a header.
	minHeaderBytes = 1 << 10
	maxHeaderBytes = 1 << 20
)

// Check names everything that is wrong with the settings.
func (s *Settings) Check() []error {
	faults := slices.Clone(s.malformed)
	fault := func(format string, args ...any) { faults = append(faults, errors.Newf(format, args...)) }
	if s.Name == "" {
		fault("--name: missing")
	}
	if s.Domain == "" {
		fault("--domain: missing")
	}
	listeners := map[string]string{}
	for _, one := range []struct {
		flag, address string
		listener      bool
	}{
		{"caller-address", s.CallerAddress, true}, {"peer-address", s.PeerAddress, true},
		{"admin-address", s.AdminAddress, true}, {"log-address", s.LogAddress, false},
		{"hostlist-address", s.HostListAddress, false},
	} {
		if one.address == "" && one.flag == "hostlist-address" {
			continue
		}
		if err := checkAddress(one.address); err != nil {
			fault("--%s: %v", one.flag, err)
		}
		if other, ok := listeners[one.address]; ok && one.listener {
			fault("--%s: the same address as --%s", one.flag, other)
		}
		if one.listener {
			listeners[one.address] = one.flag
		}
	}
	if s.GrantLife < minGrantLife || s.GrantLife > maxGrantLife {
		fault("--grant-life: %v, want %v to %v", s.GrantLife, minGrantLife, maxGrantLife)
	}
	if s.Suspicion < minSuspicion {
		fault("--suspicion: %v, want at least %v", s.Suspicion, minSuspicion)
	}
	if s.SnapshotInterval <= 0 {
		fault("--snapshot-interval: %v, want more than 0", s.SnapshotInterval)
	}
	if s.MaxHeaderBytes < minHeaderBytes || s.MaxHeaderBytes > maxHeaderBytes {
		fault("--max-header-bytes: %d, want %d to %d", s.MaxHeaderBytes, minHeaderBytes, maxHeaderBytes)
	}
	if s.StopTimeout <= 0 {
		fault("--stop-timeout: %v, want more than 0", s.StopTimeout)
	}
	return append(faults, s.Security.Check()...)
}

// checkAddress wants an IP address and a port, since names are not resolved.
func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return errors.Newf("%q is no IP:port", address)
	}
	if net.ParseIP(host) == nil {
		return errors.Newf("%q: %q is no IP address", address, host)
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
		return errors.Newf("%q: %q is no port", address, port)
	}
	return nil
}
