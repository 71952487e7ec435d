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
	"github.com/pollenford/pollenford/internal/workload"
)

const (
	// answerMargin is left of a deadline for the way back and for withdrawing what has not begun.
	answerMargin = 200 * time.Millisecond
	// cancelTimeout bounds the withdrawal of a job whose client no longer waits; a usual one takes some milliseconds.
	cancelTimeout = 2 * time.Second
	// idBytes is the length of job IDs before they are written in hexadecimal digits.
	idBytes = 16
)

// Requests implements the requests service.
type Requests struct {
	Entry *entry.Entry
	// Observe counts a request that has ended towards the service-level objectives.
	Observe burn.Observer
	Log     hclog.Logger
}

// Send implements the service method.
func (s *Requests) Send(ctx context.Context, p *requests.SendPayload, body io.ReadCloser) (*requests.Answer, io.ReadCloser, error) {
	began := time.Now()
	job, admission, err := s.admit(asSubmit(p), body)
	if err != nil {
		s.refused("send", p.Queue, admission, err)
		return nil, nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, deadline(p.DeadlineMs, began))
	defer cancel()
	answer, stream, err := s.run(ctx, &admission, job, p)
	s.finished("send", job, admission, err, began)
	return answer, stream, err
}

// deadline is when the system stops to work on a request, in time for an answer.
func deadline(ms int64, began time.Time) time.Time {
	return began.Add(time.Duration(ms)*time.Millisecond - answerMargin)
}

func asSubmit(p *requests.SendPayload) *requests.SubmitPayload {
	submit := requests.SubmitPayload(*p)
	return &submit
}

// run waits for the end of a job that was handed in. A job without an idempotency key is withdrawn at its deadline: its
// client cannot ask for it again.
func (s *Requests) run(ctx context.Context, a *entry.Admission, job *workload.Job, p *requests.SendPayload) (*requests.Answer, io.ReadCloser, error) {
	if err := s.handIn(ctx, a, job); err != nil {
		return nil, nil, err
	}
	status, err := s.Entry.Await(ctx, a, job.ID)
	if err == nil {
		return answer(job.ID, status)
	}
	if p.IdempotencyKey != nil {
		return nil, nil, newProblem("unknown", unknown, reasonDeadline, job.ID, "the work has not ended; ask again with the same key")
	}
	return nil, nil, s.withdraw(ctx, a, job)
}

// handIn submits a job and tells apart a job that another request handed in under the same ID. Between two owners it
// waits until the deadline: a planned stop of the owner refuses nobody who can wait.
func (s *Requests) handIn(ctx context.Context, a *entry.Admission, job *workload.Job) error {
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
		return newProblem("conflict", notRun, reasonKeyReused, job.ID, "the idempotency key belongs to another request")
	}
	return nil
}

// withdraw cancels a job whose client waits no longer.
func (s *Requests) withdraw(ctx context.Context, a *entry.Admission, job *workload.Job) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	if err := s.Entry.Cancel(ctx, a, job.ID); err != nil {
		return newProblem("unknown", unknown, reasonDeadline, job.ID, "the work has not ended, and cancelling it failed: "+err.Error())
	}
	status, err := s.Entry.Status(ctx, a, job.ID)
	if err == nil && status.State == workload.Cancelled && !status.Begun {
		return newProblem("timeout", notRun, reasonDeadline, job.ID, "no worker was free in time")
	}
	return newProblem("unknown", unknown, reasonDeadline, job.ID, "the work had begun and was cancelled")
}

// answer returns what an ended job left.
func answer(id string, status jobs.Status) (*requests.Answer, io.ReadCloser, error) {
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
			return nil, nil, newProblem("unknown", unknown, reasonInterrupted, id, "the run was cut off and is not repeated")
		}
		return nil, nil, newProblem("failed", failed, reasonFailed, id, "the work failed")
	case workload.Cancelled:
		outcome := notRun
		if status.Begun {
			outcome = unknown
		}
		return nil, nil, newProblem("conflict", outcome, reasonCancelled, id, "the job was cancelled")
	}
	return nil, nil, newProblem("conflict", unknown, reasonNotEnded, id, "the job has not ended")
}

// Submit implements the service method.
func (s *Requests) Submit(ctx context.Context, p *requests.SubmitPayload, body io.ReadCloser) (*requests.Job, error) {
	began := time.Now()
	job, admission, err := s.admit(p, body)
	if err != nil {
		s.refused("submit", p.Queue, admission, err)
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, deadline(p.DeadlineMs, began))
	defer cancel()
	err = s.handIn(ctx, &admission, job)
	s.finished("submit", job, admission, err, began)
	if err != nil {
		return nil, err
	}
	return &requests.Job{ID: job.ID, Status: "queued"}, nil
}

// refused logs a request that was not admitted. Its client caused that, so it counts towards no objective.
func (s *Requests) refused(what, queue string, a entry.Admission, err error) {
	s.Log.Info("request refused", "method", what, "queue", queue, "organisation", a.Organisation, "config", a.ConfigVersion, "err", err)
}

