package explain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// ended is the message of the line that each request has at its end.
const ended = "request ended"

// routeEnds counts how the requests of one route ended.
type routeEnds struct {
	route   string
	total   int
	byCause map[string]int
}

// SummarizeOutcomes writes, for each route, how its requests ended and what made them late, with
// the most frequent first. A caller that was refused and came back is two requests.
func SummarizeOutcomes(logs io.Reader, output io.Writer) error {
	lines, err := readLines(logs)
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ROUTE\tREQUESTS\tSHARE\tEND")
	for _, ends := range countEnds(lines) {
		fmt.Fprintf(table, "%s\t%d\t\t\n", ends.route, ends.total)
		for _, cause := range ends.causes() {
			count := ends.byCause[cause]
			fmt.Fprintf(table, "\t%d\t%.3f\t%s\n", count, float64(count)/float64(ends.total), cause)
		}
	}
	return table.Flush()
}

// countEnds returns the routes with the most requests first.
func countEnds(lines []*line) []*routeEnds {
	byRoute := map[string]*routeEnds{}
	for _, told := range lines {
		if told.text != ended {
			continue
		}
		route := cmp.Or(told.word("route"), "(none)")
		if byRoute[route] == nil {
			byRoute[route] = &routeEnds{route: route, byCause: map[string]int{}}
		}
		byRoute[route].total++
		byRoute[route].byCause[endOf(told)]++
	}
	var all []*routeEnds
	for _, ends := range byRoute {
		all = append(all, ends)
	}
	slices.SortFunc(all, func(a, b *routeEnds) int {
		return cmp.Or(cmp.Compare(b.total, a.total), cmp.Compare(a.route, b.route))
	})
	return all
}

// causes returns the most frequent first.
func (e *routeEnds) causes() []string {
	var causes []string
	for cause := range e.byCause {
		causes = append(causes, cause)
	}
	slices.SortFunc(causes, func(a, b string) int {
		return cmp.Or(cmp.Compare(e.byCause[b], e.byCause[a]), cmp.Compare(a, b))
	})
	return causes
}

// endOf names the end of a request and what is known of its cause.
func endOf(told *line) string {
	text := told.word("code")
	if text == "ok" {
		text = "answered"
		if status, _ := told.fields["status"].(float64); status >= 500 {
			text = "answered with the server's failure"
		}
	}
	switch told.word("late") {
	case "start":
		text += ", began late"
	case "pause":
		text += ", paused too long"
	}
	if _, refused := told.fields["retry_after_ms"]; refused {
		text += ", told when to come back"
	}
	if told.flag("cold") {
		text += ", cold"
	}
	if told.flag("came_back") {
		text += ", had come back"
	}
	return text
}

// flag is a field that is true, or left out.
func (l *line) flag(name string) bool {
	set, _ := l.fields[name].(bool)
	return set
}
