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

const validCSVRow = "m,model,,1,16GiB,attica,5,10,0,4,40GiB,30s,true\n"

var _ = Describe("codecs", func() {
	It("decode what they encode to the same rows", func() {
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
					t.Fatalf("%s: decoded %v, encoded %v", format, document.Rows, rows)
				}
			}
		})
	})

	DescribeTable("report the column and value of malformed input",
		func(format table.Format, text, column, value string) {
			_, problems := table.Decode(format, []byte(text))
			Expect(problems).To(HaveLen(1))
			Expect(problems[0].Column).To(Equal(column))
			Expect(problems[0].Value).To(ContainSubstring(value))
			Expect(problems[0].Allowed).NotTo(BeEmpty())
		},
		Entry("size", table.FormatCSV, csvHeader+strings.Replace(validCSVRow, "16GiB", "16 gigs", 1), "weights", "16 gigs"),
		Entry("duration", table.FormatCSV, csvHeader+strings.Replace(validCSVRow, "30s", "30", 1), "time_limit", "30"),
		Entry("integer", table.FormatCSV, csvHeader+strings.Replace(validCSVRow, ",5,", ",5.5,", 1), "priority", "5.5"),
		Entry("boolean", table.FormatCSV, csvHeader+strings.Replace(validCSVRow, "true", "perhaps", 1), "repeatable", "perhaps"),
		Entry("empty required cell", table.FormatCSV, csvHeader+strings.Replace(validCSVRow, "model", "", 1), "kind", ""),
		Entry("surplus field", table.FormatCSV, csvHeader+strings.Replace(validCSVRow, "true", "true,extra", 1), "", "extra"),
		Entry("unknown column in CSV", table.FormatCSV, "color,"+csvHeader+"red,"+validCSVRow, "color", "red"),
		Entry("repeated column in CSV", table.FormatCSV, "name,"+csvHeader+"m,"+validCSVRow, "name", "m"),
		Entry("stray quote in CSV", table.FormatCSV, csvHeader+"\"m\"x"+validCSVRow[1:], "", "quote"),
		Entry("malformed YAML", table.FormatYAML, "rows: [", "", "yaml"),
		Entry("YAML that is not a mapping", table.FormatYAML, "- 1", "", "another document"),
		Entry("unknown key in YAML", table.FormatYAML, "rows: []\nowner: me", "", "owner"),
		Entry("rows that are not a list", table.FormatYAML, "rows: 3", "rows", "3"),
		Entry("row that is not a mapping", table.FormatYAML, "rows: [5]", "", "5"),
		Entry("negative revision", table.FormatYAML, "revision: -1\nrows: []", "revision", "-1"),
		Entry("malformed JSON", table.FormatJSON, "{", "", "unexpected"),
		Entry("unknown key in JSON", table.FormatJSON, `{"rows":[],"owner":1}`, "", "owner"),
		Entry("data after the JSON value", table.FormatJSON, `{"rows":[]} x`, "", "more"),
		Entry("row that is not an object in JSON", table.FormatJSON, `{"rows":[3]}`, "", "object"),
		Entry("unknown format", table.Format("xml"), "<a/>", "", "xml"),
	)

	It("reports a repeated member of a JSON object", func() {
		_, problems := table.Decode(table.FormatJSON, []byte(`{"rows":[{"name":"a","name":"b"}]}`))
		Expect(problems).To(ContainElement(HaveField("Allowed", "each column once a row")))
	})

	It("lists 100 problems of a file with their lines", func() {
		text := csvHeader
		for index := range 100 {
			text += strings.Replace(validCSVRow, "m,model,,1,16GiB", fmt.Sprintf("m%d,model,,1,?", index), 1)
		}
		_, problems := table.DecodeValid(table.FormatCSV, []byte(text), table.Constraints{})
		Expect(problems).To(HaveLen(100))
		Expect(problems[99]).To(SatisfyAll(HaveField("Line", 101), HaveField("Row", "m99"), HaveField("Column", "weights")))
	})

	It("lists problems of parsing and of validation together", func() {
		text := csvHeader + strings.Replace(validCSVRow, "16GiB", "?", 1) +
			strings.Replace(validCSVRow, "m,model,,1,16GiB,attica,5", "n,model,,1,16GiB,attica,12", 1)
		_, problems := table.DecodeValid(table.FormatCSV, []byte(text), table.Constraints{})
		Expect(problems).To(HaveLen(2))
		Expect(problems[1]).To(SatisfyAll(HaveField("Line", 3), HaveField("Row", "n"), HaveField("Column", "priority")))
	})

	It("limits the number of problems, the input size and the number of rows", func() {
		_, problems := table.Decode(table.FormatCSV, []byte(csvHeader+strings.Repeat("x\n", 5000)))
		Expect(problems).To(HaveLen(table.MaxProblems))
		_, problems = table.Decode(table.FormatCSV, make([]byte, table.MaxInputBytes+1))
		Expect(problems).To(HaveLen(1))
		_, problems = table.Decode(table.FormatCSV, []byte(csvHeader+strings.Repeat(validCSVRow, table.MaxRows+1)))
		Expect(problems).To(ConsistOf(HaveField("Allowed", ContainSubstring("at most 20000 rows"))))
	})

	It("reads CSV with a byte order mark, semicolons, blank records and CRLF, as spreadsheets write it", func() {
		text := "\xef\xbb\xbf" + strings.ReplaceAll(csvHeader+strings.Replace(validCSVRow, "true", "TRUE", 1), ",", ";") + ";;;\r\n"
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

var _ = DescribeTable("ParseSize", func(text string, bytes int64, valid bool) {
	size, err := table.ParseSize(text)
	Expect(err == nil).To(Equal(valid))
	Expect(size).To(Equal(bytes))
},
	Entry("binary", "14GiB", int64(14)<<30, true),
	Entry("decimal with space", "400 MB", int64(400_000_000), true),
	Entry("fraction", "1.5GiB", int64(3)<<29, true),
	Entry("plain", "4096", int64(4096), true),
	Entry("lower case", "1kib", int64(1024), true),
	Entry("fraction of a byte", "0.3B", int64(0), false),
	Entry("negative", "-1GiB", int64(0), false),
	Entry("exponent", "1e9", int64(0), false),
	Entry("too large", "99999999TiB", int64(0), false),
	Entry("empty", "", int64(0), false),
)

// fuzzFormat checks that input that decodes without problems can be encoded and
// decoded again to the same rows.
func fuzzFormat(f *testing.F, format table.Format) {
	text, _ := table.Encode(format, 3, []table.Row{model("m"), adapter("a", "m")})
	f.Add(text)
	f.Add([]byte("rows: [{name: x}, {name: *y}]"))
	f.Add([]byte(csvHeader + validCSVRow))
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
			t.Fatalf("decoded %v, then %v: %v", document.Rows, second.Rows, problems)
		}
	})
}

func FuzzDecodeYAML(f *testing.F) { fuzzFormat(f, table.FormatYAML) }

func FuzzDecodeCSV(f *testing.F) { fuzzFormat(f, table.FormatCSV) }

func FuzzDecodeJSON(f *testing.F) { fuzzFormat(f, table.FormatJSON) }
