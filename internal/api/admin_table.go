package api

import (
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/hatchplank/hatchplank/internal/auth"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/table"
)

const (
	defaultHistoryLimit = 20
	maxHistoryLimit     = 1000
)

// RevisionDocument is the response to an accepted edit.
type RevisionDocument struct {
	Revision table.Revision `json:"revision"`
}

// ConflictDocument is the response to an edit whose base is not the newest revision.
type ConflictDocument struct {
	Error ErrorBody `json:"error"`
	// Revision is the newest revision of the table.
	Revision table.Revision `json:"revision"`
	// Conflicts are the values that both sides changed since the base, to different
	// values; empty when the edits can be merged.
	Conflicts []table.Conflict `json:"conflicts"`
	// Mine are the changes of the rejected edit, Theirs those accepted since its base.
	Mine   []table.RowChange `json:"mine"`
	Theirs []table.RowChange `json:"theirs"`
}

// ProblemsDocument is the response to a table that violates validation rules.
type ProblemsDocument struct {
	Error    ErrorBody       `json:"error"`
	Problems []table.Problem `json:"problems"`
}

// HistoryDocument lists accepted edits, newest first.
type HistoryDocument struct {
	Entries []HistoryEntry `json:"entries"`
}

// managedTenant returns the tenant whose rows the principal may manage, or the empty
// string for all tenants.
func managedTenant(principal auth.Principal) string {
	if principal.Role == auth.RoleAdmin {
		return ""
	}
	return principal.Tenant
}

// getTable sends the rows that the principal may manage.
func (a *API) getTable(c *call) {
	format := table.Format(orDefault(c.request.URL.Query().Get("format"), string(table.FormatJSON)))
	snapshot := a.config.TableStore.Snapshot()
	body, err := table.Encode(format, snapshot.Revision(), visibleRows(snapshot, c.principal))
	if err != nil {
		c.refuse(result.Refuse(result.MalformedRequest, "the format must be json, yaml or csv"))
		return
	}
	header := c.writer.Header()
	header.Set("Content-Type", format.ContentType())
	header.Set("ETag", formatETag(snapshot.Revision()))
	c.commit()
	// A failed write means that the client has disconnected.
	_, _ = c.writer.Write(body)
}

func visibleRows(snapshot *table.Snapshot, principal auth.Principal) []table.Row {
	if principal.Role == auth.RoleAdmin {
		return snapshot.Rows()
	}
	rows := []table.Row{}
	for _, row := range snapshot.Rows() {
		if principal.Manages(row.Tenant) {
			rows = append(rows, row)
		}
	}
	return rows
}

// putTable replaces the rows that the principal manages, provided that the table is still
// at the revision of If-Match.
func (a *API) putTable(c *call) {
	base, refusal := parseIfMatch(c.request.Header)
	if refusal != nil {
		c.refuse(*refusal)
		return
	}
	body, refusal := a.readBody(c)
	if refusal != nil {
		c.refuse(*refusal)
		return
	}
	format, known := table.FormatOfContentType(orDefault(c.request.Header.Get("Content-Type"), contentTypeJSON))
	if !known {
		c.refuse(result.Refuse(result.Unsupported, "the content type must be JSON, YAML or CSV"))
		return
	}
	document, problems := table.Decode(format, body)
	if len(problems) > 0 {
		c.refuseTable(problems)
		return
	}
	if refusal := checkTenants(document.Rows, c.principal); refusal != nil {
		c.refuse(*refusal)
		return
	}
	a.propose(c, TableEdit{Base: base, Tenant: managedTenant(c.principal), Rows: document.Rows, Author: author(c.principal)})
}

// checkTenants returns a refusal if the principal does not manage one of the rows.
func checkTenants(rows []table.Row, principal auth.Principal) *result.Refusal {
	for _, row := range rows {
		if !principal.Manages(row.Tenant) {
			return refuse(result.Forbidden, "the row %q names another tenant; nothing was changed", row.Name)
		}
	}
	return nil
}

// author returns the name of a principal in the history: its tenant and role, because
// tokens have no names.
func author(principal auth.Principal) string {
	if principal.Tenant == "" {
		return principal.Role.String()
	}
	return principal.Tenant + "/" + principal.Role.String()
}

