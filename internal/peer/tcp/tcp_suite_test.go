package tcp

import (
	"encoding/gob"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/peer"
)

func TestTCP(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Peer transport over TCP")
}

// testRequest and testReply are the messages of the tests.
type testRequest struct {
	Number  int
	Padding []byte
}

type testReply struct{ Number int }

// unregistered is a message type that is not registered with gob.
type unregistered struct{ Number int }

func init() {
	gob.Register(testRequest{})
	gob.Register(testReply{})
}

const (
	longTimeout = 30 * time.Second
	testSecret  = "secret of the cluster"
)

func testConfig() Config {
	return Config{
		Address:    "127.0.0.1:0",
		Secret:     []byte(testSecret),
		Logger:     zerolog.Nop(),
		MinBackoff: time.Millisecond,
		MaxBackoff: 5 * time.Millisecond,
	}
}

func echo(_ string, message peer.Message, reply func(peer.Message, error)) {
	reply(testReply{Number: message.(testRequest).Number}, nil)
}

// callResult is the result of one call.
type callResult struct {
	message peer.Message
	err     error
}

// startCall starts a call and returns the channel that receives its result. The
// channel has space for a second result, which would be a fault.
func startCall(t *Transport, address string, message peer.Message, timeout time.Duration) <-chan callResult {
	results := make(chan callResult, 2)
	t.Call(address, message, timeout, func(message peer.Message, err error) { results <- callResult{message, err} })
	return results
}
