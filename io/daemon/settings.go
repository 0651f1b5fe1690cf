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

// Settings is the configuration of a daemon. It is fixed at start.
type Settings struct {
	// Name is the name of this host, unique among all hosts.
	Name string
	// Domain is the failure domain that this host runs in.
	Domain string
	// CallerAddress is the IP:port that callers connect to.
	CallerAddress string
	// PeerAddress is the IP:port that other hosts connect to.
	PeerAddress string
	// AdminAddress is the IP:port for operators, metrics, health checks and state
	// dumps.
	AdminAddress string
	// LogAddress is the IP:port of the platform's log service.
	LogAddress string
	// HostListAddress is the IP:port of the platform's host list, or empty.
	HostListAddress string
	// GrantLife is the maximum duration of a grant, measured from the latest proof
	// of freshness. It must be the same on all hosts.
	GrantLife time.Duration
	// Suspicion is the time without a reply after which another host is suspected.
	Suspicion time.Duration
	// SnapshotInterval is the interval between snapshots, at most a third of the
	// log's retention.
	SnapshotInterval time.Duration
	// StopTimeout limits a graceful stop, including the handover and the wait for
	// requests in flight.
	StopTimeout time.Duration
	// MaxHeaderBytes is the maximum size of a request header, in bytes.
	MaxHeaderBytes int
	Security       security.Settings

	// parseErrors lists the flag values that could not be parsed.
	parseErrors []error
}

// Flags returns the command line flags that set the settings. Each flag can also
// be set by the environment variable named in its help text.
func (s *Settings) Flags() []cli.Flag {
	return append([]cli.Flag{
		stringFlag(&s.Name, "name", "", "name of this host, unique among all hosts"),
		stringFlag(&s.Domain, "domain", "", "failure domain that this host runs in"),
		stringFlag(&s.CallerAddress, "caller-address", "127.0.0.1:7080", "IP:port that callers connect to"),
		stringFlag(&s.PeerAddress, "peer-address", "127.0.0.1:7081", "IP:port that other hosts connect to"),
		stringFlag(&s.AdminAddress, "admin-address", "127.0.0.1:7082", "IP:port for operators, metrics, health checks and state dumps"),
		stringFlag(&s.LogAddress, "log-address", "", "IP:port of the platform's log service"),
		stringFlag(&s.HostListAddress, "hostlist-address", "", "IP:port of the platform's host list; optional"),
		s.durationFlag(&s.GrantLife, "grant-life", lease.DefaultMaxGrantDuration, "maximum duration of a grant, measured from the latest proof of freshness; must be the same on all hosts"),
		s.durationFlag(&s.Suspicion, "suspicion", member.DefaultSuspicion, "time without a reply after which another host is suspected"),
		s.durationFlag(&s.SnapshotInterval, "snapshot-interval", DefaultSnapshotInterval, "interval between snapshots; at most a third of the log's retention"),
		s.durationFlag(&s.StopTimeout, "stop-timeout", DefaultStopTimeout, "time limit of a graceful stop, for the handover and requests in flight"),
		s.intFlag(&s.MaxHeaderBytes, "max-header-bytes", DefaultMaxHeaderBytes, "maximum size of a request header, in bytes"),
	}, s.Security.Flags()...)
}

func stringFlag(dest *string, name, value, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Value: value, Destination: dest, Usage: usage, Sources: cli.EnvVars(envName(name))}
}

func (s *Settings) durationFlag(dest *time.Duration, name string, value time.Duration, usage string) cli.Flag {
	*dest = value
	return genericFlag(&parsedValue[time.Duration]{
		dest: dest, name: name, parse: time.ParseDuration, expected: "a duration with a unit, such as 900ms", errs: &s.parseErrors,
	}, name, usage+" (such as 900ms)")
}

func (s *Settings) intFlag(dest *int, name string, value int, usage string) cli.Flag {
	*dest = value
	return genericFlag(&parsedValue[int]{
		dest: dest, name: name, parse: strconv.Atoi, expected: "an integer", errs: &s.parseErrors,
	}, name, usage)
}

// envName returns the environment variable for a flag.
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

// Limits of the settings.
const (
	minGrantLife = 300 * time.Millisecond
	maxGrantLife = time.Minute
	minSuspicion = 200 * time.Millisecond
	// minHeaderBytes and maxHeaderBytes limit MaxHeaderBytes, in bytes.
	minHeaderBytes = 1 << 10
	maxHeaderBytes = 1 << 20
)

// Check returns all errors in the settings.
func (s *Settings) Check() []error {
	errs := slices.Clone(s.parseErrors)
	addError := func(format string, args ...any) { errs = append(errs, errors.Newf(format, args...)) }
	if s.Name == "" {
		addError("--name: required")
	}
	if s.Domain == "" {
		addError("--domain: required")
	}
	listeners := map[string]string{}
	for _, entry := range []struct {
		flag, address string
		listener      bool
	}{
		{"caller-address", s.CallerAddress, true}, {"peer-address", s.PeerAddress, true},
		{"admin-address", s.AdminAddress, true}, {"log-address", s.LogAddress, false},
		{"hostlist-address", s.HostListAddress, false},
	} {
		if entry.address == "" && entry.flag == "hostlist-address" {
			continue
		}
		if err := checkAddress(entry.address); err != nil {
			addError("--%s: %v", entry.flag, err)
		}
		if other, ok := listeners[entry.address]; ok && entry.listener {
			addError("--%s: same address as --%s", entry.flag, other)
		}
		if entry.listener {
			listeners[entry.address] = entry.flag
		}
	}
	if s.GrantLife < minGrantLife || s.GrantLife > maxGrantLife {
		addError("--grant-life: %v, must be between %v and %v", s.GrantLife, minGrantLife, maxGrantLife)
	}
	if s.Suspicion < minSuspicion {
		addError("--suspicion: %v, must be at least %v", s.Suspicion, minSuspicion)
	}
	if s.SnapshotInterval <= 0 {
		addError("--snapshot-interval: %v, must be greater than 0", s.SnapshotInterval)
	}
	if s.MaxHeaderBytes < minHeaderBytes || s.MaxHeaderBytes > maxHeaderBytes {
		addError("--max-header-bytes: %d, must be between %d and %d", s.MaxHeaderBytes, minHeaderBytes, maxHeaderBytes)
	}
	if s.StopTimeout <= 0 {
		addError("--stop-timeout: %v, must be greater than 0", s.StopTimeout)
	}
	return append(errs, s.Security.Check()...)
}

// checkAddress returns an error unless address is an IP address with a port.
// Host names are rejected because the daemon does not resolve names.
func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return errors.Newf("%q is not an IP:port", address)
	}
	if net.ParseIP(host) == nil {
		return errors.Newf("%q: %q is not an IP address", address, host)
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
		return errors.Newf("%q: %q is not a valid port", address, port)
	}
	return nil
}
