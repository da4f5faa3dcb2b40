package tcp

import (
	"context"
	"errors"
	"fmt"
	"net"
	"reflect"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/hatchplank/hatchplank/internal/peer"
)

// Transport is a peer.Transport over TCP. A message handed to Call, Send or
// reply must not be changed any more.
type Transport struct {
	config     Config
	listener   net.Listener
	advertised string
	statistics statistics
	// encodable caches the result of checkEncodable by type.
	encodable sync.Map
	// complaints limits the log lines about bad peers.
	complaints *rate.Limiter
	handshakes chan struct{}

	// context ends with Close.
	context context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mutex    sync.Mutex
	closed   bool
	handlers map[reflect.Type]peer.Handler
	links    map[string]*link
	accepted map[net.Conn]struct{}
}

var _ peer.Transport = (*Transport)(nil)

// The log lines about bad peers that are written in a second; all are counted.
const complaintsPerSecond = 5

// New opens the listener if none is given. The caller must Close the transport.
func New(config Config) (*Transport, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	config = config.withDefaults()
	listener := config.Listener
	if listener == nil {
		opened, err := net.Listen("tcp", config.Address)
		if err != nil {
			return nil, eris.Wrapf(err, "listening for peers at %q", config.Address)
		}
		listener = opened
	}
	transport := &Transport{
		config:     config,
		listener:   listener,
		advertised: config.AdvertisedAddress,
		complaints: rate.NewLimiter(complaintsPerSecond, complaintsPerSecond),
		handshakes: make(chan struct{}, config.MaxHandshakes),
		handlers:   map[reflect.Type]peer.Handler{},
		links:      map[string]*link{},
		accepted:   map[net.Conn]struct{}{},
	}
	if transport.advertised == "" {
		transport.advertised = listener.Addr().String()
	}
	transport.context, transport.cancel = context.WithCancel(context.Background())
	return transport, nil
}

// Address is where peers reach this node.
func (t *Transport) Address() string { return t.advertised }

// Start begins to accept peers.
func (t *Transport) Start() { t.goUnlessClosed(t.acceptLoop) }

// Close ends all connections, fails the calls that wait, and waits for both.
// It must not be called from a handler or a callback.
func (t *Transport) Close() {
	t.mutex.Lock()
	t.closed = true
	for conn := range t.accepted {
		_ = conn.Close()
	}
	t.mutex.Unlock()
	t.cancel()
	_ = t.listener.Close()
	t.running.Wait()
}

// goUnlessClosed runs function on a goroutine that Close waits for.
func (t *Transport) goUnlessClosed(function func()) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.closed {
		return false
	}
	t.running.Go(function)
	return true
}

// Handle implements peer.Transport.
func (t *Transport) Handle(prototype peer.Message, handler peer.Handler) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.handlers[reflect.TypeOf(prototype)] = handler
}

func (t *Transport) handlerOf(message peer.Message) (peer.Handler, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	handler, known := t.handlers[reflect.TypeOf(message)]
	return handler, known
}

// Call implements peer.Transport.
func (t *Transport) Call(address string, message peer.Message, timeout time.Duration, done func(peer.Message, error)) {
	if err := t.checkMessage(message); err != nil {
		go done(nil, err)
		return
	}
	call := &pendingCall{done: done}
	if err := t.enqueue(address, outgoing{envelope: envelope{Kind: envelopeCall, Message: message}, call: call}, timeout); err != nil {
		go call.finish(nil, fmt.Errorf("%w: %w", peer.ErrUnreachable, err))
	}
}

// Send implements peer.Transport.
func (t *Transport) Send(address string, message peer.Message) {
	if err := t.checkMessage(message); err != nil {
		t.config.Logger.Error().Err(err).Type("message", message).Msg("message not sent")
		return
	}
	if t.enqueue(address, outgoing{envelope: envelope{Kind: envelopeOneWay, Message: message}}, 0) != nil {
		t.statistics.dropped.Add(1)
	}
}

// enqueue gives an item to the link of its address. A link that has just ended
// is replaced.
func (t *Transport) enqueue(address string, item outgoing, timeout time.Duration) error {
	for {
		link, err := t.linkTo(address)
		if err != nil {
			return err
		}
		if err = link.enqueue(item, timeout); !errors.Is(err, errLinkEnded) {
			return err
		}
		t.removeLink(link)
	}
}

func (t *Transport) linkTo(address string) (*link, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.closed {
		return nil, errClosed
	}
	existing, known := t.links[address]
	if known {
		return existing, nil
	}
	created := newLink(t, address)
	t.links[address] = created
	t.running.Go(created.run)
	return created, nil
}

func (t *Transport) removeLink(ended *link) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.links[ended.address] == ended {
		delete(t.links, ended.address)
	}
}

// checkMessage finds messages that can't be encoded before they are queued,
// since a failure to encode ends the connection.
func (t *Transport) checkMessage(message peer.Message) error {
	if message == nil {
		return eris.New("message is nil")
	}
	kind := reflect.TypeOf(message)
	if checked, known := t.encodable.Load(kind); known {
		err, _ := checked.(error)
		return err
	}
	err := checkEncodable(message)
	if err != nil {
		err = eris.Wrapf(err, "message of type %s can't be encoded", kind)
	}
	t.encodable.Store(kind, err)
	return err
}
