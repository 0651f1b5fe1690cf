package daemon

import (
	"encoding/json"
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"pineturn/core/fold"
	"pineturn/io/operator"
)

// operatorHandler returns the handler for operators' requests, metrics, health
// checks and state dumps.
func (d *Daemon) operatorHandler() http.Handler {
	server := operator.Server{Authorize: d.authorize, Commands: d.commands(), Queries: d.queries()}
	mux := http.NewServeMux()
	mux.Handle("/operator/", server.Handler())
	mux.Handle("GET /metrics", promhttp.HandlerFor(d.metrics.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", d.healthz)
	mux.HandleFunc("GET /readyz", d.readyz)
	mux.Handle("GET /debug/state", d.credentials.OperatorKeys().Require(http.HandlerFunc(d.debugState)))
	return mux
}

// healthz responds with 200 as long as the process is running.
func (d *Daemon) healthz(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

// readyz responds with 200 if the platform's load balancer may route callers to
// this host, and with 503 otherwise.
func (d *Daemon) readyz(w http.ResponseWriter, _ *http.Request) {
	switch {
	case d.host.Leaving():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case d.diverged():
		http.Error(w, "state differs from another host's", http.StatusServiceUnavailable)
	case !d.host.Ready():
		http.Error(w, "no state yet", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ready\n"))
	}
}

func (d *Daemon) diverged() (diverged bool) {
	d.host.ViewState(func(state *fold.State) { diverged = state.Diverged() })
	return diverged
}

// debugState responds with a dump of the process state. The dump is limited in
// size and contains neither request contents nor keys.
func (d *Daemon) debugState(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(d.dump())
}
