package exchange

// AnomalyKind is a way in which what a server sent departs from one response for each request.
type AnomalyKind string

// The kinds of anomalies.
const (
	// AnomalyForeignResponse: the response belongs to another request, and is skipped.
	AnomalyForeignResponse AnomalyKind = "foreign_response"
	// AnomalyUnrequestedData: data arrived on an idle connection, which is closed.
	AnomalyUnrequestedData AnomalyKind = "unrequested_data"
	// AnomalyMalformedResponse: the data that arrived is no HTTP response.
	AnomalyMalformedResponse AnomalyKind = "malformed_response"
	// AnomalyHeadTooLong: the head of the response, or data that is none, exceeds maxHeadBytes.
	AnomalyHeadTooLong AnomalyKind = "head_too_long"
	// AnomalyTooManyInterim: more than maxInterimResponses interim responses came before a final one.
	AnomalyTooManyInterim AnomalyKind = "too_many_interim"
	// AnomalyBodyTooLong: the body of the response exceeds the limit of its reader.
	AnomalyBodyTooLong AnomalyKind = "body_too_long"
)

// Anomaly describes an anomaly for logs and metrics.
type Anomaly struct {
	Kind    AnomalyKind
	Address string
	// Connection is the number of the connection within its client, and Exchange the number of the
	// exchange on it, both from 1.
	Connection uint64
	Exchange   int
	// Identity of the request that waits for a response; empty if it has none, or if none waits.
	Identity string
	// Earlier are the identities of the last requests before it on the connection, the newest last.
	Earlier []string
	// Status of the response; 0 if there is none.
	Status int
	// Cause is the error that was found; nil if there is none.
	Cause error
}

// maxEarlier is how many identities of earlier requests an anomaly names.
const maxEarlier = 4

// report passes an anomaly of a connection to the client's callback.
func (c *Client) report(conn *connection, kind AnomalyKind, identity string, status int, cause error) {
	if c.OnAnomaly == nil {
		return
	}
	c.OnAnomaly(Anomaly{
		Kind: kind, Address: conn.route.address, Connection: conn.number, Exchange: conn.exchanges,
		Identity: identity, Earlier: conn.earlier, Status: status, Cause: cause,
	})
}
