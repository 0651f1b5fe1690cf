package security_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pineturn/core/message"
	"pineturn/core/outcome"
	"pineturn/core/record"
	"pineturn/io/peer"
	"pineturn/io/security"
)

// limit bounds every wait of a test.
const limit = 30 * time.Second

// host is a host's files, and a server or client that uses them.
type host struct {
	t     *testing.T
	name  string
	clock *stepClock
	files security.Files
	keys  string
	sec   *security.Security
	to    record.Member
	hold  chan struct{} // requests end when it is closed
}

func newHost(t *testing.T, a *authority, name string, checkHost bool, keys ...byte) *host {
	t.Helper()
	dir := t.TempDir()
	h := &host{
		t:     t,
		name:  name,
		clock: new(stepClock),
		files: filesIn(dir),
		keys:  filepath.Join(dir, "keys"),
		hold:  make(chan struct{}),
	}
	a.issue(h.files, name, !checkHost)
	put(t, h.keys, keyFile(keys...))
	settings := security.Settings{
		CertFile: h.files.Cert, KeyFile: h.files.Key, CAFile: h.files.CA,
		CheckHost: checkHost, PeerKeyFile: h.keys, OperatorKeyFile: h.keys,
	}
	if faults := settings.Check(); len(faults) > 0 {
		t.Fatalf("Check: got %v, want no faults", faults)
	}
	var err error
	if h.sec, err = settings.Open(h.clock); err != nil {
		t.Fatal(err)
	}
	return h
}

func (h *host) self() record.Member {
	return record.Member{Incarnation: record.Incarnation{Host: h.name, Run: 1}}
}

func (h *host) options() peer.Options {
	options := peer.Options{
		DialTimeout: limit,
		TLS:         h.sec.PeerClient(),
		Auth:        peer.Auth{Prove: h.sec.PeerKeys().Prove, Verify: h.sec.PeerKeys().Verify},
	}
	if h.sec.CheckHost() {
		options.Auth.CheckHost = security.CheckName
	}
	return options
}

// serve starts a server whose answers' bodies end when hold is closed.
func (h *host) serve() *host {
	h.t.Helper()
	server := peer.NewServer(h.self, h.options())
	server.OnCall = func(context.Context, record.Member, *message.Call) (*message.Reply, error) {
		return &message.Reply{Ping: &message.Pong{Next: 1}}, nil
	}
	server.OnRequest = func(context.Context, record.Member, *message.Request) (*message.Answer, *outcome.Error) {
		body, w := io.Pipe()
		go func() {
			_, _ = w.Write([]byte("first "))
			<-h.hold
			_, _ = w.Write([]byte("last"))
			_ = w.Close()
		}()
		return &message.Answer{Head: message.Head{Status: http.StatusOK}, Body: body}, nil
	}
	web := httptest.NewUnstartedServer(server)
	web.TLS = h.sec.PeerServer()
	// The test server adds a certificate of its own unless there is one; the
	// configuration for each client replaces it.
	web.StartTLS()
	h.to = h.self()
	h.to.Address = web.Listener.Addr().String()
	h.t.Cleanup(func() {
		_ = server.Close(h.within())
		web.Close()
	})
	return h
}

func (h *host) within() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	h.t.Cleanup(cancel)
	return ctx
}

// client returns a client with the host's files.
func (h *host) client() *peer.Client {
	client := peer.NewClient(h.self, h.options())
	h.t.Cleanup(func() { _ = client.Close(h.within()) })
	return client
}

// call opens a fresh connection to another host.
func (h *host) call(to *host) error {
	_, err := h.client().Call(h.within(), to.to, &message.Call{Ping: &message.Ping{}})
	return err
}

func assertAccepted(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Errorf("got error %v, want none", err)
	}
}

func assertRefused(t *testing.T, err error) {
	t.Helper()
	if err == nil {
		t.Error("got no error, want one")
	}
}

func assertIs(t *testing.T, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Errorf("got error %v, want %v", got, want)
	}
}

func assertUnknownAuthority(t *testing.T, got error) {
	t.Helper()
	var unknown x509.UnknownAuthorityError
	if !errors.As(got, &unknown) {
		t.Errorf("got error %v, want %T", got, unknown)
	}
}

func TestBetweenHosts(t *testing.T) {
	ours, foreign := newAuthority(t), newAuthority(t)
	server := newHost(t, ours, "host-2", false, 1).serve()
	t.Run("same authority and key", func(t *testing.T) {
		assertAccepted(t, newHost(t, ours, "host-1", false, 1).call(server))
	})
	t.Run("wrong key", func(t *testing.T) {
		assertIs(t, newHost(t, ours, "host-1", false, 2).call(server), peer.ErrKeyNotProved)
	})
	t.Run("certificate of wrong authority", func(t *testing.T) {
		client := newHost(t, foreign, "host-1", false, 1)
		put(t, client.files.CA, ours.pem())
		client.clock.step()
		assertRefused(t, client.call(server))
	})
	t.Run("trusts wrong authority", func(t *testing.T) {
		client := newHost(t, ours, "host-1", false, 1)
		put(t, client.files.CA, foreign.pem())
		client.clock.step()
		assertUnknownAuthority(t, client.call(server))
	})
	t.Run("no TLS", func(t *testing.T) {
		client := peer.NewClient(server.self, peer.Options{DialTimeout: limit})
		defer func() { _ = client.Close(server.within()) }()
		_, err := client.Call(server.within(), server.to, &message.Call{})
		assertRefused(t, err)
	})
}

