package command

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/spf13/cobra"
)

// repositoryRoot is the root of the repository, seen from this package.
const repositoryRoot = "../.."

var (
	fencePattern      = regexp.MustCompile("(?ms)^```[^\n]*\n(.*?)^```")
	shellFencePattern = regexp.MustCompile("(?ms)^```sh\n(.*?)^```")
	indentedPattern   = regexp.MustCompile(`(?m)^    (.*)$`)
	inlinePattern     = regexp.MustCompile("`([^`\n]+)`")
	linkPattern       = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	headingPattern    = regexp.MustCompile(`(?m)^#+ (.+)$`)
	separatorPattern  = regexp.MustCompile(`\||;|&&|\n`)
	redirectPattern   = regexp.MustCompile(`^([0-9]?>|<|&|#)`)
	sourcePathPattern = regexp.MustCompile("`(internal/[^`\\s]+)`")
	identifierPattern = regexp.MustCompile("`([a-z]+)\\.([A-Z][A-Za-z]*)((?:\\.[A-Z][A-Za-z]*)?)(?:, | )?[^`]*`")
)

// pages returns the text of every page of the repository by its path.
func pages() map[string]string {
	found := map[string]string{}
	err := filepath.WalkDir(repositoryRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && path != repositoryRoot && strings.HasPrefix(entry.Name(), ".") {
			return filepath.SkipDir
		}
		if !entry.IsDir() && strings.HasSuffix(path, ".md") {
			content, err := os.ReadFile(path)
			found[path] = string(content)
			return err
		}
		return nil
	})
	Expect(err).NotTo(HaveOccurred())
	Expect(found).To(HaveKey(filepath.Join(repositoryRoot, "README.md")))
	return found
}

// shellText returns what a page shows as commands: its shell blocks, indented
// blocks and code within lines.
func shellText(page string) string {
	var text strings.Builder
	for _, block := range shellFencePattern.FindAllStringSubmatch(page, -1) {
		text.WriteString(block[1])
	}
	prose := fencePattern.ReplaceAllString(page, "")
	for _, pattern := range []*regexp.Regexp{indentedPattern, inlinePattern} {
		for _, match := range pattern.FindAllStringSubmatch(prose, -1) {
			text.WriteString(match[1] + "\n")
		}
	}
	return text.String()
}

// invocations returns the arguments of each call of the program in a shell text.
func invocations(text string) [][]string {
	var calls [][]string
	text = strings.ReplaceAll(text, "\\\n", " ")
	for _, statement := range separatorPattern.Split(text, -1) {
		words := strings.Fields(statement)
		if len(words) == 0 || words[0] != "hatchplank" {
			continue
		}
		var arguments []string
		for _, word := range words[1:] {
			if redirectPattern.MatchString(word) {
				break
			}
			arguments = append(arguments, strings.Trim(word, `"'`))
		}
		calls = append(calls, arguments)
	}
	return calls
}

// checkInvocation returns what is wrong with a call of the program.
func checkInvocation(arguments []string) error {
	command, rest, err := newRoot().Find(arguments)
	if err != nil {
		return err
	}
	command.InitDefaultHelpFlag()
	if err := command.ParseFlags(rest); err != nil {
		return err
	}
	if positional := command.Flags().Args(); !command.Runnable() && len(positional) > 0 {
		return fmt.Errorf("%s has no command %q", command.CommandPath(), positional[0])
	}
	if command.Flags().NFlag() == 0 && command.Flags().NArg() == 0 {
		return nil // only named, not called
	}
	return command.ValidateArgs(command.Flags().Args())
}

func checkInvocations(source, text string) (count int) {
	for _, arguments := range invocations(text) {
		Expect(checkInvocation(arguments)).To(Succeed(), "%s: hatchplank %s", source, strings.Join(arguments, " "))
		count++
	}
	return count
}

