package demo

import (
	"time"

	"pineturn/core/config"
	"pineturn/io/standin/hostlist"
)

// Default settings. The default addresses of the targets are those of the sample
// configuration.
const (
	defaultLogAddress      = "127.0.0.2:7001"
	defaultHostlistAddress = "127.0.0.2:7002"
	defaultServiceTime     = 5 * time.Millisecond
	defaultSlots           = 2
	defaultConnections     = 100
)

// Target is one target of the demo.
type Target struct {
	Service     string
	Name        string
	Address     string
	Checked     bool
	Slots       int
	Connections int
}

// settings are the settings of Start. If auditFolder is not empty, each target writes
// its audit to a file in this folder.
type settings struct {
	logAddress      string
	hostlistAddress string
	hosts           []hostlist.Host
	targets         []Target
	auditFolder     string
}

// Option changes a setting of Start.
type Option func(*settings)

// WithAddresses sets the addresses on which the log service and the host list
// listen.
func WithAddresses(log, hostlist string) Option {
	return func(s *settings) { s.logAddress, s.hostlistAddress = log, hostlist }
}

// WithHosts sets the list of hosts.
func WithHosts(hosts ...hostlist.Host) Option { return func(s *settings) { s.hosts = hosts } }

// WithTargets sets the targets.
func WithTargets(targets ...Target) Option { return func(s *settings) { s.targets = targets } }

// WithConfig replaces the targets by those of a configuration, with its
// settings.
func WithConfig(configured *config.Config) Option {
	return func(s *settings) {
		s.targets = nil
		for _, service := range configured.Services() {
			for _, target := range service.Targets() {
				s.targets = append(s.targets, Target{
					Service: service.Name(), Name: target.ID().Name, Address: target.Address(), Checked: target.Checked(),
					Slots: target.Slots(), Connections: target.Connections(),
				})
			}
		}
	}
}

// WithAuditFolder makes each target write its audit to a file in folder, which
// "standin check" reads.
func WithAuditFolder(folder string) Option { return func(s *settings) { s.auditFolder = folder } }

func defaults() settings {
	sample := func(service, address string, checked bool) Target {
		return Target{
			Service: service, Name: service + "-1", Address: address, Checked: checked,
			Slots: defaultSlots, Connections: defaultConnections,
		}
	}
	return settings{
		logAddress:      defaultLogAddress,
		hostlistAddress: defaultHostlistAddress,
		targets: []Target{
			sample("coverdesk", "127.0.0.21:9001", true),
			sample("payoutledger", "127.0.0.31:9001", false),
			sample("recordsvault", "127.0.0.41:9001", true),
		},
	}
}