// finished logs and counts a request.
func (s *Requests) finished(what string, job *workload.Job, a entry.Admission, err error, began time.Time) {
	took := time.Since(began)
	status := http.StatusOK
	var p *requests.Problem
	if errors.As(err, &p) {
		status = p.Status
	}
	s.Log.Info("request", "method", what, "id", job.ID, "queue", a.Queue.Name, "organisation", a.Organisation, "config", a.ConfigVersion,
		"status", status, "ms", took.Milliseconds(), "err", err)
	s.Observe(a.Queue.Name, a.Organisation, status, took)
}

// admit checks a request and makes a job of it.
func (s *Requests) admit(p *requests.SubmitPayload, body io.ReadCloser) (*workload.Job, entry.Admission, error) {
	admission, err := s.Entry.AdmitQueue(p.Queue, key(p.Authorization))
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
			Count: 1, AtMostOnce: !p.Idempotent, SavesProgress: p.Resumable, Estimate: time.Duration(p.EstimateMs) * time.Millisecond,
			Resources: catalog.Resources{CPU: int64(p.Cores * 1000), MemoryMB: p.MemoryMb, GPU: p.Accelerators},
		}},
	}
	if p.IdempotencyKey != nil {
		job.ID = digest(idBytes, p.Queue, admission.Organisation, *p.IdempotencyKey)
		job.Fingerprint = digest(idBytes, spec, strconv.FormatBool(p.Idempotent))
	}
	return job, admission, nil
}

func key(authorization *string) string {
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

// digest returns the first bytes of a SHA-256 over values, each with its length, in hexadecimal digits.
func digest(bytes int, values ...string) string {
	h := sha256.New()
	for _, v := range values {
		io.WriteString(h, strconv.Itoa(len(v))+":"+v) // a hash never fails
	}
	return hex.EncodeToString(h.Sum(nil)[:bytes])
}

func readSpec(body io.ReadCloser) (string, error) {
	data, err := io.ReadAll(io.LimitReader(body, workload.MaxSpecBytes+1))
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return "", newProblem("timeout", notRun, reasonSlowBody, "", "the body did not arrive in time")
	case err != nil:
		return "", newProblem("bad_request", notRun, reasonMalformed, "", "the body is incomplete: "+err.Error())
	case len(data) > workload.MaxSpecBytes:
		return "", newProblem("too_large", notRun, reasonTooLarge, "", "the body is larger than "+strconv.Itoa(workload.MaxSpecBytes)+" bytes")
	case !utf8.Valid(data):
		return "", newProblem("bad_request", notRun, reasonMalformed, "", "the body is not UTF-8 text")
	}
	return string(data), nil
}

// JobEndpoint implements the service method "job".
func (s *Requests) JobEndpoint(ctx context.Context, p *requests.JobPayload) (*requests.Job, error) {
	status, err := s.status(ctx, p.Queue, p.ID, p.Authorization)
	if err != nil {
		return nil, err
	}
	return view(p.ID, status), nil
}

// JobAnswer implements the service method.
func (s *Requests) JobAnswer(ctx context.Context, p *requests.JobAnswerPayload) (*requests.Answer, io.ReadCloser, error) {
	status, err := s.status(ctx, p.Queue, p.ID, p.Authorization)
	if err != nil {
		return nil, nil, err
	}
	return answer(p.ID, status)
}

// Cancel implements the service method.
func (s *Requests) Cancel(ctx context.Context, p *requests.CancelPayload) (*requests.Job, error) {
	admission, err := s.Entry.AdmitQueue(p.Queue, key(p.Authorization))
	if err != nil {
		return nil, jobProblem(err, p.ID)
	}
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	if err := s.Entry.Cancel(ctx, &admission, p.ID); err != nil {
		return nil, jobProblem(err, p.ID)
	}
	return s.JobEndpoint(ctx, &requests.JobPayload{Queue: p.Queue, ID: p.ID, Authorization: p.Authorization})
}

func (s *Requests) status(ctx context.Context, queue, id string, authorization *string) (jobs.Status, error) {
	admission, err := s.Entry.AdmitQueue(queue, key(authorization))
	if err != nil {
		return jobs.Status{}, jobProblem(err, id)
	}
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	status, err := s.Entry.Status(ctx, &admission, id)
	if err != nil {
		return jobs.Status{}, jobProblem(err, id)
	}
	return status, nil
}

func view(id string, status jobs.Status) *requests.Job {
	res := &requests.Job{ID: id, Status: "queued"}
	switch status.State {
	case workload.Active:
		if status.Begun {
			res.Status = "running"
		}
	case workload.Completed:
		res.Status = "done"
	case workload.Failed:
		res.Status, res.Outcome = "failed", pointer(failed)
		if status.Interrupted {
			res.Outcome = pointer(unknown)
		}
	case workload.Cancelled:
		res.Status, res.Outcome = "cancelled", pointer(notRun)
		if status.Begun {
			res.Outcome = pointer(unknown)
		}
	}
	return res
}
