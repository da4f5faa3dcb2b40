package api

import (
	"net"
	"os"
	"sync"
	"syscall"
)

// lastListener hands out, even after Close, the connections that were complete
// by then and that nobody had accepted yet. The kernel would reset them, so that
// their callers could not know whether their requests ran.
type lastListener struct {
	*net.TCPListener

	mutex sync.Mutex
	last  []net.Conn
}

// acceptLast wraps a TCP listener; any other is returned as it is.
func acceptLast(listener net.Listener) net.Listener {
	tcp, isTCP := listener.(*net.TCPListener)
	if !isTCP {
		return listener
	}
	return &lastListener{TCPListener: tcp}
}

// Accept implements net.Listener.
func (l *lastListener) Accept() (net.Conn, error) {
	connection, err := l.TCPListener.Accept()
	if err == nil {
		return connection, nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.last) == 0 {
		return nil, err
	}
	connection = l.last[0]
	l.last = l.last[1:]
	return connection, nil
}

// Close implements net.Listener. Between the last accepted connection and the
// end of listening there is one system call.
func (l *lastListener) Close() error {
	raw, err := l.SyscallConn()
	if err == nil {
		err = raw.Control(l.finish)
	}
	if closeErr := l.TCPListener.Close(); err == nil {
		err = closeErr
	}
	return err
}

func (l *lastListener) finish(descriptor uintptr) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for {
		accepted, _, err := syscall.Accept4(int(descriptor), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		if err == syscall.EINTR || err == syscall.ECONNABORTED {
			continue
		}
		if err != nil {
			break
		}
		l.keep(accepted)
	}
	// On Linux this ends listening at once; Close may have to wait for Accept.
	_ = syscall.Shutdown(int(descriptor), syscall.SHUT_RDWR)
}

func (l *lastListener) keep(descriptor int) {
	file := os.NewFile(uintptr(descriptor), "connection")
	defer func() { _ = file.Close() }()
	if connection, err := net.FileConn(file); err == nil {
		l.last = append(l.last, connection)
	}
}
