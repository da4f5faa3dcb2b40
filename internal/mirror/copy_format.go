package mirror

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

const (
	// copyPartBytes bounds a value: the store takes 1 MB, encoded in four thirds.
	copyPartBytes = 700 << 10
	// largestCopyBytes bounds what a copy may expand to: 100,000 records of 200 bytes.
	largestCopyBytes = 20 << 20
)

// copyEntry tells of the copy of all servers' records that the relay left in the
// store.
type copyEntry struct {
	// Revision at which the store held just these records.
	Revision int64 `json:"revision"`
	Records  int   `json:"records"`
	// Parts are their names.
	Parts []string `json:"parts"`
}

// SnapshotPart is a part of the copy, as it lies in the store. Its name begins with the zone
// of the servers in it.
type SnapshotPart struct {
	Name  string
	Value []byte
}

// zonePrefix begins the names of a zone's parts.
func zonePrefix(zone string) string { return zone + "/" }

// recordsCopy are the records of the copy: of one zone, or of all.
type recordsCopy struct {
	Revision int64
	Records  []ServerRecord
}

// encode returns the copy in parts that the store takes, by zone.
func (c *recordsCopy) encode() ([]SnapshotPart, error) {
	zones := map[string]*recordsCopy{}
	for _, record := range c.Records {
		if zones[record.Zone] == nil {
			zones[record.Zone] = &recordsCopy{Revision: c.Revision}
		}
		zones[record.Zone].Records = append(zones[record.Zone].Records, record)
	}
	var parts []SnapshotPart
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		packed, err := zones[zone].pack()
		if err != nil {
			return nil, err
		}
		for number := 0; len(packed) > 0; number++ {
			length := min(len(packed), copyPartBytes)
			parts = append(parts, SnapshotPart{Name: fmt.Sprintf("%s%02d", zonePrefix(zone), number), Value: packed[:length]})
			packed = packed[length:]
		}
	}
	return parts, nil
}

// pack encodes the records of a zone.
func (c *recordsCopy) pack() ([]byte, error) {
	var packed bytes.Buffer
	compressor, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "compress the records")
	}
	if err := gob.NewEncoder(compressor).Encode(c); err != nil {
		return nil, eris.Wrap(err, "encode the records")
	}
	if err := compressor.Close(); err != nil {
		return nil, eris.Wrap(err, "compress the records")
	}
	return packed.Bytes(), nil
}

// decodeCopy returns the records of whole zones, at the earliest of their revisions. It
// fails on anything else.
func decodeCopy(parts []SnapshotPart) (*recordsCopy, error) {
	zones := map[string][]byte{}
	for _, part := range parts {
		zone, _, _ := strings.Cut(part.Name, zonePrefix(""))
		zones[zone] = append(zones[zone], part.Value...)
	}
	if len(zones) == 0 {
		return nil, eris.New("the copy of the records has no parts")
	}
	whole := &recordsCopy{Revision: math.MaxInt64}
	for zone, packed := range zones {
		expanded := io.LimitReader(flate.NewReader(bytes.NewReader(packed)), largestCopyBytes)
		var found recordsCopy
		if err := gob.NewDecoder(expanded).Decode(&found); err != nil {
			return nil, eris.Wrapf(err, "decode the copy of the records of zone %q", zone)
		}
		whole.Revision = min(whole.Revision, found.Revision)
		whole.Records = append(whole.Records, found.Records...)
	}
	return whole, nil
}

// modelSets shares equal sets of models between servers, which seldom differ in them:
// 10,000 servers with two models each otherwise take 8 MB for their maps.
type modelSets map[string]map[string]fleet.LoadedModel

func (s modelSets) of(models []ModelRecord) map[string]fleet.LoadedModel {
	var key strings.Builder
	for _, model := range models {
		key.WriteString(model.Name)
		for _, adapter := range model.Adapters {
			key.WriteByte('/')
			key.WriteString(adapter)
		}
		key.WriteByte(',')
	}
	found, known := s[key.String()]
	if !known {
		found = make(map[string]fleet.LoadedModel, len(models))
		for _, model := range models {
			found[model.Name] = fleet.NewLoadedModel(model.Adapters)
		}
		s[key.String()] = found
	}
	return found
}
