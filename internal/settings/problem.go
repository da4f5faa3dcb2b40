package settings

import (
	"fmt"
	"strings"
)

// Limits of input and reports.
const (
	// MaxInputBytes is the maximum size of a file.
	MaxInputBytes = 4 << 20
	// MaxProblems is the maximum number of problems reported.
	MaxProblems = 1000

	// maxQuotedBytes is the length to which keys and values are shortened in
	// problems.
	maxQuotedBytes = 80
)

// hiddenValue replaces a secret value in problems.
const hiddenValue = "(hidden)"

// Problem is one invalid key or value of the settings.
type Problem struct {
	// Key is the path in the file, such as "tenants[0].weight".
	Key string `json:"key"`
	// Value is the value found, shortened; secrets are hidden.
	Value string `json:"value"`
	// Allowed describes the valid values.
	Allowed string `json:"allowed"`
}

// String returns key, value and allowed values in one line.
func (p Problem) String() string {
	if p.Key == "" {
		return fmt.Sprintf("%q is not allowed: %s", p.Value, p.Allowed)
	}
	return fmt.Sprintf("%s: %q is not allowed: %s", p.Key, p.Value, p.Allowed)
}

// InvalidError is the error for invalid settings, with all their problems.
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

// problemList collects at most one problem per key, up to MaxProblems.
type problemList struct {
	problems []Problem
	keys     map[string]bool
}

func (l *problemList) add(key string, value any, allowed string) {
	if l.keys == nil {
		l.keys = map[string]bool{}
	}
	if l.keys[key] || len(l.problems) >= MaxProblems {
		return
	}
	l.keys[key] = true
	l.problems = append(l.problems, Problem{Key: shorten(key), Value: valueText(key, value), Allowed: allowed})
}

// hasUnder reports whether there is a problem with a key that starts with the given
// one, that is, with the key itself or a key below it.
func (l *problemList) hasUnder(key string) bool {
	for _, problem := range l.problems {
		if strings.HasPrefix(problem.Key, key) {
			return true
		}
	}
	return false
}

// valueText formats a value for a problem: shortened, and hidden if it is a secret.
func valueText(key string, value any) string {
	if value == nil {
		return ""
	}
	text := fmt.Sprint(value)
	if strings.HasSuffix(key, "secret") && text != "" {
		return hiddenValue
	}
	return shorten(text)
}

func shorten(text string) string {
	if len(text) <= maxQuotedBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxQuotedBytes], "") + "..."
}
