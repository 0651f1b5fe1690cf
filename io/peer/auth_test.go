package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"testing"
)

// keyAuth proves one key and accepts one.
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
	r := newRig(t, Options{Auth: keyAuth("key")})
	assertPing(t, r, 1)
	assertEcho(t, r, []byte("body"))
	t.Run("missing", func(t *testing.T) {
		_, err := rigClient(t).Call(within(t), r.to, ping(1))
		assertIs(t, err, ErrKeyNotProved)
	})
	t.Run("wrong", func(t *testing.T) {
		client := NewClient(member("host-1", 3), patient(Options{Auth: keyAuth("other")}))
		defer func() { _ = client.Close(within(t)) }()
		_, err := client.Call(within(t), r.to, ping(1))
		assertIs(t, err, ErrKeyNotProved)
	})
}

func TestServerWithoutKey(t *testing.T) {
	r := newRig(t, Options{})
	client := NewClient(member("host-1", 3), patient(Options{Auth: keyAuth("key")}))
	defer func() { _ = client.Close(within(t)) }()
	_, err := client.Call(within(t), r.to, ping(1))
	assertIs(t, err, ErrKeyNotProved)
}

func assertIs(t *testing.T, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Errorf("got error %v, want %v", got, want)
	}
}

// TestReplayedProof sends the frame of a handshake that succeeded again, on a
// connection with another challenge.
func TestReplayedProof(t *testing.T) {
	auth := keyAuth("key")
	r := newRig(t, Options{Auth: auth})
	var used *frame
	prove := func(f, server *frame) {
		text, err := newTranscript(sideClient, server, f)
		if err != nil {
			t.Fatal(err)
		}
		f.Proof = auth.Prove(text)
		used = f
	}
	c := rawClient(t, r, prove)
	if _, err := c.expect(within(t), kindWelcome); err != nil {
		t.Fatalf("fresh proof: got error %v, want none", err)
	}
	c = rawClient(t, r, func(f, _ *frame) { *f = *used })
	assertClosed(t, c, statusKey)
}
