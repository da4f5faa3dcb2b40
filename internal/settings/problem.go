package settings

import (
	"fmt"
	"strings"
)

// Bounds of what is read and reported.
const (
	// MaxInputBytes is the largest file accepted.
	MaxInputBytes = 4 << 20
	// MaxProblems bounds the problems reported.
	MaxProblems = 1000

	maxQuotedBytes = 80
)

// hiddenValue stands for a value that must not be shown.
const hiddenValue = "(hidden)"

// Problem is one thing wrong with the settings.
type Problem struct {
	// Key in the file, e.g. "tenants[0].weight".
	Key string `json:"key"`
	// Value found, shortened; secrets are hidden.
	Value string `json:"value"`
	// Allowed says what would be accepted.
	Allowed string `json:"allowed"`
}

// String names key, value and what is allowed, in one line.
func (p Problem) String() string {
	if p.Key == "" {
		return fmt.Sprintf("%q is not allowed: %s", p.Value, p.Allowed)
	}
	return fmt.Sprintf("%s: %q is not allowed: %s", p.Key, p.Value, p.Allowed)
}

// InvalidError carries all problems of refused settings.
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

// problemList keeps one problem a key, up to MaxProblems.
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

// concern reports whether there is a problem with a key or a key below it.
func (l *problemList) concern(key string) bool {
	for _, problem := range l.problems {
		if strings.HasPrefix(problem.Key, key) {
			return true
		}
	}
	return false
}

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
