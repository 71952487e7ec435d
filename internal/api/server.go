package api

import (
	"context"
	"net/http"

	goahttp "goa.design/goa/v3/http"

	pollenford "github.com/pollenford/pollenford"
	"github.com/pollenford/pollenford/gen/admin"
	"github.com/pollenford/pollenford/gen/health"
	adminserver "github.com/pollenford/pollenford/gen/http/admin/server"
	healthserver "github.com/pollenford/pollenford/gen/http/health/server"
	requestsserver "github.com/pollenford/pollenford/gen/http/requests/server"
	"github.com/pollenford/pollenford/gen/requests"
)

// maxBodyBytes bounds every request body; the largest is a patch of the configuration.
const maxBodyBytes = 1 << 20

// Health implements the health service.
type Health struct {
	// NotReady returns why the entry instance should get no new connections, or "".
	NotReady func() string
}

// Live implements the service method.
func (h *Health) Live(context.Context) (string, error) { return "live", nil }

// Ready implements the service method.
func (h *Health) Ready(context.Context) (string, error) {
	if reason := h.NotReady(); reason != "" {
		return "", &health.Problem{
			Name: "not_ready", Type: problemType, Title: http.StatusText(http.StatusServiceUnavailable),
			Status: http.StatusServiceUnavailable, Detail: reason,
		}
	}
	return "ready", nil
}

// NewHandler mounts the services on one HTTP handler. onError learns of answers that could not be written.
func NewHandler(req *Requests, adm *Admin, hea *Health, onError func(context.Context, http.ResponseWriter, error)) http.Handler {
	mux := goahttp.NewMuxer()
	dec, enc := goahttp.RequestDecoder, goahttp.ResponseEncoder
	requestsserver.Mount(mux, requestsserver.New(requests.NewEndpoints(req), mux, dec, enc, onError, formatError))
	adminserver.Mount(mux, adminserver.New(admin.NewEndpoints(adm), mux, dec, enc, onError, formatError))
	healthserver.Mount(mux, healthserver.New(health.NewEndpoints(hea), mux, dec, enc, onError, formatError, http.FS(pollenford.OpenAPI)))
	return withProblems(http.MaxBytesHandler(mux, maxBodyBytes))
}

// problemMediaType is the media type of problem documents.
const problemMediaType = "application/problem+json"

// problemWriter gives JSON error bodies the media type of problem documents. goa sets the type of the errors that it
// finds itself before the formatter runs.
type problemWriter struct {
	http.ResponseWriter
}

// WriteHeader implements http.ResponseWriter.
func (w problemWriter) WriteHeader(status int) {
	if status >= http.StatusBadRequest && w.Header().Get("Content-Type") == "application/json" {
		w.Header().Set("Content-Type", problemMediaType)
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap serves http.ResponseController.
func (w problemWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func withProblems(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { next.ServeHTTP(problemWriter{w}, r) })
}
