// Package feature decides whether parts of the router that a deployment may ask for are in use.
package feature

import "fmt"

// Setting is the setting of a feature.
type Setting string

// Settings of a feature.
const (
	// Auto uses the feature where the deployment has enough hosts for it.
	Auto Setting = "auto"
	// On uses the feature.
	On Setting = "on"
	// Off does not use the feature.
	Off Setting = "off"
)

// Parse returns the setting that a text names.
func Parse(text string) (Setting, error) {
	switch s := Setting(text); s {
	case Auto, On, Off:
		return s, nil
	}
	return Off, fmt.Errorf("setting is %q, want auto, on or off", text)
}

// Switch tells whether a feature is in use. It is safe for concurrent use if Hosts is.
type Switch struct {
	setting  Setting
	minHosts int
	hosts    func() int
}

// New returns the switch of a feature that Auto uses from a number of hosts on. hosts returns
// the number of hosts in service.
func New(setting Setting, minHosts int, hosts func() int) *Switch {
	return &Switch{setting: setting, minHosts: minHosts, hosts: hosts}
}

// Enabled reports whether the feature is in use now.
func (s *Switch) Enabled() bool {
	switch s.setting {
	case On:
		return true
	case Auto:
		return s.hosts() >= s.minHosts
	}
	return false
}
