package result_test

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/hatchplank/hatchplank/internal/result"
)

const codesPage = "../../docs/result-codes.md"

// TestCodesPage checks that the page has exactly the lines that the code gives.
func TestCodesPage(t *testing.T) {
	page, err := os.ReadFile(codesPage)
	if err != nil {
		t.Fatal(err)
	}
	var documented []string
	for _, line := range strings.Split(string(page), "\n") {
		if regexp.MustCompile(`^\| \d`).MatchString(line) {
			documented = append(documented, line)
		}
	}
	var expected []string
	for _, info := range result.Infos {
		expected = append(expected, fmt.Sprintf("| %d | `%s` | %d | %s | %s |", info.Code, info.Name, info.Status, info.Meaning, info.Action))
	}
	if got, want := strings.Join(documented, "\n"), strings.Join(expected, "\n"); got != want {
		t.Errorf("%s differs from the code; its lines should be:\n%s", codesPage, want)
	}
}

// TestCodesListed checks that every constant of code.go is described, once, in
// ascending order.
func TestCodesListed(t *testing.T) {
	source, err := os.ReadFile("code.go")
	if err != nil {
		t.Fatal(err)
	}
	declared := regexp.MustCompile(`(?m)^\t\w+ +Code = (\d+)$`).FindAllStringSubmatch(string(source), -1)
	if len(declared) != len(result.Infos) {
		t.Errorf("%d codes are declared and %d described", len(declared), len(result.Infos))
	}
	names := map[string]bool{}
	for position, info := range result.Infos {
		if position > 0 && info.Code <= result.Infos[position-1].Code {
			t.Errorf("%d is out of order", info.Code)
		}
		if names[info.Name] {
			t.Errorf("the name %s is used twice", info.Name)
		}
		names[info.Name] = true
	}
	for _, match := range declared {
		var code int
		if _, err := fmt.Sscan(match[1], &code); err != nil || result.Code(code).Name() == "unlisted" {
			t.Errorf("code %s is not described", match[1])
		}
	}
}
