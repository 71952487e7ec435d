package design

import (
	. "goa.design/goa/v3/dsl" //lint:ignore ST1001 the goa language is meant to be imported this way
)

var requestProblems = map[string]int{
	"bad_request":  StatusBadRequest,
	"unauthorized": StatusUnauthorized,
	"not_found":    StatusNotFound,
	"timeout":      StatusRequestTimeout,
	"conflict":     StatusConflict,
	"too_large":    StatusRequestEntityTooLarge,
	"impossible":   StatusUnprocessableEntity,
	"busy":         StatusTooManyRequests,
	"failed":       StatusBadGateway,
	"unavailable":  StatusServiceUnavailable,
	"unknown":      StatusGatewayTimeout,
}

func requestPayload() {
	Attribute("queue", String, "Queue name")
	Attribute("authorization", String, "Bearer scheme followed by the organisation's key; optional for queues that allow anonymous access")
	Attribute("idempotency_key", String, "Key chosen by the client; requests with the same key refer to the same job", func() { MaxLength(255) })
	Attribute("idempotent", Boolean, "Whether the work may run more than once", func() { Default(false) })
	Attribute("resumable", Boolean, "Whether a run saves checkpoints from which a later run resumes", func() { Default(false) })
	Attribute("deadline_ms", Int64, "Time in milliseconds within which the client needs the answer", func() {
		Minimum(1)
		Maximum(600_000)
		Default(30_000)
	})
	Attribute("estimate_ms", Int64, "Estimated run time in milliseconds", func() {
		Minimum(0)
		Default(0)
	})
	Attribute("cores", Float64, "Processor cores that the work requires", func() {
		Minimum(0)
		Default(1)
	})
	Attribute("memory_mb", Int64, "Memory in megabytes that the work requires", func() {
		Minimum(0)
		Default(0)
	})
	Attribute("accelerators", Int64, "Number of accelerators that the work requires", func() {
		Minimum(0)
		Default(0)
	})
	Required("queue")
}

func requestHeaders() {
	Header("authorization:Authorization")
	Header("idempotency_key:Idempotency-Key")
	Header("idempotent:Pollenford-Idempotent")
	Header("resumable:Pollenford-Resumable")
	Header("deadline_ms:Pollenford-Deadline-Ms")
	Header("estimate_ms:Pollenford-Estimate-Ms")
	Header("cores:Pollenford-Cores")
	Header("memory_mb:Pollenford-Memory-Mb")
	Header("accelerators:Pollenford-Accelerators")
}

// Answer describes the answer of a completed job. The body is streamed separately.
var Answer = Type("Answer", func() {
	Attribute("job_id", String, "Job ID")
	Attribute("content_type", String, "Media type of the answer")
	Attribute("length", Int64, "Length of the answer in bytes")
	Required("job_id", "content_type", "length")
})

func answerResponse() {
	SkipResponseBodyEncodeDecode()
	Response(StatusOK, func() {
		Header("job_id:Pollenford-Job")
		Header("content_type:Content-Type")
		Header("length:Content-Length")
	})
}

// Job holds the state of a job of one task.
var Job = Type("Job", func() {
	Attribute("id", String, "Job ID")
	Attribute("status", String, "State of the job", func() {
		Enum("queued", "running", "done", "cancelled", "failed")
	})
	Attribute("outcome", String, "Known outcome of the work if it has no answer", func() { Enum("not-run", "failed", "unknown") })
	Required("id", "status")
})

func jobPayload() {
	Attribute("queue", String, "Queue name")
	Attribute("id", String, "Job ID")
	Attribute("authorization", String, "Bearer scheme followed by the organisation's key")
	Required("queue", "id")
}

var _ = Service("requests", func() {
	Description("Work of organisations: requests that wait for the answer, and jobs whose state and answer are fetched later.")
	declareProblems("/v1/queues/{queue}", requestProblems)

	Method("send", func() {
		Description("Runs a request as a job of one task and returns its answer.")
		Payload(requestPayload)
		Result(Answer)
		HTTP(func() {
			POST("/requests")
			requestHeaders()
			SkipRequestBodyEncodeDecode()
			answerResponse()
		})
	})
	Method("submit", func() {
		Description("Accepts long-running work as a job of one task. The answer is fetched later from the job.")
		Payload(requestPayload)
		Result(Job)
		HTTP(func() {
			POST("/jobs")
			requestHeaders()
			SkipRequestBodyEncodeDecode()
			Response(StatusAccepted)
		})
	})
	Method("job", func() {
		Description("Returns the state of a job.")
		Payload(jobPayload)
		Result(Job)
		HTTP(func() {
			GET("/jobs/{id}")
			Header("authorization:Authorization")
			Response(StatusOK)
		})
	})
	Method("job_answer", func() {
		Description("Returns the answer of a completed job.")
		Payload(jobPayload)
		Result(Answer)
		HTTP(func() {
			GET("/jobs/{id}/answer")
			Header("authorization:Authorization")
			answerResponse()
		})
	})
	Method("cancel", func() {
		Description("Cancels a job and returns its state. The outcome shows whether the work may have run.")
		Payload(jobPayload)
		Result(Job)
		HTTP(func() {
			DELETE("/jobs/{id}")
			Header("authorization:Authorization")
			Response(StatusOK)
		})
	})
})
