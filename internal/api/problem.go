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

// problemType is the type of problems that the HTTP status describes in full (RFC 9457, section 4.2.1).
const problemType = "about:blank"

// Known outcomes of work that has no answer.
const (
	outcomeNotRun  = "not-run"
	outcomeFailed  = "failed"
	outcomeUnknown = "unknown"
)

// Stable reason codes.
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

// notReadyRetrySeconds is the Retry-After value while no configuration has arrived yet.
const notReadyRetrySeconds = 1

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

// problem converts an error of the entry instance to a problem. The outcome is not-run only if the work certainly did
// not run.
func problem(err error, jobID string) *requests.Problem {
	var rejection *jobs.Rejection
	switch {
	case errors.As(err, &rejection):
		return rejectionProblem(rejection, jobID)
	case errors.Is(err, entry.ErrNotReady):
		p := newProblem("unavailable", outcomeNotRun, reasonNotReady, jobID, err.Error())
		p.RetryAfter = ptr(notReadyRetrySeconds)
		return p
	case errors.Is(err, entry.ErrNoQueue):
		return newProblem("not_found", outcomeNotRun, reasonUnknownQueue, jobID, err.Error())
	case errors.Is(err, entry.ErrUnknownKey):
		return newProblem("unauthorized", outcomeNotRun, reasonBadKey, jobID, err.Error())
	case errors.Is(err, jobs.ErrNoSuchJob):
		return newProblem("not_found", outcomeUnknown, reasonNoSuchJob, jobID, err.Error())
	}
	return newProblem("unknown", outcomeUnknown, reasonNoAnswer, jobID, err.Error())
}

// jobProblem converts an error of a call about a job that may have been submitted. Its outcome is unknown, because the
// job may have run.
func jobProblem(err error, jobID string) *requests.Problem {
	p := problem(err, jobID)
	p.Outcome = ptr(outcomeUnknown)
	return p
}

func rejectionProblem(r *jobs.Rejection, jobID string) *requests.Problem {
	name := "unavailable"
	switch {
	case r.Permanent:
		name = "impossible"
	case r.Overloaded:
		name = "busy"
	}
	p := newProblem(name, outcomeNotRun, reasonRejected, jobID, r.Reason)
	if !r.Permanent {
		p.RetryAfter = ptr(int(math.Ceil(r.RetryAfter.Seconds())))
	}
	return p
}

func ptr[T any](v T) *T { return &v }

// problemBody is the JSON body of a problem document. goa passes all errors, typed problems too, to the formatter.
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

// formatError converts an error to a problem document.
func formatError(_ context.Context, err error) goahttp.Statuser {
	switch p := err.(type) {
	case *requests.Problem:
		return &problemBody{
			Type: p.Type, Title: p.Title, Status: p.Status, Detail: p.Detail,
			Outcome: p.Outcome, Reason: p.Reason, JobID: p.JobID,
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
	return goaProblem(err)
}

// goaProblem converts an error that goa itself detected, such as a header of the wrong type. goa validates a request
// before it calls a service method, so nothing has run.
func goaProblem(err error) *problemBody {
	status := http.StatusBadRequest
	var service *goa.ServiceError
	if errors.As(err, &service) && service.Fault {
		status = http.StatusInternalServerError
	}
	return &problemBody{
		Type: problemType, Title: http.StatusText(status), Status: status, Detail: err.Error(),
		Outcome: ptr(outcomeNotRun), Reason: ptr(reasonMalformed),
	}
}
