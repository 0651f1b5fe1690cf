package peer

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"

	"pineturn/core/message"
	"pineturn/core/record"
)

// nonceSize is in bytes.
const nonceSize = 16

// transcript is what a proof of the shared key covers.
type transcript struct {
	Side        string             `cbor:"1,keyasint"`
	ServerNonce []byte             `cbor:"2,keyasint"`
	ClientNonce []byte             `cbor:"3,keyasint"`
	Server      message.Hello      `cbor:"4,keyasint"`
	Client      message.Hello      `cbor:"5,keyasint"`
	Want        record.Incarnation `cbor:"6,keyasint"`
	Plane       Plane              `cbor:"7,keyasint"`
}

// The sides of a transcript, so that no proof serves for the other side.
const (
	sideClient = "pineturn peer client"
	sideServer = "pineturn peer server"
)

// newTranscript returns the transcript of two opening frames.
func newTranscript(side string, server, client *frame) ([]byte, error) {
	var buffer bytes.Buffer
	err := encoder.MarshalToBuffer(transcript{
		Side:        side,
		ServerNonce: server.Nonce,
		ClientNonce: client.Nonce,
		Server:      *server.Hello,
		Client:      *client.Hello,
		Want:        client.Want,
		Plane:       client.Plane,
	}, &buffer)
	if err != nil {
		return nil, fmt.Errorf("encode transcript: %w", err)
	}
	return buffer.Bytes(), nil
}

// opening returns this host's first frame, with a fresh nonce.
func opening(self record.Member) *frame {
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce) // never fails
	return &frame{
		Kind:  kindHello,
		Hello: &message.Hello{Version: message.Version, Member: self},
		Nonce: nonce,
	}
}

// greetClient is the server's side of the handshake.
func (c *conn) greetClient(ctx context.Context, self record.Member) error {
	mine := opening(self)
	if err := c.put(ctx, mine); err != nil {
		return err
	}
	theirs, err := c.expect(ctx, kindHello)
	if err != nil {
		return err
	}
	if err := checkClient(self, theirs); err != nil {
		return err
	}
	if err := c.checkHost(theirs); err != nil {
		return err
	}
	welcome := &frame{Kind: kindWelcome}
	if welcome.Proof, err = c.exchange(sideClient, sideServer, mine, theirs, theirs.Proof); err != nil {
		return err
	}
	c.remote, c.plane = theirs.Hello.Member, theirs.Plane
	return c.put(ctx, welcome)
}

// checkClient checks what a client says in its first frame.
func checkClient(self record.Member, f *frame) error {
	if f.Hello.Version != message.Version {
		return &VersionMismatch{Got: f.Hello.Version, Want: message.Version}
	}
	if f.Plane != Control && f.Plane != Requests {
		return &BadFrame{Detail: fmt.Sprintf("unknown plane %d", f.Plane)}
	}
	if to := (endpoint{want: f.Want}); !to.accepts(self.Incarnation) {
		return &IncarnationMismatch{Want: f.Want, Got: self.Incarnation}
	}
	return nil
}

// checkHost checks the other side's certificate against the host that it says
// it is.
func (c *conn) checkHost(theirs *frame) error {
	check := c.options.Auth.CheckHost
	if check == nil {
		return nil
	}
	if err := check(c.tls, theirs.Hello.Member.Incarnation.Host); err != nil {
		return fmt.Errorf("%w: %w", ErrHostMismatch, err)
	}
	return nil
}

// exchange checks the other side's proof and returns this side's. It does
// nothing when no key is shared.
func (c *conn) exchange(theirSide, mySide string, server, client *frame, proof []byte) ([]byte, error) {
	auth := c.options.Auth
	if !auth.enabled() {
		return nil, nil
	}
	theirs, err := newTranscript(theirSide, server, client)
	if err != nil {
		return nil, err
	}
	if !auth.Verify(theirs, proof) {
		return nil, ErrKeyNotProved
	}
	mine, err := newTranscript(mySide, server, client)
	if err != nil {
		return nil, err
	}
	return auth.Prove(mine), nil
}

// greetServer is the client's side of the handshake. It always sends its own
// first frame, so that both sides know why they don't match.
func (c *conn) greetServer(ctx context.Context, self record.Member, to endpoint, plane Plane) error {
	theirs, err := c.expect(ctx, kindHello)
	if err != nil {
		return err
	}
	mine := opening(self)
	mine.Want, mine.Plane = to.want, plane
	if c.options.Auth.enabled() {
		text, err := newTranscript(sideClient, theirs, mine)
		if err != nil {
			return err
		}
		mine.Proof = c.options.Auth.Prove(text)
	}
	if err := c.put(ctx, mine); err != nil {
		return err
	}
	if err := checkServer(to, theirs); err != nil {
		return err
	}
	if err := c.checkHost(theirs); err != nil {
		return err
	}
	welcome, err := c.expect(ctx, kindWelcome)
	if err != nil {
		return err
	}
	if err := c.verifyServer(theirs, mine, welcome.Proof); err != nil {
		return err
	}
	c.remote, c.plane = theirs.Hello.Member, plane
	return nil
}

// checkServer checks what a server says in its first frame.
func checkServer(to endpoint, f *frame) error {
	if f.Hello.Version != message.Version {
		return &VersionMismatch{Got: f.Hello.Version, Want: message.Version}
	}
	if got := f.Hello.Member.Incarnation; !to.accepts(got) {
		return &IncarnationMismatch{Want: to.want, Got: got}
	}
	return nil
}

// verifyServer checks the server's proof.
func (c *conn) verifyServer(server, client *frame, proof []byte) error {
	if !c.options.Auth.enabled() {
		return nil
	}
	text, err := newTranscript(sideServer, server, client)
	if err != nil {
		return err
	}
	if !c.options.Auth.Verify(text, proof) {
		return ErrKeyNotProved
	}
	return nil
}

// put writes a frame of the handshake.
func (c *conn) put(ctx context.Context, f *frame) error {
	buffer, err := encode(f)
	if err != nil {
		return err
	}
	defer recycle(buffer)
	c.tally.framesOut.total.Add(1)
	if err := c.ws.Write(ctx, messageType, buffer.Bytes()); err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	return nil
}

// expect reads a frame of the handshake.
func (c *conn) expect(ctx context.Context, want kind) (*frame, error) {
	var buffer bytes.Buffer
	f := new(frame)
	if err := c.receive(ctx, &buffer, f); err != nil {
		return nil, fmt.Errorf("handshake: %w", err)
	}
	if f.Kind != want {
		return nil, &BadFrame{Detail: fmt.Sprintf("kind %d in handshake, want %d", f.Kind, want)}
	}
	return f, nil
}
