package api

import (
	"net"
	"testing"
)

// TestBacklogListener checks that connections established before Close are accepted after
// it, and that no new ones can be established then.
func TestBacklogListener(t *testing.T) {
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := acceptBacklog(plain)
	address := plain.Addr().String()
	const waiting = 3
	for range waiting {
		connection, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = connection.Close() }()
		if _, err := connection.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	for range waiting {
		connection, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		received := make([]byte, 1)
		if _, err := connection.Read(received); err != nil || received[0] != 'x' {
			t.Fatalf("read %q: %v", received, err)
		}
		_ = connection.Close()
	}
	if _, err := listener.Accept(); err == nil {
		t.Fatal("accepted a connection that was never established")
	}
	if connection, err := net.Dial("tcp", address); err == nil {
		_ = connection.Close()
		t.Fatal("connected to a closed listener")
	}
}
