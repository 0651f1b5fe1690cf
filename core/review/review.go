// Package review checks a configuration before it is sent: what hosts could not serve as it is
// meant, what can never match, and what contradicts itself or the settings of hosts. It also tells
// what a configuration changes for callers. It does no I/O.
package review

import (
	"cmp"
	"fmt"
	"slices"

	"pineturn/core/routing"
)

// Severity is how serious a finding is.
type Severity string

// Severities of findings.
const (
	// Error means that hosts or the store refuse the configuration, or that requests fail by it.
	Error Severity = "error"
	// Warning means that something has no effect, or another one than it seems to have.
	Warning Severity = "warning"
)

// Field is a field of a route, a service or the limits.
type Field string

// Fields that findings are about; none for the whole route or service.
const (
	None          Field = ""
	Name          Field = "name"
	Host          Field = "host"
	Prefix        Field = "prefix"
	Kind          Field = "kind"
	Timeout       Field = "timeout"
	Objective     Field = "objective"
	Rank          Field = "rank"
	MaxAttempts   Field = "max attempts"
	ServiceName   Field = "service"
	Parts         Field = "parts"
	Regions       Field = "regions"
	ColdRate      Field = "cold rate"
	Connections   Field = "connections"
	HeaderBytes   Field = "header bytes"
	BodyBytes     Field = "body bytes"
	HeaderTimeout Field = "header timeout"
	IdleTimeout   Field = "idle timeout"
	Version       Field = "version"
)

// Section is the part of a configuration that a finding is about.
type Section string

// Sections of a configuration.
const (
	Whole    Section = ""
	Routes   Section = "routes"
	Services Section = "services"
	Limits   Section = "limits"
)

// Place is what a finding is about.
type Place struct {
	Section Section
	// Index is the position of the route or service, by the order of the configuration.
	Index int
	Field Field
}

// Finding is a fault of a configuration.
type Finding struct {
	Severity Severity
	Place    Place
	Text     string
}

// Deployment is what is known of the hosts and targets that a configuration is for. What is zero
// is not known, and is not compared.
type Deployment struct {
	// Hosts is the number of hosts.
	Hosts int
	// Regions holds the region of each failure domain.
	Regions map[string]string
	// Targets holds the number of targets by service.
	Targets map[string]int
	// Bounds are the settings of a host.
	Bounds Bounds
}

// review is one check of a configuration.
type review struct {
	config     *routing.Config
	services   []string
	deployment Deployment
	findings   []Finding
}

// Check returns what is wrong with a configuration, errors first. services are the names of its
// services in their order.
func Check(config *routing.Config, services []string, deployment Deployment) []Finding {
	r := &review{config: config, services: services, deployment: deployment}
	r.checkServices()
	for i := range config.Routes {
		r.checkRoute(i)
	}
	r.checkHidden()
	r.checkUnused()
	r.checkLimits()
	slices.SortStableFunc(r.findings, func(a, b Finding) int { return cmp.Compare(a.Severity, b.Severity) })
	return r.findings
}

func (r *review) add(severity Severity, place Place, format string, args ...any) {
	r.findings = append(r.findings, Finding{Severity: severity, Place: place, Text: fmt.Sprintf(format, args...)})
}

// route returns the place of a field of a route.
func route(i int, field Field) Place { return Place{Section: Routes, Index: i, Field: field} }

func service(i int, field Field) Place { return Place{Section: Services, Index: i, Field: field} }

func limit(field Field) Place { return Place{Section: Limits, Field: field} }

// HasErrors reports whether any finding is an error.
func HasErrors(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.Severity == Error })
}
