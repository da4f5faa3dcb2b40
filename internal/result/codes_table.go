package result

import "net/http"

// Infos lists every code in ascending order.
var Infos = []Info{
	{OK, "ok", http.StatusOK, "The request was served.", "None."},

	{MalformedRequest, "malformed_request", http.StatusBadRequest, "The body or a header could not be read.", "Correct the request."},
	{BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, "The body exceeds the configured limit.", "Send a smaller body."},
	{UnknownModel, "unknown_model", http.StatusNotFound, "No row of the table has this name for this tenant.", "Check the name."},
	{Forbidden, "forbidden", http.StatusForbidden, "The token does not allow this call.", "Use a token of the right tenant and role."},
	{BadDeadline, "bad_deadline", http.StatusBadRequest, "The time limit is not a positive duration within the row's limit.", "Correct the time limit."},
	{Unauthenticated, "unauthenticated", http.StatusUnauthorized, "The bearer token is missing or unknown.", "Send a valid token."},
	{KeyRequired, "key_required", http.StatusBadRequest, "A non-repeatable request needs an idempotency key.", "Send an Idempotency-Key header."},
	{KeyConflict, "key_conflict", http.StatusConflict, "The idempotency key was used with another body.", "Use a new key for a new request."},
	{HeadersTooLarge, "headers_too_large", http.StatusRequestHeaderFieldsTooLarge, "The headers exceed the limit.", "Send smaller headers."},
	{Unsupported, "unsupported", http.StatusNotImplemented, "The request asks for something that is not offered.", "Leave the option out."},
	{CallerGone, "caller_gone", 499, "The caller closed the connection; its work was cancelled.", "None."},
	{UnknownPool, "unknown_pool", http.StatusNotFound, "No back-end pool has this name.", "Check the pool's name."},
	{BadPriority, "bad_priority", http.StatusBadRequest, "The priority is not a whole number from 0 to 9.", "Correct the priority."},
	{CallerTooSlow, "caller_too_slow", 499, "The caller read its stream too slowly and was cut off.", "Read faster or ask for less."},
	{KeyExpired, "key_expired", http.StatusConflict, "The idempotency key is older than the claims are kept.", "Use a new key after checking the outcome."},
	{UnknownPath, "unknown_path", http.StatusNotFound, "There is no such path.", "Check the path."},
	{RequestPoisonous, "request_poisonous", http.StatusServiceUnavailable, "Several servers ended while they ran this request, so it is not run for a while.", "Don't repeat it; change it, or ask the operator."},

	{DeadlineUnreachable, "deadline_unreachable", http.StatusServiceUnavailable, "The measured load shows that the deadline cannot be met.", "Try again after Retry-After."},
	{DeadlinePassed, "deadline_passed", http.StatusGatewayTimeout, "The deadline came before the answer.", "Try again with a longer limit."},
	{QueueFull, "queue_full", http.StatusTooManyRequests, "The queue of the model is full.", "Try again after Retry-After."},
	{OverShare, "over_share", http.StatusTooManyRequests, "The tenant has used its share while others wait.", "Try again after Retry-After."},
	{ModelDisabled, "model_disabled", http.StatusServiceUnavailable, "The row allows no replica.", "Ask the operator."},
	{NodeDraining, "node_draining", http.StatusServiceUnavailable, "This node is being stopped and takes no new work.", "Use another node."},
	{NoBackEnd, "no_back_end", http.StatusServiceUnavailable, "No back end of the pool can take the request.", "Try again after Retry-After."},
	{RetryBudgetSpent, "retry_budget_spent", http.StatusServiceUnavailable, "The attempt failed and the budget for retries is spent.", "Try again after Retry-After."},
	{Displaced, "displaced", http.StatusServiceUnavailable, "A waiting request gave way to one of higher priority.", "Try again after Retry-After."},
	{NodeNotReady, "node_not_ready", http.StatusServiceUnavailable, "This node has just started and does not know the table and the servers yet.", "Use another node, or try again after Retry-After."},
	{OverQuota, "over_quota", http.StatusTooManyRequests, "The tenant asks for more than its limit over all nodes.", "Send less, or try again after Retry-After."},
	{BackEndUnreachable, "back_end_unreachable", http.StatusServiceUnavailable, "This node reaches no server that holds the model, by itself or through other nodes.", "Use another node, or try again after Retry-After."},

	{OutcomeUnknown, "outcome_unknown", http.StatusBadGateway, "The request may or may not have run.", "Check the outcome; repeat only with the same key."},
	{StreamBroken, "stream_broken", http.StatusBadGateway, "The stream ended before the answer was complete.", "Repeat the request."},
	{BackEndFailed, "back_end_failed", http.StatusBadGateway, "The back end reported a failure.", "Repeat if the request is repeatable."},
	{ClaimUnavailable, "claim_unavailable", http.StatusServiceUnavailable, "The claim on the key could not be made in time; the request was not sent.", "Repeat with the same key."},
	{AlreadyClaimed, "already_claimed", http.StatusConflict, "Another attempt holds the key and its outcome is not recorded.", "Ask again with the same key."},
	{BackEndRefused, "back_end_refused", http.StatusServiceUnavailable, "Every back end tried refused the request without running it.", "Try again after Retry-After."},

	{RevisionConflict, "revision_conflict", http.StatusPreconditionFailed, "The table changed since the revision named.", "Read, merge and apply again."},
	{InvalidTable, "invalid_table", http.StatusUnprocessableEntity, "The table breaks a rule; every breach is listed.", "Correct the rows named."},
	{StoreUnavailable, "store_unavailable", http.StatusServiceUnavailable, "The key-value service does not answer; nothing was changed.", "Try again later."},
	{WriteAmbiguous, "write_ambiguous", http.StatusGatewayTimeout, "The write may have taken effect; it could not be read back yet.", "Read the history before repeating."},
	{NotFound, "not_found", http.StatusNotFound, "There is no such thing.", "Check the name."},
	{PreconditionMissing, "precondition_missing", http.StatusPreconditionRequired, "A write needs If-Match with the revision it is based on.", "Send If-Match."},
	{InvalidSettings, "invalid_settings", http.StatusBadRequest, "The settings break a rule; every breach is listed.", "Correct the keys named."},

	{Internal, "internal", http.StatusInternalServerError, "A fault inside the node.", "Report it with the request's id."},
	{StaleEpoch, "stale_epoch", http.StatusConflict, "The sender's epoch is older than the receiver's.", "None: the sender steps down."},
	{NotOwner, "not_owner", http.StatusConflict, "The receiver does not own what was asked for.", "None: the sender looks the owner up again."},
	{BadPeerMessage, "bad_peer_message", http.StatusBadRequest, "A peer sent something that is not a message.", "Check who connects to the peer port."},
	{PeerUnreachable, "peer_unreachable", http.StatusServiceUnavailable, "A peer did not answer in time.", "None: tried again."},
}

var infoByCode = indexInfos()

func indexInfos() map[Code]Info {
	index := make(map[Code]Info, len(Infos))
	for _, info := range Infos {
		index[info.Code] = info
	}
	return index
}
