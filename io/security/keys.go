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

// minKeyBytes is the minimum length of a key, in bytes.
const minKeyBytes = 32

// worldReadable is the permission bit that a key file must not have.
const worldReadable = 0o004

// bearerPrefix is the prefix of the Authorization header's value.
const bearerPrefix = "Bearer "

// ErrTLSRequired means that a key was not sent because the connection does not use TLS.
var ErrTLSRequired = errors.New("keys are shown over TLS only")

// Keys provides the shared secrets in a key file, which is reloaded when it changes.
// Each line holds one key in base64; lines that start with # are comments. The first
// key is the one that is sent or used for proofs. All keys are accepted, so that keys
// can be rotated host by host.
type Keys struct {
	content *reloader[[][]byte]
}

// OpenKeys loads a key file. It returns an error if the file cannot be read or parsed
// or if it is world-readable.
func OpenKeys(file string, clk clock.Clock) (*Keys, error) {
	content, err := newReloader([]string{file}, clk, func() ([][]byte, error) { return loadKeys(file) })
	if err != nil {
		return nil, err
	}
	return &Keys{content: content}, nil
}

// loadKeys reads a key file. Its errors never contain a key.
func loadKeys(file string) ([][]byte, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, fmt.Errorf("read keys: %w", err)
	}
	if info.Mode()&worldReadable != 0 {
		return nil, fmt.Errorf("read keys: %s is world-readable", file)
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read keys: %w", err)
	}
	return parseKeys(file, data)
}

// parseKeys parses the content of a key file. The file name is used for errors.
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
			return nil, fmt.Errorf("read keys: %s:%d: invalid base64", file, line)
		}
		if len(key) < minKeyBytes {
			return nil, fmt.Errorf("read keys: %s:%d: key has %d bytes, want at least %d", file, line, len(key), minKeyBytes)
		}
		keys = append(keys, key)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read keys: %s: %w", file, err)
	}
	if len(keys) == 0 {
		return nil, fmt.Errorf("read keys: %s contains no key", file)
	}
	return keys, nil
}

// Prove returns a proof of possession of the first key, an HMAC-SHA256 of transcript.
// The transcript must contain a fresh challenge.
func (k *Keys) Prove(transcript []byte) []byte { return hmacSHA256(k.content.get()[0], transcript) }

// Verify reports whether proof was made with any of the keys. Its duration does not
// depend on which key matches.
func (k *Keys) Verify(transcript, proof []byte) bool {
	found := 0
	for _, key := range k.content.get() {
		found |= subtle.ConstantTimeCompare(hmacSHA256(key, transcript), proof)
	}
	return found == 1
}

func hmacSHA256(key, data []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(data)
	return mac.Sum(nil)
}

// Authorize adds the first key to a request, in the Authorization header. It returns
// ErrTLSRequired if the request would be sent without TLS.
func (k *Keys) Authorize(r *http.Request) error {
	if r.URL.Scheme != "https" {
		return ErrTLSRequired
	}
	text := base64.StdEncoding.EncodeToString(k.content.get()[0])
	r.Header.Set("Authorization", bearerPrefix+text)
	return nil
}

// Authorized reports whether a request was received over TLS and contains any of the
// keys.
func (k *Keys) Authorized(r *http.Request) bool {
	text, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if r.TLS == nil || !ok {
		return false
	}
	received, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return false
	}
	digest := sha256.Sum256(received)
	found := 0
	for _, key := range k.content.get() {
		want := sha256.Sum256(key)
		found |= subtle.ConstantTimeCompare(digest[:], want[:])
	}
	return found == 1
}

// Require returns a handler that passes authorized requests to next and responds to
// others with status 401. If k is nil, Require returns next.
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
