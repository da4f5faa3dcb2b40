package forward

// StreamFault is a kind of fault in a server's event stream.
type StreamFault string

// The kinds.
const (
	// FaultMalformed: bytes that are no event.
	FaultMalformed StreamFault = "malformed"
	// FaultNoStream: a success on a streaming route that is no event stream.
	FaultNoStream StreamFault = "no_stream"
	// FaultNoEvents: a complete stream from its beginning, without any event.
	FaultNoEvents StreamFault = "no_events"
	// FaultNoID: an event without an ID.
	FaultNoID StreamFault = "no_id"
	// FaultIDForm: an ID that is empty, set twice, or not of the form that is declared or that those before have.
	FaultIDForm StreamFault = "id_form"
	// FaultIDOrder: IDs that don't rise.
	FaultIDOrder StreamFault = "id_order"
	// FaultNotContinued: a response that doesn't follow the last event of the stream.
	FaultNotContinued StreamFault = "not_continued"
	// FaultSurplusResponse: the head of another response.
	FaultSurplusResponse StreamFault = "surplus_response"
	// FaultPartialEvent: a complete response that ends within an event.
	FaultPartialEvent StreamFault = "partial_event"
	// FaultTooLong: an event above the length limit.
	FaultTooLong StreamFault = "event_too_long"
)

// StreamError breaks a stream before an event that its server should not have sent.
type StreamError struct {
	Fault StreamFault
	text  string
}

// Error implements error.
func (e *StreamError) Error() string { return e.text }

// Errors that break a stream.
var (
	errNoStream       = &StreamError{FaultNoStream, "a success on a streaming route is no event stream"}
	errNoEvents       = &StreamError{FaultNoEvents, "the stream is complete without any event"}
	errMalformedEvent = &StreamError{FaultMalformed, "bytes that are no event follow within the stream"}
	errNoEventID      = &StreamError{FaultNoID, "an event of the stream has no ID"}
	errEventIDForm    = &StreamError{FaultIDForm, "the ID of an event is not of the form of the stream's IDs"}
	errEventOrder     = &StreamError{FaultIDOrder, "the IDs of the stream's events do not rise"}
	// errNotContinued: what a server sent does not follow the last event that was passed on.
	errNotContinued = &StreamError{FaultNotContinued, "the response does not continue the stream"}
	// errSurplusResponse: without a length or chunks, what a server sends after its response looks like a
	// part of it.
	errSurplusResponse = &StreamError{FaultSurplusResponse, "another response follows within the stream"}
	errPartialEvent    = &StreamError{FaultPartialEvent, "the response is complete but ends within an event"}
	errEventTooLong    = &StreamError{FaultTooLong, "stream event exceeds the length limit"}
)
