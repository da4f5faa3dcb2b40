package table

import (
	"fmt"
	"strings"
)

// MaxProblems bounds how many problems one check lists; the last one listed
// then says that there are more.
const MaxProblems = 1000

// maxQuotedBytes bounds how much of a refused value is repeated.
const maxQuotedBytes = 80

// Problem is one breach of a rule of the table.
type Problem struct {
	// Row is the name of the row; empty if it has none.
	Row string `json:"row"`
	// Line of the file, from 1; 0 if not known.
	Line int `json:"line,omitempty"`
	// Column is the name of the column; empty if the whole row is meant.
	Column string `json:"column"`
	// Value found, shortened.
	Value string `json:"value"`
	// Allowed says what would be accepted.
	Allowed string `json:"allowed"`
}

// String names row, column, value and what is allowed, in one line.
func (p Problem) String() string {
	var text strings.Builder
	if p.Line > 0 {
		fmt.Fprintf(&text, "line %d: ", p.Line)
	}
	if p.Row != "" {
		fmt.Fprintf(&text, "row %q: ", p.Row)
	}
	if p.Column != "" {
		fmt.Fprintf(&text, "%s: ", p.Column)
	}
	fmt.Fprintf(&text, "%q is not allowed: %s", p.Value, p.Allowed)
	return text.String()
}

// InvalidError carries all problems of a refused table.
type InvalidError struct {
	Problems []Problem
}

// Error gives one line a problem.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for index, problem := range e.Problems {
		lines[index] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// problemList collects problems up to MaxProblems.
type problemList struct {
	problems []Problem
}

func (l *problemList) add(problem Problem) {
	if len(l.problems) >= MaxProblems {
		return
	}
	if len(l.problems) == MaxProblems-1 {
		problem = Problem{Value: "more problems", Allowed: "only the first are listed"}
	}
	problem.Row = shorten(problem.Row)
	problem.Value = shorten(problem.Value)
	l.problems = append(l.problems, problem)
}

func shorten(text string) string {
	if len(text) <= maxQuotedBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxQuotedBytes], "") + "..."
}
