package peer

import (
	"context"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
)

const (
	handshakeTimeout = 3 * time.Second
	handshakeBytes   = 4 << 10 // largest message before both sides have proved themselves
)

// handshakeAsDialer proves both sides to each other and returns the acceptor.
func handshakeAsDialer(ctx context.Context, conn *websocket.Conn, self identity, secret string) (identity, verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn.SetReadLimit(handshakeBytes)
	own := hello{Identity: self, Nonce: newNonce()}
	if err := writeMessage(ctx, conn, own); err != nil {
		return identity{}, 0, &HandshakeError{Step: "send hello", Err: err}
	}
	var remote hello
	if err := readMessage(ctx, conn, &remote); err != nil {
		return identity{}, 0, &HandshakeError{Step: "read hello", Err: err}
	}
	if !acceptable(remote) || !proved(secret, roleAcceptor, own, remote, remote.Proof) {
		return remote.Identity, 0, &UnprovedError{Version: remote.Identity.Version}
	}
	proof, err := prove(secret, roleDialer, own, remote)
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

// handshakeAsAcceptor proves both sides to each other and returns the dialer.
// The caller sends the verdict.
func handshakeAsAcceptor(ctx context.Context, conn *websocket.Conn, self identity, secret string) (identity, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn.SetReadLimit(handshakeBytes)
	var remote hello
	if err := readMessage(ctx, conn, &remote); err != nil {
		return identity{}, &HandshakeError{Step: "read hello", Err: err}
	}
	if !acceptable(remote) {
		return remote.Identity, &UnprovedError{Version: remote.Identity.Version}
	}
	own := hello{Identity: self, Nonce: newNonce()}
	var err error
	if own.Proof, err = prove(secret, roleAcceptor, remote, own); err != nil {
		return identity{}, &HandshakeError{Step: "prove", Err: err}
	}
	if err := writeMessage(ctx, conn, own); err != nil {
		return identity{}, &HandshakeError{Step: "send hello", Err: err}
	}
	var proof []byte
	if err := readMessage(ctx, conn, &proof); err != nil {
		return identity{}, &HandshakeError{Step: "read proof", Err: err}
	}
	if !proved(secret, roleDialer, remote, own, proof) {
		return remote.Identity, &UnprovedError{Version: remote.Identity.Version}
	}
	return remote.Identity, nil
}

func acceptable(remote hello) bool {
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
