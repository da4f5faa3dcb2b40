package tablestore

import (
	"bytes"
	"encoding/gob"

	"github.com/klauspost/compress/s2"
	"github.com/rotisserie/eris"
)

// maxDecodedBytes bounds the memory that one record may expand to.
const maxDecodedBytes = 64 << 20

// encodeRecord writes a record as compressed gob.
func encodeRecord(record any) ([]byte, error) {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(record); err != nil {
		return nil, eris.Wrap(err, "encode table record")
	}
	return s2.EncodeBetter(nil, buffer.Bytes()), nil
}

// decodeRecord reads what encodeRecord wrote.
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
