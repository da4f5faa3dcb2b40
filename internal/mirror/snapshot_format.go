package mirror

import (
	"bytes"
	"cmp"
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
	// maxPartBytes bounds the value of one part: the store accepts 1 MB, and encoding adds a third.
	maxPartBytes = 700 << 10
	// maxSnapshotBytes bounds the decompressed size of a snapshot: 100,000 records of 200 bytes.
	maxSnapshotBytes = 20 << 20
)

// snapshotManifest describes the snapshot of all servers' records that the relay wrote to the
// store.
type snapshotManifest struct {
	// Revision at which the store held exactly these records.
	Revision int64 `json:"revision"`
	Records  int   `json:"records"`
	// Parts are the names of the snapshot's parts.
	Parts []string `json:"parts"`
}

// SnapshotPart is one part of the records snapshot, as stored. Its name begins with the zone of the
// servers in it.
type SnapshotPart struct {
	Name  string
	Value []byte
}

// zonePrefix returns the prefix of the names of a zone's parts.
func zonePrefix(zone string) string { return zone + "/" }

// recordsSnapshot holds the records of a snapshot, of one zone or of all.
type recordsSnapshot struct {
	Revision int64
	Records  []ServerRecord
	// Rejected as in Update.
	Rejected []ServerRecord
}

const (
	// maxSnapshotZones is how many zones have parts of their own: a transaction of the store has 31
	// entries for the manifest, the parts, and those to remove.
	maxSnapshotZones = 12
	// sharedZone names the parts with the records of all other zones. Nodes of such a zone read the
	// whole snapshot at once.
	sharedZone = ""
	// maxZoneBytes is the longest name of a zone that is part of a key.
	maxZoneBytes = 64
)

// inPartNames reports whether the name of a zone may be part of a part's name.
func inPartNames(zone string) bool {
	return len(zone) <= maxZoneBytes && !strings.ContainsFunc(zone, func(char rune) bool {
		isLetter := char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z'
		return !isLetter && (char < '0' || char > '9') && !strings.ContainsRune(".-_", char)
	})
}

// byZone returns the snapshot in parts by zone. The zones with the most records have their own.
func (s *recordsSnapshot) byZone() map[string]*recordsSnapshot {
	sizes := map[string]int{}
	for _, record := range s.Records {
		if inPartNames(record.Zone) {
			sizes[record.Zone]++
		}
	}
	largest := slices.SortedFunc(maps.Keys(sizes), func(a, b string) int {
		return cmp.Or(cmp.Compare(sizes[b], sizes[a]), strings.Compare(a, b))
	})
	zones := map[string]*recordsSnapshot{}
	for _, zone := range largest[:min(len(largest), maxSnapshotZones)] {
		zones[zone] = &recordsSnapshot{Revision: s.Revision}
	}
	if len(s.Rejected) > 0 {
		zones[sharedZone] = &recordsSnapshot{Revision: s.Revision, Rejected: s.Rejected}
	}
	for _, record := range s.Records {
		zone := record.Zone
		if zones[zone] == nil {
			zone = sharedZone
		}
		if zones[zone] == nil {
			zones[zone] = &recordsSnapshot{Revision: s.Revision}
		}
		zones[zone].Records = append(zones[zone].Records, record)
	}
	return zones
}

// encode returns the snapshot in parts that the store accepts, by zone.
func (s *recordsSnapshot) encode() ([]SnapshotPart, error) {
	zones := s.byZone()
	var parts []SnapshotPart
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		compressed, err := zones[zone].compress()
		if err != nil {
			return nil, err
		}
		for number := 0; len(compressed) > 0; number++ {
			length := min(len(compressed), maxPartBytes)
			parts = append(parts, SnapshotPart{Name: fmt.Sprintf("%s%02d", zonePrefix(zone), number), Value: compressed[:length]})
			compressed = compressed[length:]
		}
	}
	return parts, nil
}

// compress encodes and compresses the records of a zone.
func (s *recordsSnapshot) compress() ([]byte, error) {
	var compressed bytes.Buffer
	compressor, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "compress the records")
	}
	if err := gob.NewEncoder(compressor).Encode(s); err != nil {
		return nil, eris.Wrap(err, "encode the records")
	}
	if err := compressor.Close(); err != nil {
		return nil, eris.Wrap(err, "compress the records")
	}
	return compressed.Bytes(), nil
}

// decodeSnapshot returns the records of complete zones, at the earliest of their revisions. It
// fails on anything else.
func decodeSnapshot(parts []SnapshotPart) (*recordsSnapshot, error) {
	zones := map[string][]byte{}
	for _, part := range parts {
		zone, _, _ := strings.Cut(part.Name, zonePrefix(""))
		zones[zone] = append(zones[zone], part.Value...)
	}
	if len(zones) == 0 {
		return nil, eris.New("the records snapshot has no parts")
	}
	all := &recordsSnapshot{Revision: math.MaxInt64}
	for zone, compressed := range zones {
		ofZone, err := decompressRecords(compressed)
		if err != nil {
			return nil, eris.Wrapf(err, "decode the records snapshot of zone %q", zone)
		}
		all.Revision = min(all.Revision, ofZone.Revision)
		all.Records = append(all.Records, ofZone.Records...)
		all.Rejected = append(all.Rejected, ofZone.Rejected...)
	}
	return all, nil
}

// modelSets shares equal sets of models between servers, most of which hold the same ones: the maps
// of 10,000 servers with two models each take 8 MB otherwise.
type modelSets map[string]map[string]fleet.LoadedModel

func (s modelSets) of(models []ModelRecord) map[string]fleet.LoadedModel {
	key := string(appendModels(nil, models))
	set, exists := s[key]
	if !exists {
		set = make(map[string]fleet.LoadedModel, len(models))
		for _, model := range models {
			set[model.Name] = fleet.NewLoadedModel(model.Adapters)
		}
		s[key] = set
	}
	return set
}

// decompressRecords is the inverse of compress.
func decompressRecords(compressed []byte) (*recordsSnapshot, error) {
	decompressed := io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxSnapshotBytes)
	var records recordsSnapshot
	if err := gob.NewDecoder(decompressed).Decode(&records); err != nil {
		return nil, err
	}
	return &records, nil
}
