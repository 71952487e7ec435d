package api

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/pollenford/pollenford/gen/requests"
	"github.com/pollenford/pollenford/internal/burn"
	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/entry"
	"github.com/pollenford/pollenford/internal/jobs"
	"github.com/pollenford/pollenford/internal/logs"
	"github.com/pollenford/pollenford/internal/workload"
)

const (
	// responseMargin is the part of a deadline reserved for cancelling a queued job and returning the response.
	responseMargin = 200 * time.Millisecond
	// jobCallTimeout limits status and cancel calls to the owner, which usually take some milliseconds.
	jobCallTimeout = 2 * time.Second
	// idBytes is the length of job IDs before hexadecimal encoding.
	idBytes = 16
)

// Requests implements the requests service.
type Requests struct {
	Entry *entry.Entry
	// Observe counts a finished request towards the service-level objectives.
	Observe burn.Observer
	Log     hclog.Logger

	refused logs.Summary
}

// Send implements the service method.
func (s *Requests) Send(ctx context.Context, p *requests.SendPayload,
	body io.ReadCloser) (*requests.Answer, io.ReadCloser, error) {
	receivedAt := time.Now()
	job, admission, err := s.admit(submitPayload(p), body)
	if err != nil {
		s.logRefused("send", p.Queue, admission, err)
		return nil, nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, deadline(p.DeadlineMs, receivedAt))
	defer cancel()
	answer, stream, err := s.submitAndAwait(ctx, &admission, job, p)
	s.recordFinished("send", job, admission, err, receivedAt)
	return answer, stream, err
}

// deadline returns when processing of a request stops to meet the client's deadline.
func deadline(ms int64, receivedAt time.Time) time.Time {
	return receivedAt.Add(time.Duration(ms)*time.Millisecond - responseMargin)
}

func submitPayload(p *requests.SendPayload) *requests.SubmitPayload {
	submit := requests.SubmitPayload(*p)
	return &submit
}

// submitAndAwait submits a job and waits for its end. At the deadline a job without an idempotency key is cancelled,
// because its client cannot ask for it again.
func (s *Requests) submitAndAwait(ctx context.Context, a *entry.Admission, job *workload.Job,
	p *requests.SendPayload) (*requests.Answer, io.ReadCloser, error) {
	if err := s.submitJob(ctx, a, job); err != nil {
		return nil, nil, err
	}
	status, err := s.Entry.Await(ctx, a, job.ID)
	if err == nil {
		return jobAnswer(job.ID, status)
	}
	if p.IdempotencyKey != nil {
		return nil, nil, newProblem("unknown", outcomeUnknown, reasonDeadline, job.ID,
			"the work has not ended; ask again with the same key")
	}
	return nil, nil, s.cancelExpired(ctx, a, job)
}

// submitJob submits a job and returns a conflict if a different request used its idempotency key. Without an owner it
// waits until the deadline, so a planned change of owner rejects no request that can wait.
func (s *Requests) submitJob(ctx context.Context, a *entry.Admission, job *workload.Job) error {
	if err := s.Entry.Submit(ctx, a, job, entry.UnlimitedOwnerTimeout); err != nil {
		return problem(err, job.ID)
	}
	if job.Fingerprint == "" {
		return nil
	}
	status, err := s.Entry.Status(ctx, a, job.ID)
	if err != nil {
		return jobProblem(err, job.ID)
	}
	if status.Fingerprint != job.Fingerprint {
		return newProblem("conflict", outcomeNotRun, reasonKeyReused, job.ID, "the idempotency key belongs to another request")
	}
	return nil
}

// cancelExpired cancels a job that has not ended in time and returns its outcome.
func (s *Requests) cancelExpired(ctx context.Context, a *entry.Admission, job *workload.Job) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), jobCallTimeout)
	defer cancel()
	if err := s.Entry.Cancel(ctx, a, job.ID); err != nil {
		return newProblem("unknown", outcomeUnknown, reasonDeadline, job.ID,
			"the work has not ended, and cancelling it failed: "+err.Error())
	}
	status, err := s.Entry.Status(ctx, a, job.ID)
	if err == nil && status.State == workload.Cancelled && !status.Begun {
		return newProblem("timeout", outcomeNotRun, reasonDeadline, job.ID, "no worker was free in time")
	}
	return newProblem("unknown", outcomeUnknown, reasonDeadline, job.ID, "the work had begun and was cancelled")
}

