// Package design describes the HTTP APIs for clients and operators in the goa language. Package gen is generated
// from it by "go tool goa gen github.com/pollenford/pollenford/design".
package design

import (
	. "goa.design/goa/v3/dsl" //lint:ignore ST1001 the goa language is meant to be imported this way
)

var _ = API("pollenford", func() {
	Title("pollenford")
	Description("Fleet capacity and maintenance manager: jobs of organisations, and administration by operators.")
	Version("1")
	HTTP(func() { Consumes("application/json") })
})

// Problem is the error body of every operation (RFC 9457).
var Problem = Type("Problem", func() {
	ErrorName("name", String, "Error name", func() { Meta("struct:error:name") })
	Attribute("type", String, "URI reference that identifies the problem type")
	Attribute("title", String, "Short summary of the problem type")
	Attribute("status", Int, "HTTP status")
	Attribute("detail", String, "Explanation specific to this request")
	Attribute("outcome", String, "Known outcome of the work", func() { Enum("not-run", "failed", "unknown") })
	Attribute("reason", String, "Stable reason code")
	Attribute("job_id", String, "Job ID")
	Attribute("retry_after", Int, "Time in seconds after which another attempt may succeed")
	Attribute("current_version", Int64, "Current configuration version, for conflicts")
	Attribute("findings", ArrayOf(Finding), "All validation errors")
	Required("name", "type", "title", "status", "detail")
})

// Finding is a validation error and its location.
var Finding = Type("Finding", func() {
	Attribute("place", String, "JSON pointer to the invalid value")
	Attribute("message", String, "Description of the error")
	Required("place", "message")
})

// declareProblems declares the errors and the base path of a service in one HTTP block: a second block would replace
// the first.
func declareProblems(path string, statuses map[string]int) {
	for _, name := range sortedNames(statuses) {
		Error(name, Problem)
	}
	HTTP(func() {
		Path(path)
		for _, name := range sortedNames(statuses) {
			Response(name, statuses[name], func() {
				ContentType("application/problem+json")
				Header("retry_after:Retry-After")
			})
		}
	})
}

var _ = Service("health", func() {
	Description("Liveness and readiness for the platform's load balancer.")
	declareProblems("/", map[string]int{"not_ready": StatusServiceUnavailable})
	Method("live", func() {
		Result(String)
		HTTP(func() {
			GET("/healthz")
			Response(StatusOK, func() { ContentType("text/plain") })
		})
	})
	Method("ready", func() {
		Result(String)
		HTTP(func() {
			GET("/readyz")
			Response(StatusOK, func() { ContentType("text/plain") })
		})
	})
	Files("/openapi.json", "gen/http/openapi3.json", func() { Description("OpenAPI document") })
})
