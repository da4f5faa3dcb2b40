package api

import (
	"net/http"
	"slices"
	"strings"

	"github.com/gorilla/mux"

	"github.com/hatchplank/hatchplank/internal/gateway"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
)

const backEndsPrefix = "/v1/backends/"

// servePassThrough forwards a request to a server of a pool.
func (a *API) servePassThrough(c *call) {
	body, refusal := a.readBody(c)
	if refusal != nil {
		c.refuse(*refusal)
		return
	}
	request, refusal := a.newPoolRequest(c, body)
	if refusal != nil {
		c.refuse(*refusal)
		return
	}
	responder := newCollectResponder(a.config.Limits.AnswerBytes)
	cancel := a.config.Gateway.Submit(request, responder)
	last, disconnected := awaitEnding(c, responder.ended)
	switch {
	case disconnected:
		cancel()
		c.outcome = result.CallerGone
	case last.refusal != nil:
		c.refuse(*last.refusal)
	default:
		a.writeResponse(c, last.answer)
	}
}

func (a *API) newPoolRequest(c *call, body []byte) (gateway.Request, *result.Refusal) {
	name := mux.Vars(c.request)["pool"]
	pool, known := a.config.Pools[name]
	if !known {
		return gateway.Request{}, refuse(result.UnknownPool, "the pool %q does not exist", name)
	}
	if len(pool.Tenants) > 0 && !slices.Contains(pool.Tenants, c.principal.Tenant) {
		return gateway.Request{}, refuse(result.Forbidden, "the pool %q is not open to this tenant", name)
	}
	path, refusal := pool.backEndPath(c.request, name)
	if refusal != nil {
		return gateway.Request{}, refusal
	}
	options, refusal := parseCallOptions(c.request.Header, orDefault(pool.TimeLimit, a.config.Limits.DefaultTimeLimit), pool.Priority)
	if refusal != nil {
		return gateway.Request{}, refusal
	}
	repeatable := pool.Repeatable || isSafeMethod(c.request.Method)
	if !repeatable && options.key == "" {
		return gateway.Request{}, refuse(result.KeyRequired, "the pool %q needs the header %s", name, headerIdempotencyKey)
	}
	return gateway.Request{
		ID:          c.id,
		Tenant:      c.principal.Tenant,
		Pool:        name,
		Method:      c.request.Method,
		Path:        path,
		ContentType: c.request.Header.Get("Content-Type"),
		Body:        body,
		Priority:    options.priority,
		Accepted:    c.arrived,
		Deadline:    c.arrived.Add(options.timeLimit),
		Key:         options.key,
		Repeatable:  repeatable,
	}, nil
}

// backEndPath returns the path and query for the back end. Paths with dot segments are
// refused, so that they can't escape an allowed prefix.
func (p Pool) backEndPath(request *http.Request, name string) (string, *result.Refusal) {
	for _, segment := range strings.Split(request.URL.Path, "/") {
		if segment == "." || segment == ".." {
			return "", refuse(result.MalformedRequest, "the path must not contain . or .. segments")
		}
	}
	path := strings.TrimPrefix(request.URL.EscapedPath(), backEndsPrefix+name)
	decoded := strings.TrimPrefix(request.URL.Path, backEndsPrefix+name)
	if !p.allowsPath(decoded) {
		return "", refuse(result.Forbidden, "this path of the pool %q is not open to callers", name)
	}
	if request.URL.RawQuery != "" {
		path += "?" + request.URL.RawQuery
	}
	return path, nil
}

func (p Pool) allowsPath(path string) bool {
	if len(p.PathPrefixes) == 0 {
		return true
	}
	return slices.ContainsFunc(p.PathPrefixes, func(prefix string) bool { return hasPathPrefix(path, prefix) })
}

// hasPathPrefix reports whether a path equals the prefix or extends it by whole segments.
func hasPathPrefix(path, prefix string) bool {
	rest, found := strings.CutPrefix(path, prefix)
	return found && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

func isSafeMethod(method string) bool { return method == http.MethodGet || method == http.MethodHead }

// writeResponse sends a back end's response to the caller unchanged.
func (a *API) writeResponse(c *call, answer gateway.Answer) {
	response := answer.Response
	if !isFinalStatus(response.Status) {
		refusal := result.Refuse(result.BackEndFailed, "the back end answered with status %d", response.Status)
		refusal.Ran = result.RanUnknown
		c.refuse(refusal)
		return
	}
	setReplayed(c, answer)
	a.extendWrite(c)
	c.commit()
	writeBackEndResponse(c.writer, response)
}

// isFinalStatus excludes 1xx, which net/http treats as interim responses.
func isFinalStatus(status int) bool { return status >= http.StatusOK && status <= 999 }

func writeBackEndResponse(writer http.ResponseWriter, response outside.BackEndResponse) {
	if response.ContentType != "" {
		writer.Header().Set("Content-Type", response.ContentType)
	}
	writer.WriteHeader(response.Status)
	// A failed write means that the caller has disconnected; the outcome is recorded
	// under the request's key.
	_, _ = writer.Write(response.Body)
}
