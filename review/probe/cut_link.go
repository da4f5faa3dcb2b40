package main

import (
	"net"
	"sync"
	"time"
)

// link carries connections to an address. While it is cut, bytes in both directions are held up, and so are
// new connections.
type link struct {
	address string
	target  string

	mutex sync.Mutex
	// whole is closed while the link is not cut.
	whole chan struct{}
	// silent are closed for the connections that have gone silent.
	silent chan struct{}
}

// newLink returns a link to the target, which is reached at the link's address.
func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{address: listener.Addr().String(), target: target, whole: make(chan struct{}), silent: make(chan struct{})}
	close(l.whole)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(conn)
		}
	}()
	return l, nil
}

// cut holds everything up until heal.
func (l *link) cut() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.whole = make(chan struct{})
}

// heal ends a cut.
func (l *link) heal() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	close(l.whole)
}

// silence makes the open connections go silent for good: what either side sends is not read any more, and
// the other one is told nothing. New connections work.
func (l *link) silence() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	close(l.silent)
	l.silent = make(chan struct{})
}

// awaitWhole waits until the link is not cut.
func (l *link) awaitWhole() {
	l.mutex.Lock()
	whole := l.whole
	l.mutex.Unlock()
	<-whole
}

func (l *link) carry(near net.Conn) {
	defer near.Close()
	l.awaitWhole()
	far, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		return
	}
	defer far.Close()
	l.mutex.Lock()
	silent := l.silent
	l.mutex.Unlock()
	go l.copy(near, far, silent)
	l.copy(far, near, silent)
}

// copy copies bytes until either side ends, and then ends the other one.
func (l *link) copy(target, source net.Conn, silent <-chan struct{}) {
	defer target.Close()
	buffer := make([]byte, 32<<10)
	for {
		count, err := source.Read(buffer)
		l.awaitWhole()
		select {
		case <-silent:
			// Until the program ends.
			select {}
		default:
		}
		if count > 0 {
			if _, writeErr := target.Write(buffer[:count]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
