package security

import (
	"bufio"
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"

	"pineturn/core/clock"
)

// minKey is the shortest key, in bytes.
const minKey = 32

// readableByAll is the permission bit that a file of keys must not have.
const readableByAll = 0o004

// bearerPrefix opens the Authorization header's value.
const bearerPrefix = "Bearer "

// ErrTLSRequired means that a key was to be shown over a connection without TLS.
var ErrTLSRequired = errors.New("keys are shown over TLS only")

// Keys are shared secrets from a file: base64, one a line, lines that start
// with # left out. The first one is used, all are accepted, so that keys are
// rotated host by host.
type Keys struct {
	content *watched[[][]byte]
}

// OpenKeys reads a file of keys.
func OpenKeys(file string, clk clock.Clock) (*Keys, error) {
	content, err := watch([]string{file}, clk, func() ([][]byte, error) { return readKeys(file) })
	if err != nil {
		return nil, err
	}
	return &Keys{content: content}, nil
}

// readKeys reads a file of keys. Errors never hold a key.
func readKeys(file string) ([][]byte, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, fmt.Errorf("read keys: %w", err)
	}
	if info.Mode()&readableByAll != 0 {
		return nil, fmt.Errorf("read keys: %s is readable by everyone", file)
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read keys: %w", err)
	}
	return parseKeys(file, data)
}

// parseKeys reads the lines of a file of keys.
func parseKeys(file string, data []byte) ([][]byte, error) {
	var keys [][]byte
	lines := bufio.NewScanner(bytes.NewReader(data))
	for line := 1; lines.Scan(); line++ {
		text := strings.TrimSpace(lines.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		key, err := base64.StdEncoding.DecodeString(text)
		if err != nil {
			return nil, fmt.Errorf("read keys: %s:%d: not base64", file, line)
		}
		if len(key) < minKey {
			return nil, fmt.Errorf("read keys: %s:%d: %d bytes, at least %d", file, line, len(key), minKey)
		}
		keys = append(keys, key)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read keys: %s: %w", file, err)
	}
	if len(keys) == 0 {
		return nil, fmt.Errorf("read keys: %s holds no key", file)
	}
	return keys, nil
}

// Prove returns a proof, over a transcript that holds a fresh challenge, that
// this side has the first key.
func (k *Keys) Prove(transcript []byte) []byte { return sum(k.content.get()[0], transcript) }

// Verify reports whether a proof was made with any of the keys. It takes the
// same time whichever it was.
func (k *Keys) Verify(transcript, proof []byte) bool {
	found := 0
	for _, key := range k.content.get() {
		found |= subtle.ConstantTimeCompare(sum(key, transcript), proof)
	}
	return found == 1
}

// sum returns the HMAC-SHA256 of data.
func sum(key, data []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(data)
	return mac.Sum(nil)
}

// Authorize shows the first key in a request's Authorization header. It
// refuses a request that goes without TLS.
func (k *Keys) Authorize(r *http.Request) error {
	if r.URL.Scheme != "https" {
		return ErrTLSRequired
	}
	text := base64.StdEncoding.EncodeToString(k.content.get()[0])
	r.Header.Set("Authorization", bearerPrefix+text)
	return nil
}

// Authorized reports whether a request that came over TLS shows any of the
// keys.
func (k *Keys) Authorized(r *http.Request) bool {
	text, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if r.TLS == nil || !ok {
		return false
	}
	shown, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return false
	}
	digest := sha256.Sum256(shown)
	found := 0
	for _, key := range k.content.get() {
		want := sha256.Sum256(key)
		found |= subtle.ConstantTimeCompare(digest[:], want[:])
	}
	return found == 1
}

// Require returns a handler that passes on only what is authorized, and
// answers others with 401. Nil keys let everything pass.
func (k *Keys) Require(next http.Handler) http.Handler {
	if k == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !k.Authorized(r) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(w, "operator key missing or unknown", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
