package mirror

import "github.com/rotisserie/eris"

// Records take a quarter of the bytes when they are packed, and are encoded once for all
// subscribers: when 10,000 servers register within six seconds, a relay pushes each record to 64
// nodes, and these to some fifteen others on links of 20 Mbit/s.

// minPackedRecords is the number of records from which an update is packed.
const minPackedRecords = 16

// packed returns the update with its records packed, if there are many of them.
func (u Update) packed() Update {
	if len(u.Servers) < minPackedRecords {
		return u
	}
	content := recordsSnapshot{Revision: u.At, Records: u.Servers}
	packed, err := content.compress()
	if err != nil {
		// Records that can't be packed can't be sent as they are either, and all can.
		return u
	}
	u.Packed, u.Servers = packed, nil
	return u
}

// unpacked is the inverse of packed.
func (u Update) unpacked() (Update, error) {
	if len(u.Packed) == 0 {
		return u, nil
	}
	records, err := decompressRecords(u.Packed)
	if err != nil {
		return u, eris.Wrap(err, "unpack the records of an update")
	}
	u.Packed, u.Servers = nil, append(u.Servers, records.Records...)
	return u, nil
}
