package tcp

import (
	"bytes"
	"testing"
)

// fuzzFrameLimit is small enough for the fuzzer to reach it.
const fuzzFrameLimit = 1 << 12

// FuzzDecoder checks that no input makes the decoder panic, read beyond the
// limit, or return an envelope that is not valid.
func FuzzDecoder(f *testing.F) {
	encoder := newEncoder(fuzzFrameLimit)
	var stream []byte
	for number := range 2 {
		frame, err := encoder.encode(&envelope{Kind: envelopeCall, ID: 1, Message: testRequest{Number: number}})
		if err != nil {
			f.Fatal(err)
		}
		stream = append(stream, frame...)
	}
	f.Add(stream)
	f.Add(stream[:len(stream)-1])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 3, 1, 2, 3})
	f.Fuzz(func(t *testing.T, input []byte) {
		decoder := newDecoder(bytes.NewReader(input), fuzzFrameLimit)
		consumed := 0
		for {
			message, size, err := decoder.decode()
			consumed += size
			if size > fuzzFrameLimit+lengthPrefixBytes || consumed > len(input) {
				t.Fatalf("frame of %d bytes, %d of %d consumed", size, consumed, len(input))
			}
			if err != nil {
				return
			}
			if message.validate() != nil {
				t.Fatalf("invalid envelope %+v", message)
			}
		}
	})
}
