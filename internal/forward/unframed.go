package forward

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"
)

// unframedProbeDelays are the times after the end of an unframed body at which its server is probed. A
// crashed server refuses connections at once or, where its sockets are closed one by one, shortly
// afterwards.
var unframedProbeDelays = [...]time.Duration{0, 20 * time.Millisecond}

// unframedBody is a body that ends with its connection. It reports the end as io.ErrUnexpectedEOF if the
// server has crashed: the system closes its connections in order, also in the middle of a response.
type unframedBody struct {
	io.ReadCloser
	// connect tests whether the server accepts connections.
	connect func() error
	end     error
}

// Read implements io.Reader.
func (b *unframedBody) Read(buffer []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	count, err := b.ReadCloser.Read(buffer)
	if err == nil || count > 0 {
		return count, nil
	}
	b.end = err
	if errors.Is(err, io.EOF) && b.serverCrashed() {
		b.end = io.ErrUnexpectedEOF
	}
	return 0, b.end
}

func (b *unframedBody) serverCrashed() bool {
	began := time.Now()
	for _, delay := range unframedProbeDelays {
		time.Sleep(time.Until(began.Add(delay)))
		if errors.Is(b.connect(), syscall.ECONNREFUSED) {
			return true
		}
	}
	return false
}

// verifyEnd makes the body of an unframed response report whether its server has crashed.
func (f *Forwarder) verifyEnd(ctx context.Context, target *candidate, reply *Reply) {
	if !reply.Unframed || f.connect == nil {
		return
	}
	reply.Body = &unframedBody{ReadCloser: reply.Body, connect: func() error { return f.connect(ctx, target.server.Address) }}
}
