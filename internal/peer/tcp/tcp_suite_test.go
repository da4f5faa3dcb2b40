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

// question and answer are the messages of the tests.
type question struct {
	Number  int
	Padding []byte
}

type answer struct{ Number int }

// unregistered is not known to gob.
type unregistered struct{ Number int }

func init() {
	gob.Register(question{})
	gob.Register(answer{})
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
	reply(answer{Number: message.(question).Number}, nil)
}

// ended is the end of one call.
type ended struct {
	message peer.Message
	err     error
}

// ask calls and returns the channel of the end.
func ask(t *Transport, address string, message peer.Message, timeout time.Duration) <-chan ended {
	ends := make(chan ended, 2)
	t.Call(address, message, timeout, func(message peer.Message, err error) { ends <- ended{message, err} })
	return ends
}
