package peer

import (
	"context"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
)

const (
	handshakeTimeout         = 3 * time.Second
	maxHandshakeMessageBytes = 4 << 10 // largest message before both sides are authenticated
)

// handshakeAsDialer authenticates both sides and returns the identity and the
// verdict of the acceptor.
func handshakeAsDialer(ctx context.Context, conn *websocket.Conn, self identity, secret string) (identity, verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn.SetReadLimit(maxHandshakeMessageBytes)
	own := hello{Identity: self, Nonce: newNonce()}
	if err := writeMessage(ctx, conn, own); err != nil {
		return identity{}, 0, &HandshakeError{Step: "send hello", Err: err}
	}
	var remote hello
	if err := readMessage(ctx, conn, &remote); err != nil {
		return identity{}, 0, &HandshakeError{Step: "read hello", Err: err}
	}
	if !validHello(remote) || !verifyProof(secret, roleAcceptor, own, remote, remote.Proof) {
		return remote.Identity, 0, &AuthenticationError{Version: remote.Identity.Version}
	}
	proof, err := computeProof(secret, roleDialer, own, remote)
	if err != nil {
		return identity{}, 0, &HandshakeError{Step: "prove", Err: err}
	}
	if err := writeMessage(ctx, conn, proof); err != nil {
		return identity{}, 0, &HandshakeError{Step: "send proof", Err: err}
	}
	var result verdict
	if err := readMessage(ctx, conn, &result); err != nil {
		return identity{}, 0, &HandshakeError{Step: "read verdict", Err: err}
	}
	return remote.Identity, result, nil
}

// handshakeAsAcceptor authenticates both sides and returns the identity of the
// dialer. The caller sends the verdict.
func handshakeAsAcceptor(ctx context.Context, conn *websocket.Conn, self identity, secret string) (identity, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn.SetReadLimit(maxHandshakeMessageBytes)
	var remote hello
	if err := readMessage(ctx, conn, &remote); err != nil {
		return identity{}, &HandshakeError{Step: "read hello", Err: err}
	}
	if !validHello(remote) {
		return remote.Identity, &AuthenticationError{Version: remote.Identity.Version}
	}
	own := hello{Identity: self, Nonce: newNonce()}
	var err error
	if own.Proof, err = computeProof(secret, roleAcceptor, remote, own); err != nil {
		return identity{}, &HandshakeError{Step: "prove", Err: err}
	}
	if err := writeMessage(ctx, conn, own); err != nil {
		return identity{}, &HandshakeError{Step: "send hello", Err: err}
	}
	var proof []byte
	if err := readMessage(ctx, conn, &proof); err != nil {
		return identity{}, &HandshakeError{Step: "read proof", Err: err}
	}
	if !verifyProof(secret, roleDialer, remote, own, proof) {
		return remote.Identity, &AuthenticationError{Version: remote.Identity.Version}
	}
	return remote.Identity, nil
}

func validHello(remote hello) bool {
	return remote.Identity.Version == protocolVersion && len(remote.Nonce) == nonceBytes
}

func writeMessage(ctx context.Context, conn *websocket.Conn, value any) error {
	data, err := cbor.Marshal(value)
	if err != nil {
		return err
	}
	return conn.Write(ctx, websocket.MessageBinary, data)
}

func readMessage(ctx context.Context, conn *websocket.Conn, value any) error {
	_, data, err := conn.Read(ctx)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(data, value)
}
