// Package api implements the goa services for clients and operators on top of an entry instance.
package api

import (
	"context"
	"math"
	"net/http"

	"github.com/juju/errors"
	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	"github.com/pollenford/pollenford/gen/admin"
	"github.com/pollenford/pollenford/gen/health"
	"github.com/pollenford/pollenford/gen/requests"
	"github.com/pollenford/pollenford/internal/entry"
	"github.com/pollenford/pollenford/internal/finding"
	"github.com/pollenford/pollenford/internal/jobs"
)

// problemType is the URI reference of a problem without a page of its own (RFC 9457, section 4.2.1).
const problemType = "about:blank"

// What is known about work that has no answer.
const (
	notRun  = "not-run"
	failed  = "failed"
	unknown = "unknown"
)

// Stable codes of reasons.
const (
	reasonMalformed    = "malformed"
	reasonSlowBody     = "slow-body"
	reasonTooLarge     = "too-large"
	reasonUnknownQueue = "unknown-queue"
	reasonBadKey       = "bad-key"
	reasonNotReady     = "not-ready"
	reasonRejected     = "rejected"
	reasonNoSuchJob    = "no-such-job"
	reasonKeyReused    = "key-reused"
	reasonDeadline     = "deadline"
	reasonFailed       = "failed"
	reasonInterrupted  = "interrupted"
	reasonCancelled    = "cancelled"
	reasonNoAnswer     = "no-answer"
	reasonNotEnded     = "not-ended"
)

// notReadyRetry is when a client should return before the first configuration has arrived, in seconds.
const notReadyRetry = 1

// requestStatus maps the error names of the requests service to their HTTP status.
var requestStatus = map[string]int{
	"bad_request":  http.StatusBadRequest,
	"unauthorized": http.StatusUnauthorized,
	"not_found":    http.StatusNotFound,
	"timeout":      http.StatusRequestTimeout,
	"conflict":     http.StatusConflict,
	"too_large":    http.StatusRequestEntityTooLarge,
	"impossible":   http.StatusUnprocessableEntity,
	"busy":         http.StatusTooManyRequests,
	"failed":       http.StatusBadGateway,
	"unavailable":  http.StatusServiceUnavailable,
	"unknown":      http.StatusGatewayTimeout,
}

func newProblem(name, outcome, reason, jobID, detail string) *requests.Problem {
	p := &requests.Problem{
		Name: name, Type: problemType, Title: http.StatusText(requestStatus[name]), Status: requestStatus[name],
		Detail: detail, Outcome: &outcome, Reason: &reason,
	}
	if jobID != "" {
		p.JobID = &jobID
	}
	return p
}

// problem turns an error of the entry instance into one of the requests service. Only what is certain not to have run
// is reported as such.
func problem(err error, jobID string) *requests.Problem {
	var rejection *jobs.Rejection
	switch {
	case errors.As(err, &rejection):
		return rejected(rejection, jobID)
	case errors.Is(err, entry.ErrNotReady):
		p := newProblem("unavailable", notRun, reasonNotReady, jobID, err.Error())
		p.RetryAfter = pointer(notReadyRetry)
		return p
	case errors.Is(err, entry.ErrNoQueue):
		return newProblem("not_found", notRun, reasonUnknownQueue, jobID, err.Error())
	case errors.Is(err, entry.ErrUnknownKey):
		return newProblem("unauthorized", notRun, reasonBadKey, jobID, err.Error())
	case errors.Is(err, jobs.ErrNoSuchJob):
		return newProblem("not_found", unknown, reasonNoSuchJob, jobID, err.Error())
	}
	return newProblem("unknown", unknown, reasonNoAnswer, jobID, err.Error())
}

// jobProblem is problem for a question about a job that may have been handed in: whatever refused the question, its work
// may have run.
func jobProblem(err error, jobID string) *requests.Problem {
	p := problem(err, jobID)
	p.Outcome = pointer(unknown)
	return p
}

func rejected(r *jobs.Rejection, jobID string) *requests.Problem {
	name := "unavailable"
	switch {
	case r.Permanent:
		name = "impossible"
	case r.Overloaded:
		name = "busy"
	}
	p := newProblem(name, notRun, reasonRejected, jobID, r.Reason)
	if !r.Permanent {
		p.RetryAfter = pointer(int(math.Ceil(r.RetryAfter.Seconds())))
	}
	return p
}

func pointer[T any](v T) *T { return &v }

// problemBody is the JSON of a problem document. goa hands every error to the formatter, typed problems included.
type problemBody struct {
	Type           string       `json:"type"`
	Title          string       `json:"title"`
	Status         int          `json:"status"`
	Detail         string       `json:"detail"`
	Outcome        *string      `json:"outcome,omitempty"`
	Reason         *string      `json:"reason,omitempty"`
	JobID          *string      `json:"job_id,omitempty"`
	CurrentVersion *int64       `json:"current_version,omitempty"`
	Findings       finding.List `json:"findings,omitempty"`
}

// StatusCode implements goahttp.Statuser.
func (p *problemBody) StatusCode() int { return p.Status }

// formatError turns an error into a problem document.
func formatError(_ context.Context, err error) goahttp.Statuser {
	switch p := err.(type) {
	case *requests.Problem:
		return &problemBody{
			Type: p.Type, Title: p.Title, Status: p.Status, Detail: p.Detail, Outcome: p.Outcome, Reason: p.Reason, JobID: p.JobID,
		}
	case *admin.Problem:
		body := &problemBody{Type: p.Type, Title: p.Title, Status: p.Status, Detail: p.Detail, CurrentVersion: p.CurrentVersion}
		for _, f := range p.Findings {
			body.Findings = append(body.Findings, finding.Finding{Place: f.Place, Message: f.Message})
		}
		return body
	case *health.Problem:
		return &problemBody{Type: p.Type, Title: p.Title, Status: p.Status, Detail: p.Detail}
	}
	return malformed(err)
}

// malformed describes an error that goa found itself, such as a header of the wrong type. goa checks requests before a
// service method is called, so nothing has run.
func malformed(err error) *problemBody {
	status := http.StatusBadRequest
	var service *goa.ServiceError
	if errors.As(err, &service) && service.Fault {
		status = http.StatusInternalServerError
	}
	return &problemBody{
		Type: problemType, Title: http.StatusText(status), Status: status, Detail: err.Error(),
		Outcome: pointer(notRun), Reason: pointer(reasonMalformed),
	}
}
