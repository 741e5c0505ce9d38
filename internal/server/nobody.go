package server

import (
	"net/http"

	"dunespoke/choice"
	"dunespoke/core"
)

// nobody judges answers to requests that don't judge their own: there are none.
func nobody(*http.Response) core.Result { return core.Result{Code: choice.Reset} }
