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

// transcript is the data that a proof authenticates. The role prevents one
// side's proof from being replayed as the other's.
type transcript struct {
	_        struct{} `cbor:",toarray"`
	Role     string
	Dialer   identity
	Acceptor identity
	Nonces   [2][]byte // of the dialer, of the acceptor
}

// computeProof returns the HMAC by which a side proves that it holds the
// secret.
func computeProof(secret, role string, dialer, acceptor hello) ([]byte, error) {
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

// verifyProof reports whether proof is valid for a role.
func verifyProof(secret, role string, dialer, acceptor hello, proof []byte) bool {
	want, err := computeProof(secret, role, dialer, acceptor)
	return err == nil && hmac.Equal(want, proof)
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	return nonce
}
