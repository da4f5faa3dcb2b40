package tcp

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
)

// The handshake's messages, in order:
//
//	acceptor to dialer: magic, acceptor's nonce
//	dialer to acceptor: magic, dialer's nonce, dialer's address, proof
//	acceptor to dialer: proof
//
// A proof is an HMAC, keyed with the secret, of the side's label, both nonces and
// the dialer's address. An address is encoded as one length byte and its bytes.
const (
	protocolMagic   = "hpk1"
	nonceBytes      = 32
	maxAddressBytes = 255
	dialerLabel     = "dialer"
	acceptorLabel   = "acceptor"
)

// errHandshake means that the other side does not speak the protocol or does not
// know the secret.
var errHandshake = errors.New("handshake failed")

type nonce [nonceBytes]byte

func newNonce() nonce {
	var created nonce
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(created[:])
	return created
}

// acceptHandshake runs the acceptor's side of the handshake and returns the
// dialer's advertised address.
func acceptHandshake(conn net.Conn, secret []byte) (address string, err error) {
	acceptorNonce := newNonce()
	if _, err := conn.Write(append([]byte(protocolMagic), acceptorNonce[:]...)); err != nil {
		return "", err
	}
	dialerNonce, err := readGreeting(conn)
	if err != nil {
		return "", err
	}
	address, err = readAddress(conn)
	if err != nil {
		return "", err
	}
	if err := checkProof(conn, handshakeProof(secret, dialerLabel, acceptorNonce, dialerNonce, address)); err != nil {
		return "", err
	}
	_, err = conn.Write(handshakeProof(secret, acceptorLabel, acceptorNonce, dialerNonce, address))
	return address, err
}

// dialHandshake runs the dialer's side of the handshake. Address is the dialer's
// advertised address.
func dialHandshake(conn net.Conn, secret []byte, address string) error {
	acceptorNonce, err := readGreeting(conn)
	if err != nil {
		return err
	}
	dialerNonce := newNonce()
	hello := append([]byte(protocolMagic), dialerNonce[:]...)
	hello = append(hello, byte(len(address)))
	hello = append(hello, address...)
	hello = append(hello, handshakeProof(secret, dialerLabel, acceptorNonce, dialerNonce, address)...)
	if _, err := conn.Write(hello); err != nil {
		return err
	}
	return checkProof(conn, handshakeProof(secret, acceptorLabel, acceptorNonce, dialerNonce, address))
}

func readGreeting(conn io.Reader) (nonce, error) {
	var greeting [len(protocolMagic) + nonceBytes]byte
	if _, err := io.ReadFull(conn, greeting[:len(protocolMagic)]); err != nil {
		return nonce{}, err
	}
	if string(greeting[:len(protocolMagic)]) != protocolMagic {
		return nonce{}, fmt.Errorf("%w: not a hatchplank peer", errHandshake)
	}
	if _, err := io.ReadFull(conn, greeting[len(protocolMagic):]); err != nil {
		return nonce{}, err
	}
	return nonce(greeting[len(protocolMagic):]), nil
}

func readAddress(conn io.Reader) (string, error) {
	var length [1]byte
	if _, err := io.ReadFull(conn, length[:]); err != nil {
		return "", err
	}
	address := make([]byte, length[0])
	_, err := io.ReadFull(conn, address)
	return string(address), err
}

func checkProof(conn io.Reader, expected []byte) error {
	proof := make([]byte, len(expected))
	if _, err := io.ReadFull(conn, proof); err != nil {
		return err
	}
	if !hmac.Equal(proof, expected) {
		return fmt.Errorf("%w: wrong secret", errHandshake)
	}
	return nil
}

func handshakeProof(secret []byte, label string, acceptorNonce, dialerNonce nonce, address string) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(label))
	mac.Write(acceptorNonce[:])
	mac.Write(dialerNonce[:])
	mac.Write([]byte(address))
	return mac.Sum(nil)
}
