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

// testTimeout is the time limit of each wait in a test.
const testTimeout = 30 * time.Second

// host is a host with its files, and a server or clients that use them.
type host struct {
	t     *testing.T
	name  string
	clock *stepClock
	files security.Files
	// keys is the path of the file of peer and operator keys.
	keys        string
	credentials *security.Credentials
	// member is the host with the address of its server.
	member record.Member
	// finish is closed to let the responses of the server end.
	finish chan struct{}
}

func newHost(t *testing.T, a *authority, name string, checkHost bool, keys ...byte) *host {
	t.Helper()
	dir := t.TempDir()
	h := &host{
		t:      t,
		name:   name,
		clock:  new(stepClock),
		files:  filesIn(dir),
		keys:   filepath.Join(dir, "keys"),
		finish: make(chan struct{}),
	}
	a.issue(h.files, name, !checkHost)
	replaceFile(t, h.keys, keyFile(keys...))
	settings := security.Settings{
		CertFile: h.files.Cert, PrivateKeyFile: h.files.Key, CAFile: h.files.CA,
		CheckHost: checkHost, PeerKeysFile: h.keys, OperatorKeysFile: h.keys,
	}
	if errs := settings.Check(); len(errs) > 0 {
		t.Fatalf("Check: got %v, want no errors", errs)
	}
	var err error
	if h.credentials, err = settings.Open(h.clock); err != nil {
		t.Fatal(err)
	}
	return h
}

func (h *host) self() record.Member {
	return record.Member{Incarnation: record.Incarnation{Host: h.name, Run: 1}}
}

func (h *host) options() peer.Options {
	options := peer.Options{
		DialTimeout: testTimeout,
		TLS:         h.credentials.PeerClientTLS(),
		Auth:        peer.Auth{Prove: h.credentials.PeerKeys().Prove, Verify: h.credentials.PeerKeys().Verify},
	}
	if h.credentials.CheckHost() {
		options.Auth.CheckHost = security.CheckHostName
	}
	return options
}

// serve starts a server. The bodies of its responses end when finish is closed.
func (h *host) serve() *host {
	h.t.Helper()
	server := peer.NewServer(h.self, h.options())
	server.OnCall = func(context.Context, record.Member, *message.Call) (*message.Reply, error) {
		return &message.Reply{Ping: &message.Pong{Next: 1}}, nil
	}
	server.OnRequest = func(context.Context, record.Member, *message.Request) (*message.Response, *outcome.Error) {
		body, w := io.Pipe()
		go func() {
			_, _ = w.Write([]byte("first "))
			<-h.finish
			_, _ = w.Write([]byte("last"))
			_ = w.Close()
		}()
		return &message.Response{Head: message.Head{Status: http.StatusOK}, Body: body}, nil
	}
	web := httptest.NewUnstartedServer(server)
	web.TLS = h.credentials.PeerServerTLS()
	// httptest adds a certificate of its own if the configuration has none. The
	// configuration that is selected for each client replaces that certificate.
	web.StartTLS()
	h.member = h.self()
	h.member.Address = web.Listener.Addr().String()
	h.t.Cleanup(func() {
		_ = server.Close(h.testContext())
		web.Close()
	})
	return h
}

// testContext returns a context that ends after testTimeout.
func (h *host) testContext() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	h.t.Cleanup(cancel)
	return ctx
}

// client returns a peer client that uses the host's files.
func (h *host) client() *peer.Client {
	client := peer.NewClient(h.self, h.options())
	h.t.Cleanup(func() { _ = client.Close(h.testContext()) })
	return client
}

// call calls another host over a new connection.
func (h *host) call(other *host) error {
	_, err := h.client().Call(h.testContext(), other.member, &message.Call{Ping: &message.Ping{}})
	return err
}

func assertNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Errorf("got error %v, want none", err)
	}
}