// jobAnswer returns the answer of a completed job, otherwise a problem.
func jobAnswer(id string, status jobs.Status) (*requests.Answer, io.ReadCloser, error) {
	switch status.State {
	case workload.Completed:
		contentType := "text/plain; charset=utf-8"
		if json.Valid([]byte(status.Answer)) {
			contentType = "application/json"
		}
		res := &requests.Answer{JobID: id, ContentType: contentType, Length: int64(len(status.Answer))}
		return res, io.NopCloser(strings.NewReader(status.Answer)), nil
	case workload.Failed:
		if status.Interrupted {
			return nil, nil, newProblem("unknown", outcomeUnknown, reasonInterrupted, id,
				"the run was cut off and is not repeated")
		}
		return nil, nil, newProblem("failed", outcomeFailed, reasonFailed, id, "the work failed")
	case workload.Cancelled:
		outcome := outcomeNotRun
		if status.Begun {
			outcome = outcomeUnknown
		}
		return nil, nil, newProblem("conflict", outcome, reasonCancelled, id, "the job was cancelled")
	}
	return nil, nil, newProblem("conflict", outcomeUnknown, reasonNotEnded, id, "the job has not ended")
}

// Submit implements the service method.
func (s *Requests) Submit(ctx context.Context, p *requests.SubmitPayload, body io.ReadCloser) (*requests.Job, error) {
	receivedAt := time.Now()
	job, admission, err := s.admit(p, body)
	if err != nil {
		s.logRefused("submit", p.Queue, admission, err)
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, deadline(p.DeadlineMs, receivedAt))
	defer cancel()
	err = s.submitJob(ctx, &admission, job)
	s.recordFinished("submit", job, admission, err, receivedAt)
	if err != nil {
		return nil, err
	}
	return &requests.Job{ID: job.ID, Status: "queued"}, nil
}

// logRefused logs a request that was not admitted. It counts towards no objective: usually the client caused the error.
func (s *Requests) logRefused(method, queue string, a entry.Admission, err error) {
	if n, log := s.refused.Note(errors.Cause(err).Error(), time.Now()); log {
		s.Log.Info("request refused", "method", method, "queue", queue, "organisation", a.Organisation,
			"config", a.ConfigVersion, "err", err, "since_last_line", n)
	}
}

// recordFinished logs and counts a finished request.
func (s *Requests) recordFinished(method string, job *workload.Job, a entry.Admission, err error, receivedAt time.Time) {
	latency := time.Since(receivedAt)
	status := http.StatusOK
	var p *requests.Problem
	if errors.As(err, &p) {
		status = p.Status
	}
	fields := []any{"method", method, "id", job.ID, "queue", a.Queue.Name, "organisation", a.Organisation,
		"config", a.ConfigVersion, "status", status, "ms", latency.Milliseconds(), "err", err}
	n, log := 0, true
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable { // a crowd shares a line a second
		n, log = s.refused.Note(strconv.Itoa(status), time.Now())
		fields = append(fields, "since_last_line", n)
	}
	if log {
		s.Log.Info("request finished", fields...)
	}
	s.Observe(a.Queue.Name, a.Organisation, status, latency)
}

// admit authenticates a request and converts it to a job.
func (s *Requests) admit(p *requests.SubmitPayload, body io.ReadCloser) (*workload.Job, entry.Admission, error) {
	admission, err := s.Entry.AdmitQueue(p.Queue, bearerToken(p.Authorization))
	if err != nil {
		return nil, admission, problem(err, "")
	}
	spec, err := readSpec(body)
	if err != nil {
		return nil, admission, err
	}
	job := &workload.Job{
		ID: newID(), Spec: spec, ReceivedMS: time.Now().UnixMilli(),
		KeepsAnswer: true,
		Steps: []workload.Step{{
			Count: 1, AtMostOnce: !p.Idempotent, SavesProgress: p.Resumable,
			Estimate:  time.Duration(p.EstimateMs) * time.Millisecond,
			Resources: catalog.Resources{CPU: int64(p.Cores * 1000), MemoryMB: p.MemoryMb, GPU: p.Accelerators},
		}},
	}
	if p.IdempotencyKey != nil {
		job.ID = hexDigest(idBytes, p.Queue, admission.Organisation, *p.IdempotencyKey)
		job.Fingerprint = hexDigest(idBytes, spec, strconv.FormatBool(p.Idempotent))
	}
	return job, admission, nil
}

