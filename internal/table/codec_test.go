package table_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hatchplank/hatchplank/internal/table"
)

var formats = []table.Format{table.FormatYAML, table.FormatCSV, table.FormatJSON}

const csvHeader = "name,kind,base,version,weights,tenant,priority,weight,min_replicas,max_replicas,memory,time_limit,repeatable\n"

const soundCSVRow = "m,model,,1,16GiB,attica,5,10,0,4,40GiB,30s,true\n"

var _ = Describe("codecs", func() {
	It("read what they write", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			rows := drawRows(t, "rows")
			for _, format := range formats {
				text, err := table.Encode(format, 7, rows)
				if err != nil {
					t.Fatalf("%s: %v", format, err)
				}
				document, problems := table.DecodeValid(format, text, table.Constraints{})
				if len(problems) > 0 {
					t.Fatalf("%s: %v", format, problems)
				}
				if format != table.FormatCSV && document.Revision != 7 {
					t.Fatalf("%s: revision %d", format, document.Revision)
				}
				if fmt.Sprint(document.Rows) != fmt.Sprint(rows) {
					t.Fatalf("%s: read %v, wrote %v", format, document.Rows, rows)
				}
			}
		})
	})

	DescribeTable("refuse a bad cell and name it",
		func(format table.Format, text, column, value string) {
			_, problems := table.Decode(format, []byte(text))
			Expect(problems).To(HaveLen(1))
			Expect(problems[0].Column).To(Equal(column))
			Expect(problems[0].Value).To(ContainSubstring(value))
			Expect(problems[0].Allowed).NotTo(BeEmpty())
		},
		Entry("size", table.FormatCSV, csvHeader+strings.Replace(soundCSVRow, "16GiB", "16 gigs", 1), "weights", "16 gigs"),
		Entry("duration", table.FormatCSV, csvHeader+strings.Replace(soundCSVRow, "30s", "30", 1), "time_limit", "30"),
		Entry("integer", table.FormatCSV, csvHeader+strings.Replace(soundCSVRow, ",5,", ",5.5,", 1), "priority", "5.5"),
		Entry("boolean", table.FormatCSV, csvHeader+strings.Replace(soundCSVRow, "true", "perhaps", 1), "repeatable", "perhaps"),
		Entry("empty required cell", table.FormatCSV, csvHeader+strings.Replace(soundCSVRow, "model", "", 1), "kind", ""),
		Entry("field too many", table.FormatCSV, csvHeader+strings.Replace(soundCSVRow, "true", "true,extra", 1), "", "extra"),
		Entry("unknown column in CSV", table.FormatCSV, "color,"+csvHeader+"red,"+soundCSVRow, "color", "red"),
		Entry("column twice in CSV", table.FormatCSV, "name,"+csvHeader+"m,"+soundCSVRow, "name", "m"),
		Entry("stray quote in CSV", table.FormatCSV, csvHeader+"\"m\"x"+soundCSVRow[1:], "", "quote"),
		Entry("broken YAML", table.FormatYAML, "rows: [", "", "yaml"),
		Entry("YAML of another shape", table.FormatYAML, "- 1", "", "another document"),
		Entry("unknown key in YAML", table.FormatYAML, "rows: []\nowner: me", "", "owner"),
		Entry("rows no list", table.FormatYAML, "rows: 3", "rows", "3"),
		Entry("row no mapping", table.FormatYAML, "rows: [5]", "", "5"),
		Entry("negative revision", table.FormatYAML, "revision: -1\nrows: []", "revision", "-1"),
		Entry("broken JSON", table.FormatJSON, "{", "", "unexpected"),
		Entry("unknown key in JSON", table.FormatJSON, `{"rows":[],"owner":1}`, "", "owner"),
		Entry("more after the JSON", table.FormatJSON, `{"rows":[]} x`, "", "more"),
		Entry("row no object in JSON", table.FormatJSON, `{"rows":[3]}`, "", "object"),
		Entry("unknown format", table.Format("xml"), "<a/>", "", "xml"),
	)

	It("reports a repeated member of a JSON object", func() {
		_, problems := table.Decode(table.FormatJSON, []byte(`{"rows":[{"name":"a","name":"b"}]}`))
		Expect(problems).To(ContainElement(HaveField("Allowed", "each column once a row")))
	})

	It("lists a hundred mistakes of a file with their lines", func() {
		text := csvHeader
		for index := range 100 {
			text += strings.Replace(soundCSVRow, "m,model,,1,16GiB", fmt.Sprintf("m%d,model,,1,?", index), 1)
		}
		_, problems := table.DecodeValid(table.FormatCSV, []byte(text), table.Constraints{})
		Expect(problems).To(HaveLen(100))
		Expect(problems[99]).To(SatisfyAll(HaveField("Line", 101), HaveField("Row", "m99"), HaveField("Column", "weights")))
	})

	It("lists breaches of form and of rules together", func() {
		text := csvHeader + strings.Replace(soundCSVRow, "16GiB", "?", 1) +
			strings.Replace(soundCSVRow, "m,model,,1,16GiB,attica,5", "n,model,,1,16GiB,attica,12", 1)
		_, problems := table.DecodeValid(table.FormatCSV, []byte(text), table.Constraints{})
		Expect(problems).To(HaveLen(2))
		Expect(problems[1]).To(SatisfyAll(HaveField("Line", 3), HaveField("Row", "n"), HaveField("Column", "priority")))
	})

	It("bounds the problems listed and the input read", func() {
		_, problems := table.Decode(table.FormatCSV, []byte(csvHeader+strings.Repeat("x\n", 5000)))
		Expect(problems).To(HaveLen(table.MaxProblems))
		_, problems = table.Decode(table.FormatCSV, make([]byte, table.MaxInputBytes+1))
		Expect(problems).To(HaveLen(1))
		_, problems = table.Decode(table.FormatCSV, []byte(csvHeader+strings.Repeat(soundCSVRow, table.MaxRows+1)))
		Expect(problems).To(ConsistOf(HaveField("Allowed", ContainSubstring("at most 20000 rows"))))
	})

	It("reads what spreadsheets write", func() {
		text := "\xef\xbb\xbf" + strings.ReplaceAll(csvHeader+strings.Replace(soundCSVRow, "true", "TRUE", 1), ",", ";") + ";;;\r\n"
		document, problems := table.Decode(table.FormatCSV, []byte(text))
		Expect(problems).To(BeEmpty())
		Expect(document.Rows).To(HaveLen(1))
		Expect(document.Rows[0].Repeatable).To(BeTrue())
	})
})

