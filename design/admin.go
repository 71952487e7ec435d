package design

import (
	"maps"
	"slices"

	. "goa.design/goa/v3/dsl" //lint:ignore ST1001 the goa language is meant to be imported this way
)

func sortedNames(names map[string]int) []string { return slices.Sorted(maps.Keys(names)) }

var adminProblems = map[string]int{
	"bad_request":  StatusBadRequest,
	"unauthorized": StatusUnauthorized,
	"not_found":    StatusNotFound,
	"refused":      StatusUnprocessableEntity,
	"conflict":     StatusPreconditionFailed,
	"unavailable":  StatusServiceUnavailable,
	"unknown":      StatusGatewayTimeout,
}

func adminPayload(more func()) func() {
	return func() {
		Attribute("authorization", String, "Bearer and the operator token")
		if more != nil {
			more()
		}
	}
}

// adminHTTP adds the headers that every administration call has.
func adminHTTP() { Header("authorization:Authorization") }

// Config is a version of the configuration in the format of the platform.
var Config = Type("Config", func() {
	Attribute("version", Int64, "Configuration version")
	Attribute("document", Any, "Configuration document")
	Required("version", "document")
})

// WorkerView is a worker as the operators see it.
var WorkerView = Type("WorkerView", func() {
	Attribute("id", String)
	Attribute("pool", String)
	Attribute("zone", String, "Availability zone")
	Attribute("rack", String)
	Attribute("instance", String, "Instance that the worker lives on")
	Attribute("phase", String, "Whether the worker gets new work", func() { Enum("in-service", "draining", "lost") })
	Attribute("runs", Int, "Runs that are placed there")
	Attribute("used_cores", Float64, "Cores that the runs take")
	Attribute("cores", Float64, "Cores that the worker has")
	Required("id", "pool", "zone", "rack", "instance", "phase", "runs", "used_cores", "cores")
})

// WaveView is a maintenance wave.
var WaveView = Type("WaveView", func() {
	Attribute("number", Int64)
	Attribute("status", String, func() { Enum("active", "completed") })
	Attribute("total", Int, "Instances that the wave asks for")
	Attribute("begun", Int, "Instances whose upkeep has begun or is over")
	Required("number", "status", "total", "begun")
})

// FleetView is what the owner believes of workers and waves.
var FleetView = Type("FleetView", func() {
	Attribute("owner", String, "Entry instance that decides")
	Attribute("term", Int64, "Number that rises with every change of the owner")
	Attribute("workers", ArrayOf(WorkerView))
	Attribute("waves", ArrayOf(WaveView))
	Required("owner", "term", "workers", "waves")
})

var _ = Service("admin", func() {
	Description("Administration by operators.")
	problems("/v1/admin", adminProblems)

	Method("get_config", func() {
		Payload(adminPayload(nil))
		Result(Config)
		HTTP(func() { GET("/config"); adminHTTP(); Response(StatusOK) })
	})
	Method("patch_config", func() {
		Description("Patches the configuration. The body is a JSON merge patch or, with the media type application/json-patch+json, a JSON patch.")
		Payload(adminPayload(func() {
			Attribute("if_match", String, "Configuration version that the patch was made for")
			Attribute("content_type", String)
			Required("if_match")
		}))
		Result(Config)
		HTTP(func() {
			PATCH("/config")
			adminHTTP()
			Header("if_match:If-Match")
			Header("content_type:Content-Type")
			SkipRequestBodyEncodeDecode()
			Response(StatusOK)
		})
	})
	Method("show_fleet", func() {
		Description("Returns the owner, the workers and the waves.")
		Payload(adminPayload(nil))
		Result(FleetView)
		HTTP(func() { GET("/fleet"); adminHTTP(); Response(StatusOK) })
	})
	Method("start_wave", func() {
		Description("Starts a maintenance wave.")
		Payload(adminPayload(func() {
			Attribute("number", Int64, "Number that no other wave has", func() { Minimum(1) })
			Attribute("instances", ArrayOf(String), func() { MinLength(1) })
			Attribute("at_once", Int, "Instances that may be down for the wave at a time", func() {
				Minimum(1)
				Default(1)
			})
			Attribute("deadline_s", Float64, "Time in seconds in which the wave is to be over", func() { Default(0) })
			Required("number", "instances")
		}))
		Result(WaveView)
		HTTP(func() { POST("/waves"); adminHTTP(); Response(StatusCreated) })
	})
	Method("report_burn", func() {
		Description("Reports the error budgets and burn rates of the service-level objectives as this entry instance counted them.")
		Payload(adminPayload(nil))
		Result(BurnReport)
		HTTP(func() { GET("/burn"); adminHTTP(); Response(StatusOK) })
	})
})