// anchors returns the anchors of a page's headings.
func anchors(page string) []string {
	var found []string
	for _, heading := range headingPattern.FindAllStringSubmatch(fencePattern.ReplaceAllString(page, ""), -1) {
		kept := strings.Map(func(r rune) rune {
			switch {
			case r == ' ':
				return '-'
			case r == '-' || r == '_' || r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r > 127:
				return r
			}
			return -1
		}, strings.ToLower(heading[1]))
		found = append(found, kept)
	}
	return found
}

// declaredIn reports whether a package of the name has the word in its source.
func declaredIn(packageName, word string) bool {
	found := false
	pattern := regexp.MustCompile(`(?m)^(type |func |const |var |func \([^)]*\) |\t)` + word + `\b`)
	err := filepath.WalkDir(filepath.Join(repositoryRoot, "internal"), func(path string, entry fs.DirEntry, err error) error {
		if err != nil || found || entry.IsDir() {
			return err
		}
		if filepath.Base(filepath.Dir(path)) == packageName && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			content, err := os.ReadFile(path)
			found = pattern.Match(content)
			return err
		}
		return nil
	})
	Expect(err).NotTo(HaveOccurred())
	return found
}

func walkCommands(command *cobra.Command, visit func(*cobra.Command)) {
	visit(command)
	for _, child := range command.Commands() {
		walkCommands(child, visit)
	}
}

var _ = Describe("pages", func() {
	It("show only commands and flags that exist", func() {
		count := 0
		for path, page := range pages() {
			count += checkInvocations(path, shellText(page))
		}
		Expect(count).To(BeNumerically(">", 20))
	})

	It("are not alone: the help's examples are calls that exist", func() {
		walkCommands(newRoot(), func(command *cobra.Command) {
			checkInvocations(command.CommandPath()+" --help", command.Example)
		})
	})

	DescribeTable("would show a call that doesn't exist", func(call string) {
		Expect(invocations(call)).To(HaveLen(1))
		Expect(checkInvocation(invocations(call)[0])).NotTo(Succeed())
	},
		Entry("unknown command", "hatchplank place --model m"),
		Entry("unknown subcommand", "hatchplank table put table.csv"),
		Entry("unknown subcommand of a group without action", "hatchplank standin disk"),
		Entry("unknown flag", "hatchplank status --colour red"),
		Entry("malformed value", "hatchplank drain --wait soon"),
		Entry("too many arguments", "hatchplank table apply \\\n one.csv two.csv > out.txt"),
	)

	It("link only to files and headings that exist", func() {
		for path, page := range pages() {
			for _, link := range linkPattern.FindAllStringSubmatch(fencePattern.ReplaceAllString(page, ""), -1) {
				target, anchor, _ := strings.Cut(link[1], "#")
				if strings.Contains(target, "://") {
					continue
				}
				content := page
				if target != "" {
					linked, err := os.ReadFile(filepath.Join(filepath.Dir(path), target))
					Expect(err).NotTo(HaveOccurred(), "%s links to %s", path, link[1])
					content = string(linked)
				}
				if anchor != "" {
					Expect(anchors(content)).To(ContainElement(anchor), "%s links to %s", path, link[1])
				}
			}
		}
	})

	It("name only source files that exist", func() {
		for path, page := range pages() {
			for _, name := range sourcePathPattern.FindAllStringSubmatch(page, -1) {
				matches, err := filepath.Glob(filepath.Join(repositoryRoot, name[1]))
				Expect(err).NotTo(HaveOccurred())
				Expect(matches).NotTo(BeEmpty(), "%s names %s", path, name[1])
			}
		}
	})

	It("name only identifiers that exist, in the glossary", func() {
		glossary := pages()[filepath.Join(repositoryRoot, "docs", "glossary.md")]
		names := identifierPattern.FindAllStringSubmatch(glossary, -1)
		Expect(len(names)).To(BeNumerically(">", 30))
		for _, name := range names {
			Expect(declaredIn(name[1], name[2])).To(BeTrue(), "%s.%s", name[1], name[2])
			if member := strings.TrimPrefix(name[3], "."); member != "" {
				Expect(declaredIn(name[1], member)).To(BeTrue(), "%s.%s.%s", name[1], name[2], member)
			}
		}
	})
})
