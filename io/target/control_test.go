package target

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
)

func TestControl(t *testing.T) {
	status := `{"incarnation": "f3a9", "clock_us": 81234567, "slots": 2, "busy": 1, "health": "ok", "set": 41}`
	refused := `{"error": "stale-term", "incarnation": "f3a9", "clock_us": 81234568}`
	f := newFixture(t, func(conn net.Conn, req *http.Request) bool {
		if req.URL.Path == grantPath {
			return writeResponse(conn, req, "409 No", fmt.Sprintf("Content-Length: %d\r\n", len(refused)), refused)
		}
		return writeResponse(conn, req, "200 OK", fmt.Sprintf("Content-Length: %d\r\n", len(status)), status)
	})
	ctx := context.Background()
	t.Run("probe", func(t *testing.T) {
		got, err := f.client.Probe(ctx, f.target.address)
		want := Status{Incarnation: "f3a9", ClockUs: 81234567, Slots: 2, InFlight: 1, Health: "ok", SetVersion: 41}
		if err != nil || got != want {
			t.Errorf("got %+v, %v, want %+v", got, err, want)
		}
	})
	t.Run("refused grant", func(t *testing.T) {
		_, err := f.client.Grant(ctx, f.target.address, Grant{Incarnation: "f3a9", Term: 6})
		var got *RefusedError
		if !errors.As(err, &got) || got.Code != StaleTerm || got.Status.ClockUs != 81234568 {
			t.Errorf("got %v, want a refusal with %s", err, StaleTerm)
		}
	})
	t.Run("reset", func(t *testing.T) {
		f.client.ResetOrders(f.target.address)
		if _, err := f.client.Probe(ctx, f.target.address); err != nil {
			t.Fatal(err)
		}
		f.target.mutex.Lock()
		defer f.target.mutex.Unlock()
		if got := f.target.connections; got != 2 {
			t.Errorf("got %d connections, want 2", got)
		}
	})
}
