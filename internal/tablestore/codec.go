package tablestore

import (
	"bytes"
	"encoding/gob"

	"github.com/klauspost/compress/s2"
	"github.com/rotisserie/eris"
)

// maxDecodedBytes bounds the decompressed size of one record.
const maxDecodedBytes = 64 << 20

// encodeRecord encodes a record as gob, compressed with S2.
func encodeRecord(record any) ([]byte, error) {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(record); err != nil {
		return nil, eris.Wrap(err, "encode table record")
	}
	return s2.EncodeBetter(nil, buffer.Bytes()), nil
}

// decodeRecord decodes the output of encodeRecord. It fails if the record is
// malformed or larger than maxDecodedBytes.
func decodeRecord[Record any](value []byte) (Record, error) {
	var record Record
	size, err := s2.DecodedLen(value)
	if err != nil {
		return record, eris.Wrap(err, "decompress table record")
	}
	if size > maxDecodedBytes {
		return record, eris.Errorf("table record of %d bytes exceeds %d", size, maxDecodedBytes)
	}
	plain, err := s2.Decode(nil, value)
	if err != nil {
		return record, eris.Wrap(err, "decompress table record")
	}
	if err := gob.NewDecoder(bytes.NewReader(plain)).Decode(&record); err != nil {
		return record, eris.Wrap(err, "decode table record")
	}
	return record, nil
}
