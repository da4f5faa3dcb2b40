package command

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/hatchplank/hatchplank/internal/api"
	"github.com/hatchplank/hatchplank/internal/table"
)

const tablePath = "/admin/v1/table"

// tableConflictError says that the table changed since the edit was begun.
type tableConflictError struct {
	// base is the revision that the edit was made on; current the newest, 0 if
	// not known.
	base, current table.Revision
	conflicts     []table.Conflict
}

// Error names the revisions and each value that clashes.
func (e *tableConflictError) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "the table changed since revision %d", e.base)
	if e.current > 0 {
		fmt.Fprintf(&text, " and is at revision %d", e.current)
	}
	for _, conflict := range e.conflicts {
		fmt.Fprintf(&text, "\n  row %q, %s: was %q, yours %q, theirs %q",
			conflict.Row, conflict.Column, conflict.Base, conflict.Mine, conflict.Theirs)
	}
	return text.String()
}

// tableClient calls the table's part of a node's administration.
type tableClient struct {
	client *api.Client
}

func (f *nodeFlags) tableClient() (tableClient, error) {
	client, err := f.client()
	return tableClient{client}, err
}

// read returns the rows that the token may see.
func (c tableClient) read(ctx context.Context) (table.Document, error) {
	body, err := c.get(ctx, tablePath+"?format="+string(table.FormatJSON))
	if err != nil {
		return table.Document{}, err
	}
	document, problems := table.Decode(table.FormatJSON, body)
	if len(problems) > 0 {
		return table.Document{}, fmt.Errorf("the node sent a table that can't be read: %w", &table.InvalidError{Problems: problems})
	}
	return document, nil
}

// write replaces the rows if the table is still at the base revision.
func (c tableClient) write(ctx context.Context, base table.Revision, rows []table.Row) (table.Revision, error) {
	body, err := table.Encode(table.FormatJSON, base, rows)
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, c.client.BaseURL+tablePath, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", table.FormatJSON.ContentType())
	request.Header.Set("If-Match", fmt.Sprintf(`"%d"`, base))
	_, answer, err := c.client.Do(request)
	if err != nil {
		return 0, writeError(base, err)
	}
	var accepted api.RevisionDocument
	if err := json.Unmarshal(answer, &accepted); err != nil {
		return 0, fmt.Errorf("the node's answer can't be read: %w", err)
	}
	return accepted.Revision, nil
}

// writeError gives a refused write the type of its reason.
func writeError(base table.Revision, err error) error {
	var refused *api.ResponseError
	if !errors.As(err, &refused) {
		return err
	}
	switch refused.Status {
	case http.StatusPreconditionFailed:
		var document api.ConflictDocument
		_ = json.Unmarshal(refused.Body, &document)
		return &tableConflictError{base: base, current: document.Revision, conflicts: document.Conflicts}
	case http.StatusUnprocessableEntity:
		var document api.ProblemsDocument
		if json.Unmarshal(refused.Body, &document) == nil && len(document.Problems) > 0 {
			return &table.InvalidError{Problems: document.Problems}
		}
	}
	return err
}

func (c tableClient) history(ctx context.Context, limit int) (api.HistoryDocument, error) {
	var document api.HistoryDocument
	err := c.getJSON(ctx, fmt.Sprintf("%s/history?limit=%d", tablePath, limit), &document)
	return document, err
}

func (c tableClient) force(ctx context.Context, revision table.Revision) (api.RevisionStatus, error) {
	var force api.RevisionStatus
	err := c.getJSON(ctx, fmt.Sprintf("%s/force?revision=%d", tablePath, revision), &force)
	return force, err
}

func (c tableClient) getJSON(ctx context.Context, path string, into any) error {
	body, err := c.get(ctx, path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("the node's answer can't be read: %w", err)
	}
	return nil
}

func (c tableClient) get(ctx context.Context, path string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.client.BaseURL+path, nil)
	if err != nil {
		return nil, err
	}
	_, body, err := c.client.Do(request)
	return body, err
}
