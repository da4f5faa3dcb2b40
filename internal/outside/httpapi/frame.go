package httpapi

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"sync"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// The errors of an invalid or interrupted stream.
var (
	errTruncated     = errors.New("stream ended before it was complete")
	errFrameTooLarge = errors.New("frame too large")
	errBadFrame      = errors.New("frame is not a chunk")
	errMissingChunk  = errors.New("chunk missing")
	errIdleStream    = errors.New("stream idle for too long")
)

var (
	dataField  = []byte("data:")
	doneMarker = []byte(DoneMarker)
)

// frameReader reads the frames of a stream of server-sent events with one data line each.
// Readers are pooled, and their buffers reused.
type frameReader struct {
	buffer *bufio.Reader
	frame  receivedFrame
}

// receivedFrame is the part of a StreamFrame that a client uses. Omitting the rest saves
// allocations for every token.
type receivedFrame struct {
	Choices []receivedChoice  `json:"choices"`
	Usage   *StreamUsage      `json:"usage"`
	Index   int               `json:"chunk_index"`
	Tokens  int               `json:"chunk_tokens"`
	Chunks  *int              `json:"chunk_count"`
	Load    *outside.LoadHint `json:"load"`
	Problem *Problem          `json:"problem"`
}

type receivedChoice struct {
	Text  string `json:"text"`
	Delta struct {
		Content string `json:"content"`
	} `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// frameReaderPools holds a pool of idle readers for each buffer size.
var frameReaderPools sync.Map

func newFrameReader(body io.Reader, size int) *frameReader {
	pool, _ := frameReaderPools.LoadOrStore(size, &sync.Pool{})
	if reader, found := pool.(*sync.Pool).Get().(*frameReader); found {
		reader.buffer.Reset(body)
		return reader
	}
	return &frameReader{buffer: bufio.NewReaderSize(body, size)}
}

// release returns the reader to its pool.
func (r *frameReader) release() {
	size := r.buffer.Size()
	r.buffer.Reset(nil)
	r.clear()
	if pool, found := frameReaderPools.Load(size); found {
		pool.(*sync.Pool).Put(r)
	}
}

// next returns the next frame, or nil at the done marker. The frame is valid until the next
// call.
func (r *frameReader) next() (*receivedFrame, error) {
	data, err := r.nextData()
	if err != nil {
		return nil, err
	}
	if bytes.Equal(data, doneMarker) {
		return nil, nil
	}
	r.clear()
	if json.Unmarshal(data, &r.frame) != nil {
		return nil, errBadFrame
	}
	return &r.frame, nil
}

// nextData returns the data of the next frame. It skips comments and other fields.
func (r *frameReader) nextData() ([]byte, error) {
	for {
		line, err := r.buffer.ReadSlice('\n')
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, errFrameTooLarge
		case errors.Is(err, io.EOF):
			return nil, errTruncated
		case err != nil:
			return nil, err
		}
		if data, found := bytes.CutPrefix(line, dataField); found {
			return bytes.TrimSpace(data), nil
		}
	}
}

// clear resets the frame but keeps the capacity of its choices.
func (r *frameReader) clear() {
	choices := r.frame.Choices[:cap(r.frame.Choices)]
	clear(choices)
	r.frame = receivedFrame{Choices: choices[:0]}
}
