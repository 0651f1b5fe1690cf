package link

import (
	"encoding/json"
	"net/http"
	"time"
)

// modeRequest is the body of POST /admin/link. An absent delay is left unchanged;
// an absent mode is up. If From is set, the request applies only to connections
// from that IP address, and DelayMs is ignored.
type modeRequest struct {
	Mode    Mode     `json:"mode"`
	DelayMs *float64 `json:"delay_ms"`
	From    string   `json:"from"`
}

// State is the response to GET /admin/link. Connections counts the open ones,
// Opened all accepted ones, Bytes the bytes forwarded in both directions.
type State struct {
	Mode        Mode    `json:"mode"`
	DelayMs     float64 `json:"delay_ms"`
	Connections int     `json:"connections"`
	Opened      uint64  `json:"opened"`
	Bytes       uint64  `json:"bytes"`
}

func (l *Link) serveMode(w http.ResponseWriter, r *http.Request) {
	req := modeRequest{Mode: Up}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, "decode order: "+err.Error(), http.StatusBadRequest)
		return
	}
	switch req.Mode {
	case Up, Cut, Silent, Stalled:
	default:
		http.Error(w, "want mode up, cut, silent or stalled", http.StatusBadRequest)
		return
	}
	if req.From != "" {
		l.SetSourceMode(req.From, req.Mode)
		l.serveState(w, r)
		return
	}
	delay := time.Duration(-1)
	if req.DelayMs != nil {
		delay = milliseconds(*req.DelayMs)
	}
	if err := l.SetMode(req.Mode, delay); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	l.serveState(w, r)
}

func (l *Link) serveState(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	state := State{
		Mode:        l.mode,
		DelayMs:     float64(l.delay) / float64(time.Millisecond),
		Connections: len(l.conns),
		Opened:      l.opened,
		Bytes:       l.bytes,
	}
	l.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(state)
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
