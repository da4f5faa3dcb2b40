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

// Transport is a peer.Transport over TCP. A message must not be modified after it
// was passed to Call, Send or reply.
type Transport struct {
	config     Config
	listener   net.Listener
	advertised string
	statistics statistics
	// encodable caches the result of checkEncodable by type.
	encodable sync.Map
	// violationLogLimiter limits the log lines about protocol violations.
	violationLogLimiter *rate.Limiter
	handshakes          chan struct{}

	// context is cancelled by Close.
	context context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mutex    sync.Mutex
	closed   bool
	handlers map[reflect.Type]peer.Handler
	// streamHandlers by the type of the request that begins a stream.
	streamHandlers map[reflect.Type]peer.StreamHandler
	links          map[string]*link
	accepted       map[net.Conn]struct{}
}

var _ peer.Transport = (*Transport)(nil)

// maxViolationLogsPerSecond limits the log lines about protocol violations;
// statistics count all of them.
const maxViolationLogsPerSecond = 5

// New returns a transport and opens its listener if none is given. The caller
// must Close the transport.
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
		config:              config,
		listener:            listener,
		advertised:          config.AdvertisedAddress,
		violationLogLimiter: rate.NewLimiter(maxViolationLogsPerSecond, maxViolationLogsPerSecond),
		handshakes:          make(chan struct{}, config.MaxHandshakes),
		handlers:            map[reflect.Type]peer.Handler{},
		streamHandlers:      map[reflect.Type]peer.StreamHandler{},
		links:               map[string]*link{},
		accepted:            map[net.Conn]struct{}{},
	}
	if transport.advertised == "" {
		transport.advertised = listener.Addr().String()
	}
	transport.context, transport.cancel = context.WithCancel(context.Background())
	return transport, nil
}

// Address returns the address at which peers reach this node.
func (t *Transport) Address() string { return t.advertised }

// Start starts accepting connections of peers.
func (t *Transport) Start() { t.goIfOpen(t.acceptLoop) }

// Close closes all connections, fails the pending calls and waits until both are
// done. It must not be called from a handler or a callback.
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

// goIfOpen runs function on a goroutine that Close waits for. It returns false if
// the transport is closed.
func (t *Transport) goIfOpen(function func()) bool {
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

// enqueue queues an item on the link to the address. A link that has just closed
// is replaced.
func (t *Transport) enqueue(address string, item outgoing, timeout time.Duration) error {
	for {
		link, err := t.linkTo(address)
		if err != nil {
			return err
		}
		if err = link.enqueue(item, timeout); !errors.Is(err, errLinkClosed) {
			return err
		}
		t.removeLink(link)
	}
}

// linkTo returns the link to an address, and creates it if there is none.
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

// removeLink removes a closed link unless it has been replaced.
func (t *Transport) removeLink(closed *link) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.links[closed.address] == closed {
		delete(t.links, closed.address)
	}
}

// checkMessage returns an error for a message whose type can't be encoded. It is
// called before a message is queued, since a failure to encode closes the
// connection.
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
