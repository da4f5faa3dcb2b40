package tcp

import (
	"bytes"
	"errors"
	"io"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a message that broke off being taken for a shorter one, or its connection for one that ended
// between two messages.
func TestCutFramesAreErrors(t *testing.T) {
	RegisterTestingT(t)
	encoder := newEncoder(1 << 12)
	var stream []byte
	var ends []int
	for number := range 3 {
		frame, err := encoder.encode(&envelope{Kind: envelopeCall, ID: uint64(number), Message: testRequest{Number: number}})
		Expect(err).NotTo(HaveOccurred())
		stream = append(stream, frame...)
		ends = append(ends, len(stream))
	}
	for cut := range stream {
		decoder := newDecoder(bytes.NewReader(stream[:cut]), 1<<12)
		whole, sawEnd := 0, false
		for {
			message, _, err := decoder.decode()
			if err != nil {
				sawEnd = errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
				break
			}
			Expect(message.Message).To(Equal(testRequest{Number: whole}))
			whole++
		}
		complete, between := 0, cut == 0
		for _, end := range ends {
			if cut >= end {
				complete++
			}
			between = between || cut == end
		}
		Expect(whole).To(Equal(complete), "cut behind byte %d", cut)
		Expect(sawEnd).To(Equal(between), "cut behind byte %d", cut)
	}
}
