package server

import (
	"net/http"

	"dunespoke/choice"
	"dunespoke/core"
)

// rejectAnswer judges answers to requests that don't judge their own: there are none.
func rejectAnswer(*http.Response) core.Result { return core.Result{Code: choice.Reset} }
