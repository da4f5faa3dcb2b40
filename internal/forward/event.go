package forward

import (
	"bytes"
	"cmp"
	"hash/maphash"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// byteOrderMark may precede the first event of a stream.
var byteOrderMark = []byte("\ufeff")

// streamEvent is what of a server-sent event matters for joining streams.
type streamEvent struct {
	// id is empty if the event has none.
	id string
	// hasContent: the event has an ID or data, so that it is more than a comment.
	hasContent, hasData bool
	// isComment: the event has only comments, a reconnection time and the name of a ping.
	isComment bool
	// fault is what is wrong with the event by itself; nil if it is well-formed.
	fault error
	// digest of the event's ID, type and data, which don't depend on its server.
	digest uint64
}

// parseEvent reads a complete event. Its error breaks streams of all kinds.
func parseEvent(block []byte, format fleet.EventFormat) (streamEvent, error) {
	event, fields := streamEvent{isComment: true}, eventFields{format: format}
	var digest maphash.Hash
	digest.SetSeed(digestSeed)
	block = bytes.TrimPrefix(block, byteOrderMark)
	if !utf8.Valid(block) {
		event.fault = errMalformedEvent
	}
	for len(block) > 0 {
		end := lineLength(block)
		line := block[:end]
		block = block[min(end+1, len(block)):]
		if bytes.HasPrefix(line, []byte("HTTP/1.")) {
			return streamEvent{}, errSurplusResponse
		}
		if len(line) > 0 {
			field := parseField(line)
			event.fault = cmp.Or(event.fault, fields.check(field))
			event.add(field, &digest)
		}
	}
	event.digest = digest.Sum64()
	return event, nil
}

// eventField is a line of an event.
type eventField struct {
	// name is empty for a comment.
	name, value []byte
	// hasColon: the line has a colon, so that it is a field also if its name is not known.
	hasColon bool
}

func parseField(line []byte) eventField {
	name, value, hasColon := bytes.Cut(line, []byte(":"))
	return eventField{name, bytes.TrimPrefix(value, []byte(" ")), hasColon}
}

// add adds a field to the event and, if it doesn't depend on the server, to its digest.
func (e *streamEvent) add(field eventField, digest *maphash.Hash) {
	switch string(field.name) {
	case "id":
		if e.id != "" || len(bytes.TrimSpace(field.value)) == 0 {
			e.fault = cmp.Or[error](e.fault, errEventIDForm)
		}
		e.id, e.hasContent = string(bytes.TrimSpace(field.value)), true
	case "data":
		e.hasContent, e.hasData = true, true
	case "event":
	default:
		e.isComment = e.isComment && field.isComment()
		return
	}
	e.isComment = e.isComment && field.isPing()
	_, _ = digest.Write(field.name)
	_ = digest.WriteByte(':')
	_, _ = digest.Write(field.value)
	_ = digest.WriteByte('\n')
}

// isComment reports whether the field is a comment or a reconnection time, which are no part of an event.
func (f eventField) isComment() bool {
	return len(f.name) == 0 || string(f.name) == "retry" && isDecimal(string(f.value))
}

// isPing reports whether the field names a ping. Clients dispatch no event without data, so that a ping alone is a
// comment to them.
func (f eventField) isPing() bool {
	return string(f.name) == "event" && string(f.value) == "ping"
}

// check reports a line that no encoder of events writes. Clients ignore fields that they don't know.
func (f eventField) check() error {
	switch string(f.name) {
	case "data":
		if bytes.IndexByte(f.value, 0) >= 0 {
			return errMalformedEvent
		}
		return nil
	case "id", "event", "retry", "":
	default:
		if !f.hasColon || !isToken(f.name) {
			return errMalformedEvent
		}
	}
	if bytes.ContainsFunc(f.value, func(char rune) bool { return unicode.IsControl(char) && char != '\t' }) {
		return errMalformedEvent
	}
	return nil
}

// isToken reports whether a name consists of the characters of a header field's name (RFC 9110, 5.6.2).
func isToken(name []byte) bool {
	for _, char := range name {
		isAlphanumeric := char >= '0' && char <= '9' || char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z'
		if !isAlphanumeric && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(char)) {
			return false
		}
	}
	return true
}

