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

// maxBodyBytes limits every request body. The largest legitimate body is a configuration patch.
const maxBodyBytes = 1 << 20

// Health implements the health service.
type Health struct {
	// NotReady returns why the entry instance should get no new connections, or "" if it should.
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

// NewHandler returns an HTTP handler for the services. onError is called for each response that could not be written.
func NewHandler(requestService *Requests, adminService *Admin, healthService *Health,
	onError func(context.Context, http.ResponseWriter, error)) http.Handler {
	mux := goahttp.NewMuxer()
	decoder, encoder := goahttp.RequestDecoder, goahttp.ResponseEncoder
	requestsserver.Mount(mux, requestsserver.New(requests.NewEndpoints(requestService), mux, decoder, encoder, onError,
		formatError))
	adminserver.Mount(mux, adminserver.New(admin.NewEndpoints(adminService), mux, decoder, encoder, onError, formatError))
	healthserver.Mount(mux, healthserver.New(health.NewEndpoints(healthService), mux, decoder, encoder, onError,
		formatError, http.FS(pollenford.OpenAPI)))
	return withProblemMediaType(http.MaxBytesHandler(mux, maxBodyBytes))
}

// problemMediaType is the media type of problem documents.
const problemMediaType = "application/problem+json"

// problemWriter gives JSON error bodies the media type of problem documents. goa sets the media type of errors that it
// detects itself before it calls the formatter.
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

// Unwrap supports http.ResponseController.
func (w problemWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func withProblemMediaType(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { next.ServeHTTP(problemWriter{w}, r) })
}
