package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"testing"
)

// keyAuth returns an Auth that creates and verifies HMAC-SHA256 proofs with a
// key.
func keyAuth(key string) Auth {
	prove := func(transcript []byte) []byte {
		mac := hmac.New(sha256.New, []byte(key))
		mac.Write(transcript)
		return mac.Sum(nil)
	}
	verify := func(transcript, proof []byte) bool { return hmac.Equal(prove(transcript), proof) }
	return Auth{Prove: prove, Verify: verify}
}

func TestSharedKey(t *testing.T) {
	r := newFixture(t, Options{Auth: keyAuth("key")})
	assertPing(t, r, 1)
	assertEcho(t, r, []byte("body"))
	t.Run("missing", func(t *testing.T) {
		_, err := newTestClient(t).Call(testContext(t), r.to, ping(1))
		assertIs(t, err, ErrKeyNotProved)
	})
	t.Run("wrong", func(t *testing.T) {
		client := NewClient(memberFunc("host-1", 3), withLongTimeouts(Options{Auth: keyAuth("other")}))
		defer func() { _ = client.Close(testContext(t)) }()
		_, err := client.Call(testContext(t), r.to, ping(1))
		assertIs(t, err, ErrKeyNotProved)
	})
}

func TestServerWithoutKey(t *testing.T) {
	r := newFixture(t, Options{})
	client := NewClient(memberFunc("host-1", 3), withLongTimeouts(Options{Auth: keyAuth("key")}))
	defer func() { _ = client.Close(testContext(t)) }()
	_, err := client.Call(testContext(t), r.to, ping(1))
	assertIs(t, err, ErrKeyNotProved)
}

func assertIs(t *testing.T, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Errorf("got error %v, want %v", got, want)
	}
}

// TestReplayedProof replays the client hello of a successful handshake on a new
// connection. The server must reject it, because the proof covers the nonce of
// the first connection.
func TestReplayedProof(t *testing.T) {
	auth := keyAuth("key")
	r := newFixture(t, Options{Auth: auth})
	var used *frame
	prove := func(f, server *frame) {
		transcript, err := newTranscript(sideClient, server, f)
		if err != nil {
			t.Fatal(err)
		}
		f.Proof = auth.Prove(transcript)
		used = f
	}
	c := rawClient(t, r, prove)
	if _, err := c.expect(testContext(t), kindWelcome); err != nil {
		t.Fatalf("first use of the proof: got error %v, want none", err)
	}
	c = rawClient(t, r, func(f, _ *frame) { *f = *used })
	assertClosed(t, c, statusKey)
}
