package forward

import "strings"

// minSamePrefix is the number of consecutive IDs with decimal numbers after the same prefix from which others
// are foreign. It exceeds the decimal digits that follow one another in hexadecimal numbers.
const minSamePrefix = 16

// isFormKnown reports whether all IDs are certain to be decimal numbers after the prefix of the last one, which
// the caller's ID alone doesn't show.
func (g *streamSegment) isFormKnown() bool {
	return (g.stream.passed || g.formConfirmed) && g.stream.hasCertainForm()
}

// hasCertainForm reports whether other IDs than decimal numbers after the prefix of the last one are foreign. A
// prefix with digits may be a number that rises, too.
func (s *eventStream) hasCertainForm() bool {
	prefix, number := cutNumber(s.last)
	if number == "" || strings.ContainsAny(prefix, "0123456789") {
		return false
	}
	return prefix == "" || s.samePrefix >= minSamePrefix
}

// differsFromCallersForm reports whether the ID of an event is not of the form of the caller's ID, and no server
// has sent one that is, where the form is not declared.
func (g *streamSegment) differsFromCallersForm(event streamEvent) bool {
	s := g.stream
	isCallers := s.last != "" && !s.passed && !g.formConfirmed && !s.format.DecimalIDs
	return isCallers && event.id != "" && s.hasCertainForm() && !hasSameForm(event.id, s.last)
}

// isHeldFormForeign reports whether the held event differs from the caller's form alone: the next event is of
// this form, or there is none.
func (g *streamSegment) isHeldFormForeign() bool {
	if len(g.held) == 0 || !g.stream.streaming || !g.differsFromCallersForm(g.held[0].event) {
		return false
	}
	next := g.held[len(g.held)-1].event
	return len(g.held) == 1 || hasSameForm(next.id, g.stream.last)
}

// followsForeignOpening reports whether an event shows that the first one, which was passed on, was foreign.
// Another server's IDs may be of another form.
func (g *streamSegment) followsForeignOpening(event streamEvent) bool {
	s := g.stream
	return g.hasIDs && s.last == s.first && changesToDecimal(s.last, event.id)
}

// hasSameForm reports whether two IDs are decimal numbers after the same prefix.
func hasSameForm(a, b string) bool {
	prefixA, numberA := cutNumber(a)
	prefixB, numberB := cutNumber(b)
	return prefixA == prefixB && numberA != "" && numberB != ""
}

func (s *eventStream) recordForm(id string) {
	if hasSameForm(id, s.last) {
		s.samePrefix++
	} else {
		s.samePrefix = 0
	}
}
