package api

import (
	"net/http"
	"net/url"

	"github.com/gorilla/mux"

	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/table"
)

// serveModels lists the rows of the caller's tenant.
func (a *API) serveModels(c *call) {
	list := modelList{Object: "list", Data: []modelDocument{}}
	for _, row := range a.config.Table.Rows() {
		if row.Tenant == c.principal.Tenant {
			list.Data = append(list.Data, newModelDocument(row))
		}
	}
	c.answer(http.StatusOK, list)
}

// serveModel describes one row of the caller's tenant.
func (a *API) serveModel(c *call) {
	name, err := url.PathUnescape(mux.Vars(c.request)["name"])
	if err != nil {
		c.refuse(result.Refuse(result.MalformedRequest, "the path can't be read"))
		return
	}
	row, known := a.callableRow(c, name)
	if !known {
		c.refuse(result.Refuse(result.UnknownModel, "the model %q does not exist", name))
		return
	}
	c.answer(http.StatusOK, newModelDocument(row))
}

func newModelDocument(row table.Row) modelDocument {
	return modelDocument{ID: row.Name, Object: "model", OwnedBy: row.Tenant}
}
