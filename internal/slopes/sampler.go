package slopes

import (
	"bytes"
	"encoding/gob"
	"time"

	"github.com/hatchplank/hatchplank/internal/peer"
)

// sampleAll is how many messages of a kind are all encoded; after them one in
// sampleStride is, and counts for that many.
const (
	sampleAll    = 256
	sampleStride = 32
)

// frameBytes is the length before each frame of the peer transport.
const frameBytes = 4

// frame has the form of the peer transport's envelope.
type frame struct {
	Kind    uint8
	ID      uint64
	Failure string
	Message peer.Message
}

// sampler encodes some of the messages of one kind on a gob stream of its own,
// as on an established connection, and decodes them again.
type sampler struct {
	seen    uint64
	buffer  bytes.Buffer
	encoder *gob.Encoder
	decoder *gob.Decoder
}

func newSampler() *sampler {
	s := &sampler{}
	s.encoder = gob.NewEncoder(&s.buffer)
	s.decoder = gob.NewDecoder(&s.buffer)
	return s
}

// observe returns what the message adds to the sums of bytes and of processor
// time: nothing for most messages, and the more for those that are encoded.
func (s *sampler) observe(message peer.Message) (size float64, codec time.Duration, err error) {
	s.seen++
	weight := 1
	if s.seen > sampleAll {
		if s.seen%sampleStride != 0 {
			return 0, 0, nil
		}
		weight = sampleStride
	}
	if s.seen == 1 {
		// The first message also describes the types; that is not counted.
		if _, _, err = s.roundTrip(message); err != nil {
			return 0, 0, err
		}
	}
	bytesOnWire, codec, err := s.roundTrip(message)
	return float64(bytesOnWire * weight), codec * time.Duration(weight), err
}

func (s *sampler) roundTrip(message peer.Message) (size int, codec time.Duration, err error) {
	startedAt := time.Now()
	sent := frame{Kind: 1, ID: s.seen, Message: message}
	if err = s.encoder.Encode(&sent); err != nil {
		return 0, 0, err
	}
	size = s.buffer.Len() + frameBytes
	var received frame
	err = s.decoder.Decode(&received)
	return size, time.Since(startedAt), err
}
