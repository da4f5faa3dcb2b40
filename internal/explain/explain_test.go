package explain_test

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/explain"
)

const logs = `
   3.1 a {"level":"info","node":"a","order":"unload","server":"s1","model":"m","time":"2026-12-02T09:00:03.100Z","message":"order"}
{"level":"info","node":"a","server":"s9","state":"ready","time":"2026-12-02T09:00:03.200Z","message":"server state"}
{"level":"info","node":"b","holder":"a","time":"2026-12-02T09:00:03.300Z","message":"holder gone"}
{"level":"info","node":"b","request":"r1","server":"s1","reason":"not_held","again":true,"time":"2026-12-02T09:00:04.000Z","message":"attempt failed"}
{"level":"warn","node":"b","request":"r1","model":"m","code":"no_back_end","ran":"no","attempts":1,"able":0,"took_ms":900,"reason":"no place before the objective","time":"2026-12-02T09:00:04.500Z","message":"request ended"}
{"level":"warn","node":"c","paused_ms":3000,"time":"2026-12-02T09:00:04.550Z","message":"process was paused"}
{"level":"info","node":"b","request":"r2","code":"ok","time":"2026-12-02T09:00:04.600Z","message":"request ended"}
{"level":"info","node":"a","server":"s1","time":"2026-12-02T09:00:40.000Z","message":"server gone"}
no line of ours
`

func TestExplainListsTheLinesOfARequest(t *testing.T) {
	RegisterTestingT(t)
	var output bytes.Buffer
	Expect(explain.Explain("r1", strings.NewReader(logs), &output)).To(Succeed())
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	Expect(lines).To(HaveLen(6))
	Expect(lines[0]).To(ContainSubstring("order=unload"))
	Expect(lines[1]).To(ContainSubstring("holder gone"))
	Expect(lines[2]).To(ContainSubstring("reason=not_held"))
	Expect(lines[5]).To(Equal("=> ended at b with no_back_end after 1 attempts (ran: no): no place before the objective; no server held what it needs"))
	Expect(output.String()).NotTo(ContainSubstring("s9"))
	Expect(output.String()).NotTo(ContainSubstring("r2"))
}

func TestPauseOfTheNodeIsPartOfTheConclusion(t *testing.T) {
	RegisterTestingT(t)
	var output bytes.Buffer
	paused := strings.Replace(logs, `"node":"c","paused_ms"`, `"node":"b","paused_ms"`, 1)
	Expect(explain.Explain("r1", strings.NewReader(paused), &output)).To(Succeed())
	Expect(output.String()).To(HaveSuffix("; its node was paused for 3000 ms until 09:00:04.550\n"))
}

func TestUnknownRequest(t *testing.T) {
	RegisterTestingT(t)
	Expect(explain.Explain("other", strings.NewReader(logs), &bytes.Buffer{})).To(MatchError(ContainSubstring("no line names")))
}

const dayLogs = `
{"node":"a","request":"1","code":"ok","route":"r","status":200,"time":"2026-12-02T09:00:00.000Z","message":"request ended"}
{"node":"b","request":"2","code":"ok","route":"r","status":200,"time":"2026-12-02T09:00:00.000Z","message":"request ended"}
{"node":"a","request":"3","code":"no_back_end","route":"r","cold":true,"retry_after_ms":900,"time":"2026-12-02T09:00:00.000Z","message":"request ended"}
{"node":"a","request":"4","code":"ok","route":"r","status":200,"late":"start","cold":true,"time":"2026-12-02T09:00:00.000Z","message":"request ended"}
{"node":"a","request":"5","code":"ok","route":"s","status":200,"late":"pause","time":"2026-12-02T09:00:00.000Z","message":"request ended"}
{"node":"a","request":"6","code":"unknown_path","time":"2026-12-02T09:00:00.000Z","message":"request ended"}
{"node":"a","request":"6","time":"2026-12-02T09:00:00.000Z","message":"attempt failed"}
`

func TestSummarizeOutcomes(t *testing.T) {
	RegisterTestingT(t)
	var output bytes.Buffer
	Expect(explain.SummarizeOutcomes(strings.NewReader(dayLogs), &output)).To(Succeed())
	var rows []string
	for _, text := range strings.Split(strings.TrimSpace(output.String()), "\n") {
		rows = append(rows, strings.Join(strings.Fields(text), " "))
	}
	Expect(rows).To(Equal([]string{
		"ROUTE REQUESTS SHARE END",
		"r 4",
		"2 0.500 answered",
		"1 0.250 answered, began late, cold",
		"1 0.250 no_back_end, told when to come back, cold",
		"(none) 1",
		"1 1.000 unknown_path",
		"s 1",
		"1 1.000 answered, paused too long",
	}))
}
