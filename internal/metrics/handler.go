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

// Handler serves the metrics of a registry to GET requests at one path.
type Handler struct {
	path     string
	gatherer prometheus.Gatherer
}

// NewRegistry returns a registry with the metrics of the process and of the Go runtime.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return registry
}

// NewHandler returns a Handler for a path, which must begin with a slash.
func NewHandler(path string, gatherer prometheus.Gatherer) *Handler { return &Handler{path, gatherer} }

// Serve answers a request. Metrics are gathered on a separate goroutine.
func (h *Handler) Serve(r *http1.Request, respond func(*http1.Answer)) (leave func()) {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	switch {
	case path != h.path:
		respond(http1.Plain(http.StatusNotFound, "no such page"))
	case r.Method != http.MethodGet:
		respond(http1.Plain(http.StatusMethodNotAllowed, "GET alone"))
	default:
		go func() { respond(h.metricsResponse()) }()
	}
	return nil
}

// metricsResponse returns the response with all metrics. Metrics of collectors that fail are omitted.
func (h *Handler) metricsResponse() *http1.Answer {
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
