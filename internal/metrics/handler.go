package metrics

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/common/expfmt"

	"dunespoke/internal/http1"
	"dunespoke/internal/net/accept"
)

var _ accept.Handler = (*Handler)(nil)

// Handler answers GET requests for the figures of a registry, at one path.
type Handler struct {
	path     string
	gatherer prometheus.Gatherer
}

// NewRegistry returns a registry with the figures of the process and the runtime.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return registry
}

// NewHandler returns a Handler for a path, which begins with a slash.
func NewHandler(path string, gatherer prometheus.Gatherer) *Handler { return &Handler{path, gatherer} }

// Serve takes a request. The figures are gathered on a goroutine of their own.
func (h *Handler) Serve(r *http1.Request, respond func(*http1.Answer)) (leave func()) {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	switch {
	case path != h.path:
		respond(http1.Plain(http.StatusNotFound, "no such page"))
	case r.Method != http.MethodGet:
		respond(http1.Plain(http.StatusMethodNotAllowed, "GET alone"))
	default:
		go func() { respond(h.figures()) }()
	}
	return nil
}

// figures is the answer with all figures. What a collector fails to tell is left out.
func (h *Handler) figures() *http1.Answer {
	families, _ := h.gatherer.Gather()
	format := expfmt.NewFormat(expfmt.TypeTextPlain)
	var body bytes.Buffer
	encoder := expfmt.NewEncoder(&body, format)
	for _, family := range families {
		if err := encoder.Encode(family); err != nil {
			return http1.Plain(http.StatusInternalServerError, "figures can't be written")
		}
	}
	return &http1.Answer{Status: http.StatusOK, Header: [][2]string{{"Content-Type", string(format)}},
		Body: body.Bytes()}
}
