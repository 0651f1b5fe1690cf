package daemon

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pineturn/core/config"
	"pineturn/core/header"
	"pineturn/core/message"
	"pineturn/core/outcome"
	"pineturn/core/route"
	"pineturn/io/target"
)

// stepClock is a clock that tests move forward.
type stepClock struct{ ahead atomic.Int64 }

func (c *stepClock) Now() time.Time { return time.Now().Add(time.Duration(c.ahead.Load())) }

// step moves beyond the time that a look at files is good for.
func (c *stepClock) step() { c.ahead.Add(int64(time.Minute)) }

func bearer(key byte) string {
	return base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{key}, 32))
}

// replaceFile writes a new file and renames it.
func replaceFile(t *testing.T, file string, content []byte) {
	t.Helper()
	assertNoError(t, os.WriteFile(file+".new", content, 0o600))
	assertNoError(t, os.Rename(file+".new", file))
}

// secureTarget answers over TLS what shows the key that is in force.
type secureTarget struct {
	t       *testing.T
	server  *httptest.Server
	address string
	key     atomic.Value
	seen    atomic.Int64
	clock   stepClock
	daemon  *Daemon
	keys    string
	ca      string
}

func newSecureTarget(t *testing.T) *secureTarget {
	t.Helper()
	s := &secureTarget{t: t, keys: filepath.Join(t.TempDir(), "keys"), ca: filepath.Join(t.TempDir(), "ca.pem")}
	s.key.Store(bearer(1))
	s.server = httptest.NewTLSServer(s)
	t.Cleanup(s.server.Close)
	s.address = strings.TrimPrefix(s.server.URL, "https://")
	replaceFile(t, s.keys, []byte(bearer(1)+"\n"))
	s.trust(s.server.Certificate().Raw)
	settings := goodSettings(t, "h1", "127.0.0.1:1")
	settings.Security.TargetCAFile, settings.Security.TargetKeysFile = s.ca, s.keys
	if faults := settings.Check(); len(faults) > 0 {
		t.Fatalf("settings: got %v, want no fault", faults)
	}
	daemon, err := New(settings, &s.clock)
	assertNoError(t, err)
	t.Cleanup(daemon.targets.Close)
	s.daemon = daemon
	return s
}

// trust makes a certificate the authority for targets'.
func (s *secureTarget) trust(der []byte) {
	s.t.Helper()
	replaceFile(s.t, s.ca, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
}

// ServeHTTP answers orders with a status and requests with no content.
func (s *secureTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.seen.Add(1)
	if r.Header.Get("Authorization") != "Bearer "+s.key.Load().(string) {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
	_, _ = w.Write([]byte(`{"incarnation": "f3a9"}`))
}

func (s *secureTarget) order() error {
	_, err := s.daemon.targets.Grant(within(s.t), s.address, target.Grant{Incarnation: "f3a9"})
	return err
}

func (s *secureTarget) send(until time.Duration) (*message.Answer, *outcome.Error) {
	now := s.clock.Now()
	permit := route.Permit{Address: s.address, Incarnation: "f3a9", Until: now.Add(until), ClockAt: now}
	req := &message.Request{ID: "r1", Method: http.MethodGet, Path: "/claims", Left: limit}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	s.t.Cleanup(cancel)
	return s.daemon.targets.Send(ctx, permit, new(config.Target), req, false)
}

func (s *secureTarget) assertSent(status int) {
	s.t.Helper()
	answer, failure := s.send(limit)
	if failure != nil {
		s.t.Fatalf("request: got %v, want an answer", failure)
	}
	assertEqual(s.t, "status", answer.Head.Status, status)
	_ = answer.Body.Close()
}

// assertNotSent checks that neither an order nor a request left this host.
func (s *secureTarget) assertNotSent(until time.Duration) {
	s.t.Helper()
	before := s.seen.Load()
	answer, failure := s.send(until)
	if failure == nil {
		s.t.Fatalf("request: got answer %v, want a refusal", answer.Head.Status)
	}
	assertEqual(s.t, "outcome", failure.Outcome, outcome.NotRun)
	assertEqual(s.t, "requests seen", s.seen.Load(), before)
}

func TestSecureTargets(t *testing.T) {
	t.Run("orders and requests show the key", func(t *testing.T) {
		s := newSecureTarget(t)
		assertNoError(t, s.order())
		s.assertSent(http.StatusOK)
	})
	t.Run("another authority's target is refused, nothing is sent", func(t *testing.T) {
		s := newSecureTarget(t)
		other := newAuthority(t)
		s.trust(other)
		s.clock.step()
		if err := s.order(); err == nil || !strings.Contains(err.Error(), "certificate") {
			t.Fatalf("order: got %v, want an error of the certificate", err)
		}
		s.assertNotSent(limit)
		s.trust(s.server.Certificate().Raw)
		s.clock.step()
		assertNoError(t, s.order())
		s.assertSent(http.StatusOK)
	})
	t.Run("a key is rotated without a restart", func(t *testing.T) {
		s := newSecureTarget(t)
		assertNoError(t, s.order())
		s.key.Store(bearer(2))
		if err := s.order(); err == nil {
			t.Fatal("order with the former key: got no error, want one")
		}
		replaceFile(t, s.keys, []byte(bearer(2)+"\n"+bearer(1)+"\n"))
		s.clock.step()
		assertNoError(t, s.order())
		s.assertSent(http.StatusOK)
	})
	t.Run("without a valid permit nothing is sent", func(t *testing.T) {
		newSecureTarget(t).assertNotSent(0)
	})
	t.Run("a target without TLS gets nothing", func(t *testing.T) {
		s := newSecureTarget(t)
		plain := httptest.NewServer(s)
		t.Cleanup(plain.Close)
		s.address = strings.TrimPrefix(plain.URL, "http://")
		if err := s.order(); err == nil {
			t.Fatal("order: got no error, want one")
		}
		s.assertNotSent(limit)
	})
}