var _ = It("documents each column", func() {
	document, err := os.ReadFile("../../docs/operators/table.md")
	Expect(err).NotTo(HaveOccurred())
	for _, column := range table.ColumnNames() {
		Expect(string(document)).To(ContainSubstring("\n| `" + column + "` |"))
	}
})

var _ = DescribeTable("ParseSize", func(text string, bytes int64, sound bool) {
	size, err := table.ParseSize(text)
	Expect(err == nil).To(Equal(sound))
	Expect(size).To(Equal(bytes))
},
	Entry("binary", "14GiB", int64(14)<<30, true),
	Entry("decimal with space", "400 MB", int64(400_000_000), true),
	Entry("fraction", "1.5GiB", int64(3)<<29, true),
	Entry("plain", "4096", int64(4096), true),
	Entry("lower case", "1kib", int64(1024), true),
	Entry("part of a byte", "0.3B", int64(0), false),
	Entry("negative", "-1GiB", int64(0), false),
	Entry("exponent", "1e9", int64(0), false),
	Entry("too large", "99999999TiB", int64(0), false),
	Entry("empty", "", int64(0), false),
)

// fuzzFormat checks that whatever is read without problems can be written and
// read again to the same rows.
func fuzzFormat(f *testing.F, format table.Format) {
	text, _ := table.Encode(format, 3, []table.Row{model("m"), adapter("a", "m")})
	f.Add(text)
	f.Add([]byte("rows: [{name: x}, {name: *y}]"))
	f.Add([]byte(csvHeader + soundCSVRow))
	f.Fuzz(func(t *testing.T, data []byte) {
		document, problems := table.DecodeValid(format, data, table.Constraints{})
		if len(problems) > table.MaxProblems {
			t.Fatalf("%d problems", len(problems))
		}
		if len(problems) > 0 {
			return
		}
		again, err := table.Encode(format, document.Revision, document.Rows)
		if err != nil {
			t.Fatal(err)
		}
		second, problems := table.DecodeValid(format, again, table.Constraints{})
		if len(problems) > 0 || fmt.Sprint(second.Rows) != fmt.Sprint(document.Rows) {
			t.Fatalf("read %v, then %v: %v", document.Rows, second.Rows, problems)
		}
	})
}

func FuzzDecodeYAML(f *testing.F) { fuzzFormat(f, table.FormatYAML) }

func FuzzDecodeCSV(f *testing.F) { fuzzFormat(f, table.FormatCSV) }

func FuzzDecodeJSON(f *testing.F) { fuzzFormat(f, table.FormatJSON) }
