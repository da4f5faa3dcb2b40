package slopes

import (
	"bytes"
	"runtime"
	"runtime/pprof"
	"strings"
	"time"

	"github.com/google/pprof/profile"
	"github.com/rotisserie/eris"
)

// cpuByRole runs work under the processor profile and attributes its time to
// roles.
func cpuByRole(work func()) (map[Role]time.Duration, error) {
	var buffer bytes.Buffer
	if err := pprof.StartCPUProfile(&buffer); err != nil {
		return nil, eris.Wrap(err, "start processor profile")
	}
	work()
	pprof.StopCPUProfile()
	parsed, err := profile.Parse(&buffer)
	if err != nil {
		return nil, eris.Wrap(err, "read processor profile")
	}
	// The last value of a sample is its processor time in nanoseconds.
	sums := sumByRole(parsed, len(parsed.SampleType)-1)
	times := make(map[Role]time.Duration, len(sums))
	for role, value := range sums {
		times[role] = time.Duration(value)
	}
	return times, nil
}

// heapByRole collects garbage and attributes the bytes in use to the roles
// that allocated them. The profile samples allocations, so it is scaled to the
// heap's measured size.
func heapByRole() (bytesByRole map[Role]float64, total float64, err error) {
	runtime.GC()
	runtime.GC()
	var buffer bytes.Buffer
	if err := pprof.Lookup("heap").WriteTo(&buffer, 0); err != nil {
		return nil, 0, eris.Wrap(err, "write heap profile")
	}
	parsed, err := profile.Parse(&buffer)
	if err != nil {
		return nil, 0, eris.Wrap(err, "read heap profile")
	}
	index := 0
	for i, sampleType := range parsed.SampleType {
		if sampleType.Type == "inuse_space" {
			index = i
		}
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return sumByRole(parsed, index), float64(stats.HeapAlloc), nil
}

// sumByRole adds the samples' values up by the role of the innermost function
// that has one.
func sumByRole(parsed *profile.Profile, valueIndex int) map[Role]float64 {
	sums := map[Role]float64{}
	for _, sample := range parsed.Sample {
		sums[roleOfSample(sample)] += float64(sample.Value[valueIndex])
	}
	return sums
}

// collectorFunctions begin the stacks of the garbage collector's workers.
var collectorFunctions = []string{"runtime.gcBgMarkWorker", "runtime.bgsweep", "runtime.bgscavenge"}

func roleOfSample(sample *profile.Sample) Role {
	for _, location := range sample.Location {
		for _, line := range location.Line {
			if line.Function == nil {
				continue
			}
			if role, known := roleOfFunction(line.Function.Name); known {
				return role
			}
			for _, prefix := range collectorFunctions {
				if strings.HasPrefix(line.Function.Name, prefix) {
					return RoleCollector
				}
			}
		}
	}
	return RoleHarness
}

// shareCollector leaves to the nodes only their share of the collector's time:
// that of the rest of the processor time.
func shareCollector(times map[Role]time.Duration) {
	total, nodes := time.Duration(0), time.Duration(0)
	for role, spent := range times {
		if role == RoleCollector {
			continue
		}
		total += spent
		if role != RoleHarness && role != RoleData {
			nodes += spent
		}
	}
	if total > 0 {
		times[RoleCollector] = time.Duration(float64(times[RoleCollector]) * float64(nodes) / float64(total))
	}
}
