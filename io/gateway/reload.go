package gateway

import (
	"bytes"
	"context"
	"os"
	"time"

	"k8s.io/klog/v2"

	"pineturn/platform"
)

// watchSettings reads the settings file again on request, and when it has
// changed without one.
func (g *Gateway) watchSettings(ctx context.Context, reload <-chan struct{}) {
	last, err := os.ReadFile(g.path)
	if err != nil {
		klog.ErrorS(err, "Reading the settings file", "path", g.path)
	}
	tick := time.NewTicker(settingsInterval)
	defer tick.Stop()
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-reload:
			asked = true
		case <-tick.C:
		}
		data, err := os.ReadFile(g.path)
		if err != nil {
			klog.ErrorS(err, "Reading the settings file, keeping the settings", "path", g.path)
			continue
		}
		if bytes.Equal(data, last) {
			if asked {
				klog.InfoS("Settings are unchanged", "path", g.path)
			}
			continue
		}
		last = data
		g.applySettings(data)
	}
}

func (g *Gateway) applySettings(data []byte) {
	settings, err := platform.ParseSettings(data)
	if err != nil {
		klog.ErrorS(err, "Settings file is wrong, keeping the settings", "path", g.path)
		return
	}
	g.store.SetAddress(settings.StoreAddress)
	klog.InfoS("Settings reloaded", "path", g.path, "store", settings.StoreAddress)
}
