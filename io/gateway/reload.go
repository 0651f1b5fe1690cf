package gateway

import (
	"bytes"
	"context"
	"os"
	"time"

	"k8s.io/klog/v2"

	"pineturn/platform"
)

// watchSettings reads the settings file on each value of reload and every
// settingsPollInterval, and applies it if it has changed.
func (g *Gateway) watchSettings(ctx context.Context, reload <-chan struct{}) {
	last, err := os.ReadFile(g.settingsPath)
	if err != nil {
		klog.ErrorS(err, "Failed to read the settings file", "path", g.settingsPath)
	}
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	for {
		requested := false
		select {
		case <-ctx.Done():
			return
		case <-reload:
			requested = true
		case <-tick.C:
		}
		data, err := os.ReadFile(g.settingsPath)
		if err != nil {
			klog.ErrorS(err, "Failed to read the settings file, keeping the current settings", "path", g.settingsPath)
			continue
		}
		if bytes.Equal(data, last) {
			if requested {
				klog.InfoS("Settings are unchanged", "path", g.settingsPath)
			}
			continue
		}
		last = data
		g.applySettings(data)
	}
}

// applySettings applies the store's address, the only setting that can change
// while the host runs.
func (g *Gateway) applySettings(data []byte) {
	settings, err := platform.ParseSettings(data)
	if err != nil {
		klog.ErrorS(err, "Invalid settings file, keeping the current settings", "path", g.settingsPath)
		return
	}
	g.store.SetAddress(settings.StoreAddress)
	klog.InfoS("Settings reloaded", "path", g.settingsPath, "store", settings.StoreAddress)
}