func assertError(t *testing.T, err error) {
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

func TestPeerAuthentication(t *testing.T) {
	trusted, foreign := newAuthority(t), newAuthority(t)
	server := newHost(t, trusted, "host-2", false, 1).serve()
	t.Run("same authority and key", func(t *testing.T) {
		assertNoError(t, newHost(t, trusted, "host-1", false, 1).call(server))
	})
	t.Run("wrong key", func(t *testing.T) {
		assertIs(t, newHost(t, trusted, "host-1", false, 2).call(server), peer.ErrKeyNotProved)
	})
	t.Run("certificate of wrong authority", func(t *testing.T) {
		client := newHost(t, foreign, "host-1", false, 1)
		replaceFile(t, client.files.CA, trusted.pem())
		client.clock.step()
		assertError(t, client.call(server))
	})
	t.Run("client trusts wrong authority", func(t *testing.T) {
		client := newHost(t, trusted, "host-1", false, 1)
		replaceFile(t, client.files.CA, foreign.pem())
		client.clock.step()
		assertUnknownAuthority(t, client.call(server))
	})
	t.Run("no TLS", func(t *testing.T) {
		client := peer.NewClient(server.self, peer.Options{DialTimeout: testTimeout})
		defer func() { _ = client.Close(server.testContext()) }()
		_, err := client.Call(server.testContext(), server.member, &message.Call{})
		assertError(t, err)
	})
}

func TestCheckHost(t *testing.T) {
	trusted := newAuthority(t)
	server := newHost(t, trusted, "host-2", true, 1).serve()
	client := newHost(t, trusted, "host-1", true, 1)
	t.Run("own names", func(t *testing.T) { assertNoError(t, client.call(server)) })
	t.Run("server with another name", func(t *testing.T) {
		imposter := newHost(t, trusted, "host-3", true, 1)
		imposter.name = "host-2"
		assertIs(t, client.call(imposter.serve()), peer.ErrHostMismatch)
	})
	t.Run("client with another name", func(t *testing.T) {
		imposter := newHost(t, trusted, "host-3", true, 1)
		imposter.name = "host-1"
		assertIs(t, imposter.call(server), peer.ErrHostMismatch)
	})
	t.Run("foreign authority", func(t *testing.T) {
		foreign := newHost(t, newAuthority(t), "host-2", true, 1).serve()
		replaceFile(t, foreign.files.CA, trusted.pem()) // so that the server accepts the client
		foreign.clock.step()
		assertUnknownAuthority(t, client.call(foreign))
	})
}

func TestRotation(t *testing.T) {
	before, after := newAuthority(t), newAuthority(t)
	server := newHost(t, before, "host-2", false, 1).serve()
	client := newHost(t, before, "host-1", false, 1)
	response, failure := client.client().Request(client.testContext(), server.member, &message.Request{ID: "r"})
	if failure != nil {
		t.Fatal(failure)
	}
	both := append(before.pem(), after.pem()...)
	steps := []struct {
		name   string
		change func(h *host)
	}{
		{"trust both authorities, accept both keys", func(h *host) {
			replaceFile(t, h.files.CA, both)
			replaceFile(t, h.keys, keyFile(1, 2))
		}},
		{"present new certificate, use new key", func(h *host) {
			after.issue(h.files, h.name, true)
			replaceFile(t, h.files.CA, both)
			replaceFile(t, h.keys, keyFile(2, 1))
		}},
		{"remove old certificate and key", func(h *host) {
			replaceFile(t, h.files.CA, after.pem())
			replaceFile(t, h.keys, keyFile(2))
		}},
	}
	for _, step := range steps {
		for _, h := range []*host{server, client} {
			step.change(h)
			h.clock.step()
			t.Run(step.name+" on "+h.name, func(t *testing.T) {
				assertNoError(t, client.call(server))
			})
		}
	}
	t.Run("old certificate and key are rejected", func(t *testing.T) {
		assertError(t, newHost(t, before, "host-3", false, 1).call(server))
	})
	t.Run("open connection stays usable", func(t *testing.T) {
		close(server.finish)
		body, err := io.ReadAll(response.Body)
		if got, want := string(body), "first last"; got != want || err != nil {
			t.Errorf("got %q and error %v, want %q and none", got, err, want)
		}
		_ = response.Body.Close()
	})
}

// TestUnreadableFilesKeepPreviousContent checks that hosts continue to use the previous
// certificates and keys after their files are replaced by invalid ones or removed.
func TestUnreadableFilesKeepPreviousContent(t *testing.T) {
	trusted := newAuthority(t)
	server := newHost(t, trusted, "host-2", false, 1).serve()
	client := newHost(t, trusted, "host-1", false, 1)
	replaceFile(t, server.files.Key, []byte("half a key"))
	replaceFile(t, server.keys, []byte("short\n"))
	if err := os.Remove(client.files.CA); err != nil {
		t.Fatal(err)
	}
	server.clock.step()
	client.clock.step()
	assertNoError(t, client.call(server))
}

func TestOperatorKey(t *testing.T) {
	trusted := newAuthority(t)
	h := newHost(t, trusted, "host-1", false, 1, 2)
	web := httptest.NewUnstartedServer(h.credentials.OperatorKeys().Require(http.HandlerFunc(
		func(http.ResponseWriter, *http.Request) {})))
	web.TLS = h.credentials.OperatorServerTLS()
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
			operator := security.OperatorSettings{CAFile: h.files.CA}
			if test.keys != nil {
				operator.KeysFile = filepath.Join(t.TempDir(), "keys")
				replaceFile(t, operator.KeysFile, keyFile(test.keys...))
			}
			assertStatus(t, &operator, web.URL, test.want)
		})
	}
	t.Run("rejected without TLS", func(t *testing.T) {
		r := httptest.NewRequest(http.MethodGet, "http://127.0.0.1/", nil)
		assertIs(t, h.credentials.OperatorKeys().Authorize(r), security.ErrTLSRequired)
		r.Header.Set("Authorization", "Bearer "+strings.Split(string(keyFile(1)), "\n")[1])
		if h.credentials.OperatorKeys().Authorized(r) {
			t.Error("got authorized without TLS, want not authorized")
		}
		r.TLS = new(tls.ConnectionState)
		if !h.credentials.OperatorKeys().Authorized(r) {
			t.Error("got not authorized with TLS, want authorized")
		}
	})
}

func assertStatus(t *testing.T, operator *security.OperatorSettings, url string, want int) {
	t.Helper()
	if errs := operator.Check(); len(errs) > 0 {
		t.Fatalf("Check: got %v, want no errors", errs)
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
