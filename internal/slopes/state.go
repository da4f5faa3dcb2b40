package slopes

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/hatchplank/hatchplank/internal/claims"
	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/table"
)

// State is a part of a node's memory that was decoded from its wire form, so
// that nothing of it is shared.
type State struct {
	Name  string
	Count int
	// WireBytes of the whole, HeapBytes that it takes, and the time to decode.
	WireBytes, HeapBytes int
	Decode               time.Duration
}

// MeasureStates measures what a node at a size keeps of the deployment.
func MeasureStates(size Size) ([]State, error) {
	rows, err := measureState("table rows, by gob", size.Rows, rowsOf(size), encodeGob, decodeGob[[]table.Row], func(rows []table.Row) any {
		return table.NewSnapshot(1, rows)
	})
	if err != nil {
		return nil, err
	}
	listing, err := measureState("machine list, by JSON", size.Servers, machinesOf(size), json.Marshal, decodeJSON[[]outside.Machine], func(machines []outside.Machine) any {
		index := make(map[outside.ServerID]outside.Machine, len(machines))
		for _, machine := range machines {
			index[machine.Server] = machine
		}
		return []any{machines, index}
	})
	if err != nil {
		return nil, err
	}
	members, err := measureState("members, by JSON", size.Nodes, membersOf(size), json.Marshal, decodeJSON[[]membership.Member], func(members []membership.Member) any {
		return members
	})
	if err != nil {
		return nil, err
	}
	keys := size.claimKeys()
	records, err := measureState("claim keys, by gob", keys, recordsOf(keys), encodeGob, decodeGob[[]claims.KeyRecord], func(records []claims.KeyRecord) any {
		index := make(map[claims.Key]*claims.KeyRecord, len(records))
		for i := range records {
			record := records[i]
			index[record.Key] = &record
		}
		return index
	})
	return []State{rows, listing, members, records}, err
}

// claimRetention is how long keys are remembered by default.
const claimRetention = time.Hour

// claimKeys is the number of keys one node holds votes for.
func (s Size) claimKeys() int {
	keys := s.RequestsPerSecond * s.ClaimShare * claimRetention.Seconds()
	return int(keys * claims.AcceptorsPerShard / float64(s.Nodes))
}

func machinesOf(size Size) []outside.Machine {
	machines := make([]outside.Machine, size.Servers)
	for i := range machines {
		machines[i] = outside.Machine{
			Server: outside.ServerID(fmt.Sprintf("server-%05d", i)), Address: "10.200.100.100:8000", Pool: enginePool,
			Zone: fmt.Sprintf("zone-%02d", i%size.Zones), Region: fmt.Sprintf("region-%d", i%size.Regions),
			Phase: outside.MachineLive, Engine: true,
		}
	}
	return machines
}

func membersOf(size Size) []membership.Member {
	members := make([]membership.Member, size.Nodes)
	for i := range members {
		members[i] = membership.Member{
			Name: fmt.Sprintf("10.200.100.%d:8080", i), Incarnation: "1796198600-0123456789", Zone: fmt.Sprintf("zone-%02d", i%size.Zones),
			Region: "region-0", PeerAddress: "10.200.100.100:7080", CallerAddress: "10.200.100.100:8080",
		}
	}
	return members
}

func recordsOf(count int) []claims.KeyRecord {
	records := make([]claims.KeyRecord, count)
	for i := range records {
		records[i].Key = claims.Key{Tenant: tenantName, Value: fmt.Sprintf("confirmation-%016d", i)}
		records[i].ClaimedAt = time.Unix(1_796_198_600, int64(i))
	}
	return records
}

func encodeGob(value any) ([]byte, error) {
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(value)
	return buffer.Bytes(), err
}

func decodeGob[Value any](encoded []byte) (value Value, err error) {
	return value, gob.NewDecoder(bytes.NewReader(encoded)).Decode(&value)
}

func decodeJSON[Value any](encoded []byte) (value Value, err error) {
	return value, json.Unmarshal(encoded, &value)
}

// measureState decodes a value, builds what a node keeps of it, and measures
// the heap before and after.
func measureState[Value any](name string, count int, value Value, encode func(any) ([]byte, error), decode func([]byte) (Value, error), keep func(Value) any) (State, error) {
	encoded, err := encode(value)
	if err != nil {
		return State{}, err
	}
	before := heapInUse()
	startedAt := time.Now()
	decoded, err := decode(encoded)
	elapsed := time.Since(startedAt)
	if err != nil {
		return State{}, err
	}
	kept := keep(decoded)
	var none Value
	decoded = none
	state := State{Name: name, Count: count, WireBytes: len(encoded), HeapBytes: heapInUse() - before, Decode: elapsed}
	runtime.KeepAlive(kept)
	runtime.KeepAlive(encoded)
	runtime.KeepAlive(value)
	return state, nil
}

// heapInUse collects garbage and returns the bytes that are left.
func heapInUse() int {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

// runStates prints the states at the target.
func runStates(options Options) error {
	states, err := MeasureStates(Target())
	if err != nil {
		return err
	}
	fmt.Fprintf(options.Out, "\nstate of one node at %s\n", Target())
	return writeStates(options.Out, states)
}

func writeStates(out io.Writer, states []State) error {
	writer := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, "state\tcount\tbytes on the wire\tMB in memory\tms to decode\t")
	for _, state := range states {
		fmt.Fprintf(writer, "%s\t%d\t%d\t%.2f\t%.1f\t\n", state.Name, state.Count, state.WireBytes,
			float64(state.HeapBytes)/megaByte, float64(state.Decode.Microseconds())/1000)
	}
	return writer.Flush()
}