func (a *API) propose(c *call, edit TableEdit) {
	timeout := a.config.Limits.AdminTimeout
	revision, err := await(c.request.Context(), timeout, func(done func(table.Revision, error)) {
		a.config.TableStore.Propose(edit, timeout, done)
	})
	var conflict *TableConflictError
	var invalid *table.InvalidError
	switch {
	case err == nil:
		c.writer.Header().Set("ETag", formatETag(revision))
		c.answer(http.StatusOK, RevisionDocument{Revision: revision})
	case errors.As(err, &conflict):
		c.refuseConflict(conflict)
	case errors.As(err, &invalid):
		c.refuseTable(invalid.Problems)
	default:
		c.refuse(refusalOfError(err))
	}
}

func (c *call) refuseConflict(conflict *TableConflictError) {
	refusal := result.Refuse(result.RevisionConflict, "the table is at revision %d: read, merge and apply again", conflict.Current)
	c.outcome = refusal.Code
	setRefusalHeaders(c.writer.Header(), refusal)
	c.writer.Header().Set("ETag", formatETag(conflict.Current))
	c.answer(refusal.Code.Status(), ConflictDocument{
		Error:     newErrorDocument(refusal, c.id).Error,
		Revision:  conflict.Current,
		Conflicts: append([]table.Conflict{}, conflict.Conflicts...),
		Mine:      append([]table.RowChange{}, conflict.Mine...),
		Theirs:    append([]table.RowChange{}, conflict.Theirs...),
	})
}

func (c *call) refuseTable(problems []table.Problem) {
	refusal := result.Refuse(result.InvalidTable, "the table breaks %d rules; nothing was changed", len(problems))
	c.outcome = refusal.Code
	setRefusalHeaders(c.writer.Header(), refusal)
	c.answer(refusal.Code.Status(), ProblemsDocument{
		Error:    newErrorDocument(refusal, c.id).Error,
		Problems: problems,
	})
}

func formatETag(revision table.Revision) string {
	return `"` + strconv.FormatInt(int64(revision), 10) + `"`
}

// parseIfMatch reads the revision that an edit is based on.
func parseIfMatch(header http.Header) (table.Revision, *result.Refusal) {
	values := header.Values("If-Match")
	if len(values) == 0 {
		return 0, refuse(result.PreconditionMissing, "send If-Match with the revision the edit is based on")
	}
	revision, err := strconv.ParseInt(strings.Trim(strings.TrimSpace(values[0]), `"`), 10, 64)
	if err != nil || revision < 0 || len(values) > 1 {
		return 0, refuse(result.MalformedRequest, "If-Match must be one revision")
	}
	return table.Revision(revision), nil
}

func (a *API) getHistory(c *call) {
	limit, refusal := parseWholeNumber(c.request, "limit", defaultHistoryLimit, maxHistoryLimit)
	if refusal != nil {
		c.refuse(*refusal)
		return
	}
	timeout := a.config.Limits.AdminTimeout
	entries, err := await(c.request.Context(), timeout, func(done func([]HistoryEntry, error)) {
		a.config.TableStore.History(managedTenant(c.principal), int(limit), timeout, done)
	})
	if err != nil {
		c.refuse(refusalOfRead(err))
		return
	}
	c.answer(http.StatusOK, HistoryDocument{Entries: append([]HistoryEntry{}, entries...)})
}

// parseWholeNumber reads a query parameter in the range from 1 to maximum; it returns
// fallback if the parameter is absent.
func parseWholeNumber(request *http.Request, name string, fallback, maximum int64) (int64, *result.Refusal) {
	text := request.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < 1 || number > maximum {
		return 0, refuse(result.MalformedRequest, "%s must be a whole number from 1 to %d", name, maximum)
	}
	return number, nil
}

// refusalOfRead converts the error of a read-only call to a refusal. A read changes nothing,
// so its outcome is never unknown as in refusalOfError.
func refusalOfRead(err error) result.Refusal {
	var refusal result.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return result.Refuse(result.StoreUnavailable, "what was asked for can't be read now: %v", err)
}
