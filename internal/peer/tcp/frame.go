package tcp

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// lengthBytes is the size of the length before each frame.
const lengthBytes = 4

// maxKeptBuffer is the largest buffer kept between frames.
const maxKeptBuffer = 64 << 10

// errBadFrame: the peer sent something that is not a message.
var errBadFrame = errors.New("bad frame")

// errMessageTooLarge: a message exceeds the limit on frames.
var errMessageTooLarge = errors.New("message too large")

// readFrame reads one frame into the buffer, which grows only with the bytes
// that arrive.
func readFrame(reader io.Reader, buffer *bytes.Buffer, limit int) error {
	var prefix [lengthBytes]byte
	if _, err := io.ReadFull(reader, prefix[:]); err != nil {
		return err
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if length == 0 || uint64(length) > uint64(limit) {
		return fmt.Errorf("%w: length %d, limit %d", errBadFrame, length, limit)
	}
	if buffer.Cap() > maxKeptBuffer {
		*buffer = bytes.Buffer{}
	}
	buffer.Reset()
	if _, err := io.CopyN(buffer, reader, int64(length)); err != nil {
		return fmt.Errorf("frame cut short: %w", io.ErrUnexpectedEOF)
	}
	return nil
}
