package table

import (
	"fmt"
	"strings"
)

// MaxProblems is the largest number of problems that one check returns. The
// last one of that many stands for all further problems.
const MaxProblems = 1000

// maxValueBytes is the length to which names and values are truncated in a
// problem.
const maxValueBytes = 80

// Problem is one violation of a rule of the table.
type Problem struct {
	// Row is the name of the row; empty if it has none.
	Row string `json:"row"`
	// Line in the file, from 1; 0 if unknown.
	Line int `json:"line,omitempty"`
	// Column is the name of the column; empty if the problem is not about one.
	Column string `json:"column"`
	// Value is the rejected value, truncated.
	Value string `json:"value"`
	// Allowed describes the allowed values.
	Allowed string `json:"allowed"`
}

// String formats the problem in one line.
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

// InvalidError is the error for a table that was rejected because of problems.
type InvalidError struct {
	Problems []Problem
}

// Error returns one line per problem.
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
	problem.Row = truncate(problem.Row)
	problem.Value = truncate(problem.Value)
	l.problems = append(l.problems, problem)
}

func truncate(text string) string {
	if len(text) <= maxValueBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxValueBytes], "") + "..."
}
