package table

import (
	"errors"
	"math/big"
	"strconv"
	"strings"
	"time"
)

// sizeUnit is a suffix of a size in bytes.
type sizeUnit struct {
	suffix string
	bytes  int64
}

// sizeUnits is ordered so that FormatSize prefers binary units, and so that
// ParseSize tries "B", the suffix of all others, last.
var sizeUnits = []sizeUnit{
	{"TiB", 1 << 40},
	{"GiB", 1 << 30},
	{"MiB", 1 << 20},
	{"KiB", 1 << 10},
	{"TB", 1_000_000_000_000},
	{"GB", 1_000_000_000},
	{"MB", 1_000_000},
	{"kB", 1_000},
	{"B", 1},
}

var errSize = errors.New("not a size")

// maxSizeDigits is the largest length of a size without its unit.
const maxSizeDigits = 24

// ParseSize parses a size such as "14GiB", "1.5 GB" or "4096" and returns it in
// bytes. It fails if the size is negative, not a whole number of bytes or
// larger than an int64.
func ParseSize(text string) (int64, error) {
	number, unit := splitSize(strings.TrimSpace(text))
	if number == "" || len(number) > maxSizeDigits || strings.Trim(number, "0123456789.") != "" {
		return 0, errSize
	}
	value, ok := new(big.Rat).SetString(number)
	if !ok {
		return 0, errSize
	}
	value.Mul(value, new(big.Rat).SetInt64(unit))
	if !value.IsInt() || !value.Num().IsInt64() {
		return 0, errSize
	}
	return value.Num().Int64(), nil
}

func splitSize(text string) (number string, unit int64) {
	for _, candidate := range sizeUnits {
		if rest, found := cutSuffixFold(text, candidate.suffix); found {
			return strings.TrimSpace(rest), candidate.bytes
		}
	}
	return text, 1
}

func cutSuffixFold(text, suffix string) (string, bool) {
	cut := len(text) - len(suffix)
	if cut < 0 || !strings.EqualFold(text[cut:], suffix) {
		return text, false
	}
	return text[:cut], true
}

// FormatSize formats a size in bytes exactly, with the unit that gives the
// shortest text.
func FormatSize(bytes int64) string {
	shortest := strconv.FormatInt(bytes, 10) + "B"
	for _, unit := range sizeUnits {
		if bytes == 0 || bytes%unit.bytes != 0 {
			continue
		}
		text := strconv.FormatInt(bytes/unit.bytes, 10) + unit.suffix
		if len(text) < len(shortest) {
			shortest = text
		}
	}
	return shortest
}

// FormatDuration formats a duration without trailing zero units: "2m", not
// "2m0s".
func FormatDuration(duration time.Duration) string {
	text := duration.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