// lineLength is the length in bytes of the first line of data, without its end.
func lineLength(data []byte) int {
	for i, char := range data {
		if char == '\n' || char == '\r' {
			return i
		}
	}
	return len(data)
}

// digestSeed is of this process, in which all digests of a stream are made.
var digestSeed = maphash.MakeSeed()

// addDigest adds an event's digest to that of the events before it.
func addDigest(chain, digest uint64) uint64 {
	return maphash.Comparable(digestSeed, [2]uint64{chain, digest})
}

// compareEventIDs returns a negative number if the ID a comes before b, 0 if they are the same and a
// positive number otherwise. The order is certain for decimal numbers, also after a common prefix; that
// of other IDs is the most likely one.
func compareEventIDs(a, b string) (order int, certain bool) {
	if a == b {
		return 0, true
	}
	prefixA, numberA := cutNumber(a)
	prefixB, numberB := cutNumber(b)
	if prefixA == prefixB && numberA != "" && numberB != "" {
		return compareNumbers(numberA, numberB), true
	}
	if len(a) == len(b) {
		return cmp.Compare(a, b), false
	}
	if order := compareNumberParts(a, b); order != 0 {
		return order, false
	}
	return cmp.Compare(len(a), len(b)), false
}

// cutNumber cuts the decimal number at the end of an ID off.
func cutNumber(id string) (prefix, number string) {
	begin := len(id)
	for begin > 0 && id[begin-1] >= '0' && id[begin-1] <= '9' {
		begin--
	}
	return id[:begin], id[begin:]
}

// isDecimal reports whether an ID is a decimal number without a prefix.
func isDecimal(id string) bool {
	prefix, number := cutNumber(id)
	return prefix == "" && number != ""
}

// changesToDecimal reports whether a decimal number follows an ID that is none. Both may be hexadecimal: 10 follows f.
func changesToDecimal(id, next string) bool {
	if isDecimal(id) || !isDecimal(next) {
		return false
	}
	isOther := func(char rune) bool { return !strings.ContainsRune("0123456789abcdef", char) }
	id = strings.ToLower(id)
	return strings.ContainsFunc(id, isOther) || compareNumbers(id, next) >= 0
}

func compareNumbers(a, b string) int {
	a, b = strings.TrimLeft(a, "0"), strings.TrimLeft(b, "0")
	return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b))
}

// compareNumberParts compares IDs that consist of several numbers with the same characters between them,
// such as a time and a sequence number; 0 if they don't.
func compareNumberParts(a, b string) int {
	isDigit := func(char rune) bool { return char >= '0' && char <= '9' }
	isOther := func(char rune) bool { return !isDigit(char) }
	if strings.Join(strings.FieldsFunc(a, isDigit), " ") != strings.Join(strings.FieldsFunc(b, isDigit), " ") {
		return 0
	}
	partsA, partsB := strings.FieldsFunc(a, isOther), strings.FieldsFunc(b, isOther)
	for i := range min(len(partsA), len(partsB)) {
		if order := compareNumbers(partsA[i], partsB[i]); order != 0 {
			return order
		}
	}
	return 0
}

// eventStep is the difference of the decimal numbers of two IDs, the second of which comes later; 0 if it is
// not known.
func eventStep(from, to string) uint64 {
	prefixFrom, numberFrom := cutNumber(from)
	prefixTo, numberTo := cutNumber(to)
	before, err := strconv.ParseUint(numberFrom, 10, 64)
	after, alsoErr := strconv.ParseUint(numberTo, 10, 64)
	if err != nil || alsoErr != nil || prefixFrom != prefixTo || after < before {
		return 0
	}
	return after - before
}
