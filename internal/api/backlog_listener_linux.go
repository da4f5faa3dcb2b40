package api

import (
	"net"
	"os"
	"sync"
	"syscall"
)

// backlogListener accepts, even after Close, the connections that were established before
// and waited in the kernel's accept queue. The kernel would reset them, and their callers
// could not know whether their requests ran.
type backlogListener struct {
	*net.TCPListener

	mutex   sync.Mutex
	backlog []net.Conn
}

// acceptBacklog wraps a TCP listener in a backlogListener; any other listener is returned
// unchanged.
func acceptBacklog(listener net.Listener) net.Listener {
	tcp, isTCP := listener.(*net.TCPListener)
	if !isTCP {
		return listener
	}
	return &backlogListener{TCPListener: tcp}
}

// Accept implements net.Listener.
func (l *backlogListener) Accept() (net.Conn, error) {
	connection, err := l.TCPListener.Accept()
	if err == nil {
		return connection, nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.backlog) == 0 {
		return nil, err
	}
	connection = l.backlog[0]
	l.backlog = l.backlog[1:]
	return connection, nil
}

// Close implements net.Listener. It empties the accept queue and stops listening directly
// afterwards, so that hardly any connection can be established in between.
func (l *backlogListener) Close() error {
	raw, err := l.SyscallConn()
	if err == nil {
		err = raw.Control(l.drainBacklog)
	}
	if closeErr := l.TCPListener.Close(); err == nil {
		err = closeErr
	}
	return err
}

func (l *backlogListener) drainBacklog(descriptor uintptr) {
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
		l.addToBacklog(accepted)
	}
	// On Linux shutdown stops listening at once, whereas Close may have to wait for a
	// concurrent Accept.
	_ = syscall.Shutdown(int(descriptor), syscall.SHUT_RDWR)
}

func (l *backlogListener) addToBacklog(descriptor int) {
	file := os.NewFile(uintptr(descriptor), "connection")
	defer func() { _ = file.Close() }()
	if connection, err := net.FileConn(file); err == nil {
		l.backlog = append(l.backlog, connection)
	}
}
