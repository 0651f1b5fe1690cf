package peer

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"

	"pineturn/core/message"
	"pineturn/core/record"
)

// nonceSize is the size of a nonce in bytes.
const nonceSize = 16

// transcript is the data that a proof of the shared key authenticates.
type transcript struct {
	Side        string             `cbor:"1,keyasint"`
	ServerNonce []byte             `cbor:"2,keyasint"`
	ClientNonce []byte             `cbor:"3,keyasint"`
	Server      message.Hello      `cbor:"4,keyasint"`
	Client      message.Hello      `cbor:"5,keyasint"`
	Want        record.Incarnation `cbor:"6,keyasint"`
	Plane       Plane              `cbor:"7,keyasint"`
}

// The sides of a transcript. They differ, so that a proof cannot be reflected
// to the side that created it.
const (
	sideClient = "pineturn peer client"
	sideServer = "pineturn peer server"
)

// newTranscript returns the encoded transcript of the hello frames of both
// sides.
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

// newHello returns a hello frame of this host with a new nonce.
func newHello(self record.Member) *frame {
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce) // never fails
	return &frame{
		Kind:  kindHello,
		Hello: &message.Hello{Version: message.Version, Member: self},
		Nonce: nonce,
	}
}

// serverHandshake performs the server side of the handshake.
func (c *conn) serverHandshake(ctx context.Context, self record.Member) error {
	local := newHello(self)
	if err := c.writeFrame(ctx, local); err != nil {
		return err
	}
	remote, err := c.expect(ctx, kindHello)
	if err != nil {
		return err
	}
	if err := checkClientHello(self, remote); err != nil {
		return err
	}
	if err := c.checkCertificate(remote); err != nil {
		return err
	}
	welcome := &frame{Kind: kindWelcome}
	if welcome.Proof, err = c.verifyAndProve(sideClient, sideServer, local, remote, remote.Proof); err != nil {
		return err
	}
	c.remote, c.plane = remote.Hello.Member, remote.Plane
	return c.writeFrame(ctx, welcome)
}

// checkClientHello checks the version, the plane and the expected incarnation
// in the hello frame of a client.
func checkClientHello(self record.Member, f *frame) error {
	if f.Hello.Version != message.Version {
		return &VersionMismatchError{Got: f.Hello.Version, Want: message.Version}
	}
	if f.Plane != Control && f.Plane != Requests {
		return &BadFrameError{Detail: fmt.Sprintf("unknown plane %d", f.Plane)}
	}
	if to := (endpoint{incarnation: f.Want}); !to.matches(self.Incarnation) {
		return &IncarnationMismatchError{Want: f.Want, Got: self.Incarnation}
	}
	return nil
}

// checkCertificate checks that the certificate of the other side belongs to the
// host named in its hello frame.
func (c *conn) checkCertificate(remote *frame) error {
	check := c.options.Auth.CheckHost
	if check == nil {
		return nil
	}
	if err := check(c.tls, remote.Hello.Member.Incarnation.Host); err != nil {
		return fmt.Errorf("%w: %w", ErrHostMismatch, err)
	}
	return nil
}

// verifyAndProve verifies the proof of the other side and returns the proof of
// this side. It does nothing if no shared key is configured.
func (c *conn) verifyAndProve(remoteSide, localSide string, server, client *frame, proof []byte) ([]byte, error) {
	auth := c.options.Auth
	if !auth.enabled() {
		return nil, nil
	}
	remoteTranscript, err := newTranscript(remoteSide, server, client)
	if err != nil {
		return nil, err
	}
	if !auth.Verify(remoteTranscript, proof) {
		return nil, ErrKeyNotProved
	}
	localTranscript, err := newTranscript(localSide, server, client)
	if err != nil {
		return nil, err
	}
	return auth.Prove(localTranscript), nil
}

// clientHandshake performs the client side of the handshake. It sends the
// client hello before it checks the server hello, so that both sides can report
// why they do not match.
func (c *conn) clientHandshake(ctx context.Context, self record.Member, to endpoint, plane Plane) error {
	remote, err := c.expect(ctx, kindHello)
	if err != nil {
		return err
	}
	local := newHello(self)
	local.Want, local.Plane = to.incarnation, plane
	if c.options.Auth.enabled() {
		transcript, err := newTranscript(sideClient, remote, local)
		if err != nil {
			return err
		}
		local.Proof = c.options.Auth.Prove(transcript)
	}
	if err := c.writeFrame(ctx, local); err != nil {
		return err
	}
	if err := checkServerHello(to, remote); err != nil {
		return err
	}
	if err := c.checkCertificate(remote); err != nil {
		return err
	}
	welcome, err := c.expect(ctx, kindWelcome)
	if err != nil {
		return err
	}
	if err := c.verifyServerProof(remote, local, welcome.Proof); err != nil {
		return err
	}
	c.remote, c.plane = remote.Hello.Member, plane
	return nil
}

// checkServerHello checks the version and the incarnation in the hello frame of
// a server.
func checkServerHello(to endpoint, f *frame) error {
	if f.Hello.Version != message.Version {
		return &VersionMismatchError{Got: f.Hello.Version, Want: message.Version}
	}
	if got := f.Hello.Member.Incarnation; !to.matches(got) {
		return &IncarnationMismatchError{Want: to.incarnation, Got: got}
	}
	return nil
}

// verifyServerProof verifies the proof of the server. It does nothing if no
// shared key is configured.
func (c *conn) verifyServerProof(server, client *frame, proof []byte) error {
	if !c.options.Auth.enabled() {
		return nil
	}
	transcript, err := newTranscript(sideServer, server, client)
	if err != nil {
		return err
	}
	if !c.options.Auth.Verify(transcript, proof) {
		return ErrKeyNotProved
	}
	return nil
}

// writeFrame writes a frame directly, without the write queue, during the
// handshake.
func (c *conn) writeFrame(ctx context.Context, f *frame) error {
	buffer, err := encode(f)
	if err != nil {
		return err
	}
	defer recycle(buffer)
	c.traffic.framesOut.total.Add(1)
	if err := c.ws.Write(ctx, messageType, buffer.Bytes()); err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	return nil
}

// expect reads a frame during the handshake and checks its kind.
func (c *conn) expect(ctx context.Context, want kind) (*frame, error) {
	var buffer bytes.Buffer
	f := new(frame)
	if err := c.receive(ctx, &buffer, f); err != nil {
		return nil, fmt.Errorf("handshake: %w", err)
	}
	if f.Kind != want {
		return nil, &BadFrameError{Detail: fmt.Sprintf("kind %d in handshake, want %d", f.Kind, want)}
	}
	return f, nil
}
