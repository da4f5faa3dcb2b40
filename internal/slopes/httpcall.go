package slopes

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// HTTPCallCost is what one small call over a kept connection costs.
type HTTPCallCost struct {
	// Bytes both ways, without those of TCP and IP.
	Bytes float64
	// Processor time of client and server together.
	Processor time.Duration
}

// MeasureHTTPCall makes calls without a body to a server of its own on the
// loopback address, as a state poll or a reading of an unchanged list is.
func MeasureHTTPCall(calls int) (HTTPCallCost, error) {
	var transferred atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusNotModified)
	}))
	server.Listener = &countingListener{Listener: server.Listener, transferred: &transferred}
	server.Start()
	defer server.Close()
	get := func() error {
		response, err := server.Client().Get(server.URL + "/v1/state?since=12345678901234")
		if err != nil {
			return eris.Wrap(err, "measured call")
		}
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
	if err := get(); err != nil {
		return HTTPCallCost{}, err
	}
	transferredBefore, spentBefore := transferred.Load(), processorTime()
	for range calls {
		if err := get(); err != nil {
			return HTTPCallCost{}, err
		}
	}
	return HTTPCallCost{
		Bytes:     float64(transferred.Load()-transferredBefore) / float64(calls),
		Processor: (processorTime() - spentBefore) / time.Duration(calls),
	}, nil
}

// processorTime is the time this process has run on processors.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// countingListener counts the bytes of the connections it accepts.
type countingListener struct {
	net.Listener
	transferred *atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConnection{Conn: connection, transferred: l.transferred}, nil
}

type countingConnection struct {
	net.Conn
	transferred *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConnection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.transferred.Add(int64(count))
	return count, err
}

// Write implements net.Conn.
func (c *countingConnection) Write(buffer []byte) (int, error) {
	count, err := c.Conn.Write(buffer)
	c.transferred.Add(int64(count))
	return count, err
}
