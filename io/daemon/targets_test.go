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

// adjustableClock is a clock that tests can advance.
type adjustableClock struct{ ahead atomic.Int64 }

func (c *adjustableClock) Now() time.Time { return time.Now().Add(time.Duration(c.ahead.Load())) }

// advance moves the clock forward by one minute, which is longer than the interval
// at which key and certificate files are checked for changes.
func (c *adjustableClock) advance() { c.ahead.Add(int64(time.Minute)) }

func testKey(key byte) string {
	return base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{key}, 32))
}

// replaceFile replaces a file atomically: it writes a new file and renames it.
func replaceFile(t *testing.T, file string, content []byte) {
	t.Helper()
	assertNoError(t, os.WriteFile(file+".new", content, 0o600))
	assertNoError(t, os.Rename(file+".new", file))
}

// tlsTarget is a target that serves over TLS and accepts only requests that are
// authorized by its current key.
type tlsTarget struct {
	t        *testing.T
	server   *httptest.Server
	address  string
	key      atomic.Value
	received atomic.Int64
	clock    adjustableClock
	daemon   *Daemon
	keys     string
	ca       string
}

func newTLSTarget(t *testing.T) *tlsTarget {
	t.Helper()
	s := &tlsTarget{t: t, keys: filepath.Join(t.TempDir(), "keys"), ca: filepath.Join(t.TempDir(), "ca.pem")}
	s.key.Store(testKey(1))
	s.server = httptest.NewTLSServer(s)
	t.Cleanup(s.server.Close)
	s.address = strings.TrimPrefix(s.server.URL, "https://")
	replaceFile(t, s.keys, []byte(testKey(1)+"\n"))
	s.trust(s.server.Certificate().Raw)
	settings := validSettings(t, "h1", "127.0.0.1:1")
	settings.Security.TargetCAFile, settings.Security.TargetBearerKeysFile = s.ca, s.keys
	if errs := settings.Check(); len(errs) > 0 {
		t.Fatalf("settings: got %v, want no error", errs)
	}
	daemon, err := New(settings, &s.clock)
	assertNoError(t, err)
	t.Cleanup(daemon.targets.Close)
	s.daemon = daemon
	return s
}

// trust makes der the certificate authority that the daemon accepts for targets.
func (s *tlsTarget) trust(der []byte) {
	s.t.Helper()
	replaceFile(s.t, s.ca, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
}

// ServeHTTP responds with a target status, to orders and requests alike.
func (s *tlsTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.received.Add(1)
	if r.Header.Get("Authorization") != "Bearer "+s.key.Load().(string) {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
	_, _ = w.Write([]byte(`{"incarnation": "f3a9"}`))
}

func (s *tlsTarget) sendGrant() error {
	_, err := s.daemon.targets.Grant(testContext(s.t), s.address, target.Grant{Incarnation: "f3a9"})
	return err
}

func (s *tlsTarget) sendRequest(until time.Duration) (*message.Response, *outcome.Error) {
	now := s.clock.Now()
	permit := route.Permit{Address: s.address, Incarnation: "f3a9", Until: now.Add(until), ClockAt: now}
	req := &message.Request{ID: "r1", Method: http.MethodGet, Path: "/claims", Left: testTimeout}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	s.t.Cleanup(cancel)
	return s.daemon.targets.Send(ctx, permit, new(config.Target), req, false)
}

func (s *tlsTarget) assertSent(status int) {
	s.t.Helper()
	response, failure := s.sendRequest(testTimeout)
	if failure != nil {
		s.t.Fatalf("request: got %v, want a response", failure)
	}
	assertEqual(s.t, "status", response.Head.Status, status)
	_ = response.Body.Close()
}

// assertNotSent checks that a request fails as not run and that the target has
// received nothing.
func (s *tlsTarget) assertNotSent(until time.Duration) {
	s.t.Helper()
	before := s.received.Load()
	response, failure := s.sendRequest(until)
	if failure == nil {
		s.t.Fatalf("request: got status %v, want an error", response.Head.Status)
	}
	assertEqual(s.t, "outcome", failure.Outcome, outcome.NotRun)
	assertEqual(s.t, "requests received", s.received.Load(), before)
}

func TestTargetAuthentication(t *testing.T) {
	t.Run("orders and requests are authorized by the key", func(t *testing.T) {
		s := newTLSTarget(t)
		assertNoError(t, s.sendGrant())
		s.assertSent(http.StatusOK)
	})
	t.Run("nothing is sent to a target with a certificate of another authority", func(t *testing.T) {
		s := newTLSTarget(t)
		other := newAuthority(t)
		s.trust(other)
		s.clock.advance()
		if err := s.sendGrant(); err == nil || !strings.Contains(err.Error(), "certificate") {
			t.Fatalf("order: got %v, want a certificate error", err)
		}
		s.assertNotSent(testTimeout)
		s.trust(s.server.Certificate().Raw)
		s.clock.advance()
		assertNoError(t, s.sendGrant())
		s.assertSent(http.StatusOK)
	})
	t.Run("a key is rotated without a restart", func(t *testing.T) {
		s := newTLSTarget(t)
		assertNoError(t, s.sendGrant())
		s.key.Store(testKey(2))
		if err := s.sendGrant(); err == nil {
			t.Fatal("order with the old key: got no error, want one")
		}
		replaceFile(t, s.keys, []byte(testKey(2)+"\n"+testKey(1)+"\n"))
		s.clock.advance()
		assertNoError(t, s.sendGrant())
		s.assertSent(http.StatusOK)
	})
	t.Run("without a valid permit nothing is sent", func(t *testing.T) {
		newTLSTarget(t).assertNotSent(0)
	})
	t.Run("nothing is sent to a target without TLS", func(t *testing.T) {
		s := newTLSTarget(t)
		plain := httptest.NewServer(s)
		t.Cleanup(plain.Close)
		s.address = strings.TrimPrefix(plain.URL, "http://")
		if err := s.sendGrant(); err == nil {
			t.Fatal("order: got no error, want one")
		}
		s.assertNotSent(testTimeout)
	})
}
