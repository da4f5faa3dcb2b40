package explain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// requestEndedMessage is the message of the log line of a finished request.
const requestEndedMessage = "request ended"

// routeOutcomes counts the outcomes of one route's requests.
type routeOutcomes struct {
	name      string
	total     int
	byOutcome map[string]int
}

// SummarizeOutcomes writes the outcomes of each route's requests, and the causes of delays, most
// frequent first. A request that was refused and then retried by its client counts twice.
func SummarizeOutcomes(logs io.Reader, output io.Writer) error {
	lines, err := readLines(logs)
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ROUTE\tREQUESTS\tSHARE\tEND")
	for _, route := range countOutcomes(lines) {
		fmt.Fprintf(table, "%s\t%d\t\t\n", route.name, route.total)
		for _, outcome := range route.outcomes() {
			count := route.byOutcome[outcome]
			fmt.Fprintf(table, "\t%d\t%.3f\t%s\n", count, float64(count)/float64(route.total), outcome)
		}
	}
	return table.Flush()
}

// countOutcomes counts the outcomes by route. It returns the routes with the most requests first.
func countOutcomes(lines []*line) []*routeOutcomes {
	byRoute := map[string]*routeOutcomes{}
	for _, entry := range lines {
		if entry.text != requestEndedMessage {
			continue
		}
		route := cmp.Or(entry.stringField("route"), "(none)")
		if byRoute[route] == nil {
			byRoute[route] = &routeOutcomes{name: route, byOutcome: map[string]int{}}
		}
		byRoute[route].total++
		byRoute[route].byOutcome[outcomeOf(entry)]++
	}
	var all []*routeOutcomes
	for _, ends := range byRoute {
		all = append(all, ends)
	}
	slices.SortFunc(all, func(a, b *routeOutcomes) int {
		return cmp.Or(cmp.Compare(b.total, a.total), cmp.Compare(a.name, b.name))
	})
	return all
}

// outcomes returns the route's outcomes, most frequent first.
func (e *routeOutcomes) outcomes() []string {
	var outcomes []string
	for outcome := range e.byOutcome {
		outcomes = append(outcomes, outcome)
	}
	slices.SortFunc(outcomes, func(a, b string) int {
		return cmp.Or(cmp.Compare(e.byOutcome[b], e.byOutcome[a]), cmp.Compare(a, b))
	})
	return outcomes
}

// outcomeOf describes the outcome of a finished request, and what its log line gives of the cause.
func outcomeOf(entry *line) string {
	text := entry.stringField("code")
	if text == "ok" {
		text = "answered"
		if status, _ := entry.fields["status"].(float64); status >= 500 {
			text = "answered with the server's failure"
		}
	}
	switch entry.stringField("late") {
	case "start":
		text += ", began late"
	case "pause":
		text += ", paused too long"
	}
	if _, refused := entry.fields["retry_after_ms"]; refused {
		text += ", told when to come back"
	}
	if entry.boolField("cold") {
		text += ", cold"
	}
	return text
}

// boolField returns a boolean field; false if it is missing.
func (l *line) boolField(name string) bool {
	set, _ := l.fields[name].(bool)
	return set
}