func TestCheckHost(t *testing.T) {
	ours := newAuthority(t)
	server := newHost(t, ours, "host-2", true, 1).serve()
	client := newHost(t, ours, "host-1", true, 1)
	t.Run("own names", func(t *testing.T) { assertAccepted(t, client.call(server)) })
	t.Run("server of other name", func(t *testing.T) {
		imposter := newHost(t, ours, "host-3", true, 1)
		imposter.name = "host-2"
		assertIs(t, client.call(imposter.serve()), peer.ErrHostMismatch)
	})
	t.Run("client of other name", func(t *testing.T) {
		imposter := newHost(t, ours, "host-3", true, 1)
		imposter.name = "host-1"
		assertIs(t, imposter.call(server), peer.ErrHostMismatch)
	})
	t.Run("foreign authority", func(t *testing.T) {
		foreign := newHost(t, newAuthority(t), "host-2", true, 1).serve()
		put(t, foreign.files.CA, ours.pem()) // it accepts the client
		foreign.clock.step()
		assertUnknownAuthority(t, client.call(foreign))
	})
}

func TestRotation(t *testing.T) {
	before, after := newAuthority(t), newAuthority(t)
	server := newHost(t, before, "host-2", false, 1).serve()
	client := newHost(t, before, "host-1", false, 1)
	answer, fail := client.client().Request(client.within(), server.to, &message.Request{ID: "r"})
	if fail != nil {
		t.Fatal(fail)
	}
	both := append(before.pem(), after.pem()...)
	steps := []struct {
		name   string
		change func(h *host)
	}{
		{"trust both authorities, accept both keys", func(h *host) {
			put(t, h.files.CA, both)
			put(t, h.keys, keyFile(1, 2))
		}},
		{"show new certificate, use new key", func(h *host) {
			after.issue(h.files, h.name, true)
			put(t, h.files.CA, both)
			put(t, h.keys, keyFile(2, 1))
		}},
		{"drop old ones", func(h *host) {
			put(t, h.files.CA, after.pem())
			put(t, h.keys, keyFile(2))
		}},
	}
	for _, step := range steps {
		for _, h := range []*host{server, client} {
			step.change(h)
			h.clock.step()
			t.Run(step.name+" on "+h.name, func(t *testing.T) {
				assertAccepted(t, client.call(server))
			})
		}
	}
	t.Run("old ones are refused", func(t *testing.T) {
		assertRefused(t, newHost(t, before, "host-3", false, 1).call(server))
	})
	t.Run("open connection goes on", func(t *testing.T) {
		close(server.hold)
		body, err := io.ReadAll(answer.Body)
		if got, want := string(body), "first last"; got != want || err != nil {
			t.Errorf("got %q and error %v, want %q and none", got, err, want)
		}
		_ = answer.Body.Close()
	})
}

func TestUnreadableChangeKeepsFormer(t *testing.T) {
	ours := newAuthority(t)
	server := newHost(t, ours, "host-2", false, 1).serve()
	client := newHost(t, ours, "host-1", false, 1)
	put(t, server.files.Key, []byte("half a key"))
	put(t, server.keys, []byte("short\n"))
	if err := os.Remove(client.files.CA); err != nil {
		t.Fatal(err)
	}
	server.clock.step()
	client.clock.step()
	assertAccepted(t, client.call(server))
}

func TestOperatorKey(t *testing.T) {
	ours := newAuthority(t)
	h := newHost(t, ours, "host-1", false, 1, 2)
	web := httptest.NewUnstartedServer(h.sec.OperatorKeys().Require(http.HandlerFunc(
		func(http.ResponseWriter, *http.Request) {})))
	web.TLS = h.sec.OperatorServer()
	web.StartTLS()
	defer web.Close()
	cases := map[string]struct {
		keys []byte
		want int
	}{
		"first":  {[]byte{1}, http.StatusOK},
		"second": {[]byte{2, 1}, http.StatusOK},
		"wrong":  {[]byte{3}, http.StatusUnauthorized},
		"none":   {nil, http.StatusUnauthorized},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			operator := security.Operator{CAFile: h.files.CA}
			if test.keys != nil {
				operator.KeyFile = filepath.Join(t.TempDir(), "keys")
				put(t, operator.KeyFile, keyFile(test.keys...))
			}
			assertStatus(t, &operator, web.URL, test.want)
		})
	}
	t.Run("never without TLS", func(t *testing.T) {
		r := httptest.NewRequest(http.MethodGet, "http://127.0.0.1/", nil)
		assertIs(t, h.sec.OperatorKeys().Authorize(r), security.ErrPlain)
		r.Header.Set("Authorization", "Bearer "+strings.Split(string(keyFile(1)), "\n")[1])
		if h.sec.OperatorKeys().Authorized(r) {
			t.Error("got authorized without TLS, want not")
		}
		r.TLS = new(tls.ConnectionState)
		if !h.sec.OperatorKeys().Authorized(r) {
			t.Error("got not authorized with TLS, want authorized")
		}
	})
}

func assertStatus(t *testing.T, operator *security.Operator, url string, want int) {
	t.Helper()
	if faults := operator.Check(); len(faults) > 0 {
		t.Fatalf("Check: got %v, want no faults", faults)
	}
	transport, err := operator.Transport(new(stepClock))
	if err != nil {
		t.Fatal(err)
	}
	response, err := (&http.Client{Transport: transport}).Get(url)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if got := response.StatusCode; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
}
