package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/fxamacker/cbor/v2"
)

const (
	nonceBytes      = 32
	roleDialer      = "dialer"
	roleAcceptor    = "acceptor"
	protocolVersion = 1
)

// transcript is what a proof covers. The role keeps one side's proof from
// serving as the other's.
type transcript struct {
	_        struct{} `cbor:",toarray"`
	Role     string
	Dialer   identity
	Acceptor identity
	Nonces   [2][]byte // the dialer's, the acceptor's
}

// prove computes a proof that the sender holds the secret.
func prove(secret, role string, dialer, acceptor hello) ([]byte, error) {
	data, err := cbor.Marshal(transcript{
		Role:     role,
		Dialer:   dialer.Identity,
		Acceptor: acceptor.Identity,
		Nonces:   [2][]byte{dialer.Nonce, acceptor.Nonce},
	})
	if err != nil {
		return nil, err
	}
	mac := hmac.New(sha256.New, []byte(secret))
	_, _ = mac.Write(data)
	return mac.Sum(nil), nil
}

// proved reports whether proof is the one of a role.
func proved(secret, role string, dialer, acceptor hello, proof []byte) bool {
	want, err := prove(secret, role, dialer, acceptor)
	return err == nil && hmac.Equal(want, proof)
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	return nonce
}
