package review

import (
	"slices"
	"strings"
	"testing"
	"time"

	"pineturn/core/routing"
)

// valid returns a configuration without findings, and the names of its services.
func valid() (*routing.Config, []string) {
	route := routing.Route{
		Name: "r1", Host: "a.example", Prefix: "/x/", Timeout: time.Second, Objective: time.Second, MaxAttempts: 2,
		Parts: []routing.Part{{Service: "s1", Weight: 3}, {Service: "s2", Weight: 1}},
	}
	return &routing.Config{
		Version: 2, Routes: []routing.Route{route}, Services: map[string]routing.Service{"s1": {Name: "s1"}, "s2": {Name: "s2"}},
		Limits: routing.Limits{MaxHeaderBytes: 16 << 10, HeaderTimeout: time.Second, IdleTimeout: 2 * time.Second},
	}, []string{"s1", "s2"}
}

// deployment is one that valid fits.
func deployment() Deployment {
	return Deployment{
		Hosts: 3, Regions: map[string]string{"d1": "r1"}, Targets: map[string]int{"s1": 2, "s2": 2},
		Bounds: Bounds{StopTimeout: time.Second, Memory: 1 << 20, ColdOverage: 1, ColdSlack: 0.5},
	}
}

// TestCheck guards against faults of a configuration that are found only once it is in force.
func TestCheck(t *testing.T) {
	type change func(c *routing.Config, r *routing.Route)
	withService := func(s routing.Service) change {
		return func(c *routing.Config, _ *routing.Route) { c.Services["s1"] = s }
	}
	for _, x := range []struct {
		name     string
		change   change
		severity Severity
		section  Section
		field    Field
	}{
		{"no host name", func(_ *routing.Config, r *routing.Route) { r.Host = "" }, Error, Routes, Host},
		{"host name with a port", func(_ *routing.Config, r *routing.Route) { r.Host = "a.example:80" }, Error, Routes, Host},
		{"host name with a path", func(_ *routing.Config, r *routing.Route) { r.Host = "a.example/x" }, Error, Routes, Host},
		{"prefix without a slash before it", func(_ *routing.Config, r *routing.Route) { r.Prefix = "x/" }, Error, Routes, Prefix},
		{"prefix without a slash after it", func(_ *routing.Config, r *routing.Route) { r.Prefix = "/x" }, Error, Routes, Prefix},
		{"prefix with a query", func(_ *routing.Config, r *routing.Route) { r.Prefix = "/x?y/" }, Error, Routes, Prefix},
		{"unknown service", func(_ *routing.Config, r *routing.Route) { r.Parts[0].Service = "s9" }, Error, Routes, Parts},
		{"negative weight", func(_ *routing.Config, r *routing.Route) { r.Parts[0].Weight = -1 }, Error, Routes, Parts},
		{"no weight", func(_ *routing.Config, r *routing.Route) { r.Parts[0].Weight, r.Parts[1].Weight = 0, 0 }, Error, Routes, Parts},
		{"weight 0", func(_ *routing.Config, r *routing.Route) { r.Parts[0].Weight = 0 }, Warning, Routes, Parts},
		{"service named twice", func(_ *routing.Config, r *routing.Route) { r.Parts[0].Service = "s2" }, Warning, Routes, Parts},
		{"objective above timeout", func(_ *routing.Config, r *routing.Route) { r.Objective = 2 * time.Second }, Warning, Routes, Objective},
		{"timeout above that of a stop", func(_ *routing.Config, r *routing.Route) { r.Timeout = time.Minute }, Warning, Routes, Timeout},
		{"more attempts than targets", func(_ *routing.Config, r *routing.Route) { r.MaxAttempts = 3 }, Warning, Routes, MaxAttempts},
		{"region without failure domains", func(_ *routing.Config, r *routing.Route) { r.Regions = []string{"r1", "r2"} }, Warning, Routes, Regions},
		{"no region with failure domains", func(_ *routing.Config, r *routing.Route) { r.Regions = []string{"r2"} }, Error, Routes, Regions},
		{"hidden route", func(c *routing.Config, r *routing.Route) { c.Routes = append(c.Routes, *r) }, Warning, Routes, None},
		{"service without routes", func(_ *routing.Config, r *routing.Route) { r.Parts = r.Parts[:1] }, Warning, Services, None},
		{"cold targets that get no request", withService(routing.Service{ColdTime: time.Second, ColdRate: 0.4}), Error, Services, ColdRate},
		{"fewer connections than hosts", withService(routing.Service{MaxConnections: 2}), Warning, Services, Connections},
		{"headers above the hosts' limit", func(c *routing.Config, _ *routing.Route) { c.Limits.MaxHeaderBytes = 1 << 20 }, Warning, Limits, HeaderBytes},
		{"bodies above the hosts' memory", func(c *routing.Config, _ *routing.Route) { c.Limits.MaxBodyBytes = 1 << 20 }, Warning, Limits, BodyBytes},
		{"header timeout above the idle one", func(c *routing.Config, _ *routing.Route) { c.Limits.HeaderTimeout = time.Hour }, Warning, Limits, HeaderTimeout},
	} {
		t.Run(x.name, func(t *testing.T) {
			c, services := valid()
			if got := Check(c, services, deployment()); len(got) > 0 {
				t.Fatalf("valid configuration: got %v, want no finding", got)
			}
			x.change(c, &c.Routes[0])
			got := Check(c, services, deployment())
			if !slices.ContainsFunc(got, func(f Finding) bool {
				return f.Severity == x.severity && f.Place.Section == x.section && f.Place.Field == x.field
			}) {
				t.Errorf("findings: got %v, want a finding of severity %s at %s, field %q", got, x.severity, x.section, x.field)
			}
		})
	}
}

// TestCompare guards against changes for callers that the names of routes hide.
func TestCompare(t *testing.T) {
	for _, x := range []struct {
		name   string
		change func(c *routing.Config)
		want   string
	}{
		{"renamed route", func(c *routing.Config) { c.Routes[0].Name = "other" }, ""},
		{"other service", func(c *routing.Config) { c.Routes[0].Parts = []routing.Part{{Service: "s2", Weight: 1}} }, "a.example/x/: requests go to s2 instead of s1 (75%), s2 (25%)"},
		{"removed route", func(c *routing.Config) { c.Routes = nil }, "a.example/x/: requests have no route any more and get status 404"},
		{"removed route below another", func(c *routing.Config) {
			c.Routes[0].Prefix, c.Routes[0].Timeout = "/", time.Minute
		}, "a.example/x/: requests are ended after 1m0s instead of 1s"},
		{"requests may run again", func(c *routing.Config) { c.Routes[0].Idempotent = true }, "a.example/x/: requests may run more than once"},
		{"keys without owners", func(c *routing.Config) { c.Services["s1"] = routing.Service{Name: "s1", Keyed: true} }, "service s1: each key has one owner from now on"},
		{"older version", func(c *routing.Config) { c.Version = 1 }, "version 1 is not above version 1 in force"},
	} {
		t.Run(x.name, func(t *testing.T) {
			old, _ := valid()
			old.Version = 1
			c, _ := valid()
			x.change(c)
			got := strings.Join(Compare(old, c), "\n")
			if !strings.Contains(got, x.want) || x.want == "" && got != "" {
				t.Errorf("changes: got %q, want %q", got, x.want)
			}
		})
	}
}
