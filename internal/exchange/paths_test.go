package exchange

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// fakePaths reaches all servers through another node.
type fakePaths struct{ direct, indirect int }

func (p *fakePaths) Indirect(string) bool { return true }

func (p *fakePaths) Dial(ctx context.Context, address string, direct DialFunc) (net.Conn, bool, error) {
	p.indirect++
	conn, err := direct(ctx, address)
	return conn, true, err
}

func (p *fakePaths) DialDirect(ctx context.Context, address string, direct DialFunc) (net.Conn, error) {
	p.direct++
	return direct(ctx, address)
}

// Guards against orders that pass another node, also over a connection that an earlier request left idle.
func TestDirectRequestsUseNoConnectionThroughAnotherNode(t *testing.T) {
	RegisterTestingT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				buffer := make([]byte, 1024)
				for {
					if _, err := conn.Read(buffer); err != nil {
						return
					}
					_, _ = conn.Write([]byte(encodedResponse("1", "one")))
				}
			}()
		}
	}()
	paths := &fakePaths{}
	client := NewClient(DialSettings{Timeout: 10 * time.Second, AckTimeout: time.Second, Paths: paths})
	send := func(directOnly bool) {
		request := requestFor("1")
		request.Address, request.DirectOnly = listener.Addr().String(), directOnly
		response, err := client.Do(context.Background(), request)
		Expect(err).NotTo(HaveOccurred())
		Expect(read(response)).To(Equal("one"))
	}
	for range 2 {
		send(false)
		send(true)
	}
	Expect(paths.indirect).To(Equal(1))
	Expect(paths.direct).To(Equal(1))
}
