package link

import (
	"encoding/json"
	"net/http"
	"time"
)

// order is the body of POST /admin/link; an absent delay stays as it is, an
// absent mode is up. With From it is about the connections from that IP
// number alone.
type order struct {
	Mode    Mode     `json:"mode"`
	DelayMs *float64 `json:"delay_ms"`
	From    string   `json:"from"`
}

// State is the answer to GET /admin/link.
type State struct {
	Mode        Mode    `json:"mode"`
	DelayMs     float64 `json:"delay_ms"`
	Connections int     `json:"connections"`
	Opened      uint64  `json:"opened"`
	Bytes       uint64  `json:"bytes"`
}

func (l *Link) serveOrder(w http.ResponseWriter, r *http.Request) {
	asked := order{Mode: Up}
	if err := json.NewDecoder(r.Body).Decode(&asked); err != nil {
		http.Error(w, "decode order: "+err.Error(), http.StatusBadRequest)
		return
	}
	switch asked.Mode {
	case Up, Cut, Silent, Stalled:
	default:
		http.Error(w, "want mode up, cut, silent or stalled", http.StatusBadRequest)
		return
	}
	if asked.From != "" {
		l.SetSourceMode(asked.From, asked.Mode)
		l.serveState(w, r)
		return
	}
	delay := time.Duration(-1)
	if asked.DelayMs != nil {
		delay = milliseconds(*asked.DelayMs)
	}
	if err := l.SetMode(asked.Mode, delay); err != nil {
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
		Connections: len(l.pairs),
		Opened:      l.opened,
		Bytes:       l.bytes,
	}
	l.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(state)
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
