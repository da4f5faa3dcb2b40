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
// A proof is an HMAC by the secret over the side's label, both nonces and the
// dialer's address. An address is one byte of length and its bytes.
const (
	magic           = "hpk1"
	nonceBytes      = 32
	maxAddressBytes = 255
	dialerLabel     = "dialer"
	acceptorLabel   = "acceptor"
)

// errHandshake: the other side is no peer, or does not know the secret.
var errHandshake = errors.New("handshake failed")

type nonce [nonceBytes]byte

func newNonce() nonce {
	var created nonce
	// rand.Read never returns an error.
	_, _ = rand.Read(created[:])
	return created
}

// acceptHandshake runs the acceptor's side and returns the dialer's address.
func acceptHandshake(conn net.Conn, secret []byte) (address string, err error) {
	acceptorNonce := newNonce()
	if _, err := conn.Write(append([]byte(magic), acceptorNonce[:]...)); err != nil {
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
	if err := checkProof(conn, prove(secret, dialerLabel, acceptorNonce, dialerNonce, address)); err != nil {
		return "", err
	}
	_, err = conn.Write(prove(secret, acceptorLabel, acceptorNonce, dialerNonce, address))
	return address, err
}

// dialHandshake runs the dialer's side.
func dialHandshake(conn net.Conn, secret []byte, address string) error {
	acceptorNonce, err := readGreeting(conn)
	if err != nil {
		return err
	}
	dialerNonce := newNonce()
	hello := append([]byte(magic), dialerNonce[:]...)
	hello = append(hello, byte(len(address)))
	hello = append(hello, address...)
	hello = append(hello, prove(secret, dialerLabel, acceptorNonce, dialerNonce, address)...)
	if _, err := conn.Write(hello); err != nil {
		return err
	}
	return checkProof(conn, prove(secret, acceptorLabel, acceptorNonce, dialerNonce, address))
}

func readGreeting(conn io.Reader) (nonce, error) {
	var greeting [len(magic) + nonceBytes]byte
	if _, err := io.ReadFull(conn, greeting[:len(magic)]); err != nil {
		return nonce{}, err
	}
	if string(greeting[:len(magic)]) != magic {
		return nonce{}, fmt.Errorf("%w: not a peer", errHandshake)
	}
	if _, err := io.ReadFull(conn, greeting[len(magic):]); err != nil {
		return nonce{}, err
	}
	return nonce(greeting[len(magic):]), nil
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

func prove(secret []byte, label string, acceptorNonce, dialerNonce nonce, address string) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(label))
	mac.Write(acceptorNonce[:])
	mac.Write(dialerNonce[:])
	mac.Write([]byte(address))
	return mac.Sum(nil)
}
