package forward

import "github.com/hatchplank/hatchplank/internal/fleet"

// eventFields finds, among the fields of an event in their order, those that no encoder of events writes there.
type eventFields struct {
	format fleet.EventFormat
	// last is the name of the last field, empty before the first; comments are no fields.
	last string
	// hasName, hasRetry, hasData: the event has such a field.
	hasName, hasRetry, hasData bool
}

// check reports a field that is malformed, not declared, or out of place.
func (e *eventFields) check(field eventField) error {
	if err := field.check(); err != nil {
		return err
	}
	name := string(field.name)
	if name == "" {
		return nil
	}
	isOdd := e.isOdd(name, string(field.value))
	e.last = name
	if isOdd {
		return errMalformedEvent
	}
	return nil
}

// isOdd reports a second name or retry, data on lines that don't follow one another, a retry that is no number, a
// leading field that isn't the first or no number, and a field that isn't declared. Two IDs are another fault.
func (e *eventFields) isOdd(name, value string) (odd bool) {
	switch name {
	case "id":
	case "event":
		odd, e.hasName = e.hasName, true
	case "retry":
		odd, e.hasRetry = e.hasRetry || !isDecimal(value), true
	case "data":
		odd, e.hasData = e.hasData && e.last != "data", true
	case e.format.LeadingField:
		odd = e.last != "" || !isDecimal(value)
	default:
		odd = e.format.KnownFieldsOnly
	}
	return odd
}