func bearerToken(authorization *string) string {
	if authorization == nil {
		return ""
	}
	secret, _ := strings.CutPrefix(*authorization, "Bearer ")
	return secret
}

func newID() string {
	id := uuid.New()
	return hex.EncodeToString(id[:])
}

// hexDigest returns the first size bytes of a SHA-256 hash of the length-prefixed values, hexadecimal.
func hexDigest(size int, values ...string) string {
	h := sha256.New()
	for _, v := range values {
		io.WriteString(h, strconv.Itoa(len(v))+":"+v) // writes to a hash never fail
	}
	return hex.EncodeToString(h.Sum(nil)[:size])
}

func readSpec(body io.ReadCloser) (string, error) {
	data, err := io.ReadAll(io.LimitReader(body, workload.MaxSpecBytes+1))
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return "", newProblem("timeout", outcomeNotRun, reasonSlowBody, "", "the body did not arrive in time")
	case err != nil:
		return "", newProblem("bad_request", outcomeNotRun, reasonMalformed, "", "the body is incomplete: "+err.Error())
	case len(data) > workload.MaxSpecBytes:
		return "", newProblem("too_large", outcomeNotRun, reasonTooLarge, "",
			"the body is larger than "+strconv.Itoa(workload.MaxSpecBytes)+" bytes")
	case !utf8.Valid(data):
		return "", newProblem("bad_request", outcomeNotRun, reasonMalformed, "", "the body is not UTF-8 text")
	}
	return string(data), nil
}

// JobEndpoint implements the service method "job".
func (s *Requests) JobEndpoint(ctx context.Context, p *requests.JobPayload) (*requests.Job, error) {
	status, err := s.status(ctx, p.Queue, p.ID, p.Authorization)
	if err != nil {
		return nil, err
	}
	return jobView(p.ID, status), nil
}

// JobAnswer implements the service method.
func (s *Requests) JobAnswer(ctx context.Context, p *requests.JobAnswerPayload) (*requests.Answer, io.ReadCloser, error) {
	status, err := s.status(ctx, p.Queue, p.ID, p.Authorization)
	if err != nil {
		return nil, nil, err
	}
	return jobAnswer(p.ID, status)
}

// Cancel implements the service method.
func (s *Requests) Cancel(ctx context.Context, p *requests.CancelPayload) (*requests.Job, error) {
	admission, err := s.Entry.AdmitQueue(p.Queue, bearerToken(p.Authorization))
	if err != nil {
		return nil, jobProblem(err, p.ID)
	}
	ctx, cancel := context.WithTimeout(ctx, jobCallTimeout)
	defer cancel()
	if err := s.Entry.Cancel(ctx, &admission, p.ID); err != nil {
		return nil, jobProblem(err, p.ID)
	}
	return s.JobEndpoint(ctx, &requests.JobPayload{Queue: p.Queue, ID: p.ID, Authorization: p.Authorization})
}

func (s *Requests) status(ctx context.Context, queue, id string, authorization *string) (jobs.Status, error) {
	admission, err := s.Entry.AdmitQueue(queue, bearerToken(authorization))
	if err != nil {
		return jobs.Status{}, jobProblem(err, id)
	}
	ctx, cancel := context.WithTimeout(ctx, jobCallTimeout)
	defer cancel()
	status, err := s.Entry.Status(ctx, &admission, id)
	if err != nil {
		return jobs.Status{}, jobProblem(err, id)
	}
	return status, nil
}

func jobView(id string, status jobs.Status) *requests.Job {
	res := &requests.Job{ID: id, Status: "queued"}
	switch status.State {
	case workload.Active:
		if status.Started() {
			res.Status = "running"
		}
	case workload.Completed:
		res.Status = "done"
	case workload.Failed:
		res.Status, res.Outcome = "failed", ptr(outcomeFailed)
		if status.Interrupted {
			res.Outcome = ptr(outcomeUnknown)
		}
	case workload.Cancelled:
		res.Status, res.Outcome = "cancelled", ptr(outcomeNotRun)
		if status.Begun {
			res.Outcome = ptr(outcomeUnknown)
		}
	}
	return res
}
