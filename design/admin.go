package design

import (
	"maps"
	"slices"

	. "goa.design/goa/v3/dsl" //lint:ignore ST1001 the goa language is meant to be imported this way
)

func sortedNames(statuses map[string]int) []string { return slices.Sorted(maps.Keys(statuses)) }

var adminProblems = map[string]int{
	"bad_request":  StatusBadRequest,
	"unauthorized": StatusUnauthorized,
	"not_found":    StatusNotFound,
	"refused":      StatusUnprocessableEntity,
	"conflict":     StatusPreconditionFailed,
	"unavailable":  StatusServiceUnavailable,
	"unknown":      StatusGatewayTimeout,
}

func adminPayload(attributes func()) func() {
	return func() {
		Attribute("authorization", String, "Bearer scheme followed by the operator token")
		if attributes != nil {
			attributes()
		}
	}
}

// adminHTTP declares the headers of all administration methods.
func adminHTTP() { Header("authorization:Authorization") }

// Config is a version of the configuration in the format of the platform.
var Config = Type("Config", func() {
	Attribute("version", Int64, "Configuration version")
	Attribute("document", Any, "Configuration document")
	Required("version", "document")
})

// WorkerView is the state of a worker.
var WorkerView = Type("WorkerView", func() {
	Attribute("id", String)
	Attribute("pool", String)
	Attribute("zone", String, "Availability zone")
	Attribute("rack", String)
	Attribute("instance", String, "Instance that the worker runs on")
	Attribute("phase", String, "Whether the worker accepts new runs", func() { Enum("in-service", "draining", "lost") })
	Attribute("runs", Int, "Number of runs placed on the worker")
	Attribute("used_cores", Float64, "Cores used by these runs")
	Attribute("cores", Float64, "Cores of the worker")
	Required("id", "pool", "zone", "rack", "instance", "phase", "runs", "used_cores", "cores")
})

// WaveView is a maintenance wave.
var WaveView = Type("WaveView", func() {
	Attribute("number", Int64)
	Attribute("status", String, func() { Enum("active", "completed") })
	Attribute("total", Int, "Number of instances in the wave")
	Attribute("begun", Int, "Number of instances whose maintenance has started or finished")
	Required("number", "status", "total", "begun")
})

// FleetView is the owner's view of workers and maintenance waves.
var FleetView = Type("FleetView", func() {
	Attribute("owner", String, "Entry instance that is the elected owner")
	Attribute("term", Int64, "Fencing token of the owner, which increases with every change of the owner")
	Attribute("workers", ArrayOf(WorkerView))
	Attribute("waves", ArrayOf(WaveView))
	Required("owner", "term", "workers", "waves")
})

// ZoneRequest is the state of the request to evacuate a zone.
var ZoneRequest = Type("ZoneRequest", func() {
	Attribute("zone", String, "Availability zone")
	Attribute("evacuated", Boolean, "Whether the evacuation is requested")
	Required("zone", "evacuated")
})

// EvacuationView is the evacuation of a zone.
var EvacuationView = Type("EvacuationView", func() {
	Attribute("zone", String, "Availability zone")
	Attribute("short_runs", Int, "Number of runs still in the zone that end by themselves")
	Attribute("long_running_runs", Int, "Number of runs of long-running tasks still in the zone")
	Required("zone", "short_runs", "long_running_runs")
})

// EvacuationList is the owner's view of the evacuations.
var EvacuationList = Type("EvacuationList", func() {
	Attribute("evacuations", ArrayOf(EvacuationView))
	Required("evacuations")
})

// zonePayload is the payload of a request about a zone. A record of its name fits the store's limit for a key.
func zonePayload() func() {
	return adminPayload(func() {
		Attribute("zone", String, "Availability zone", func() { MinLength(1); MaxLength(60) })
		Required("zone")
	})
}

var _ = Service("admin", func() {
	Description("Administration by operators.")
	declareProblems("/v1/admin", adminProblems)

	Method("get_config", func() {
		Payload(adminPayload(nil))
		Result(Config)
		HTTP(func() { GET("/config"); adminHTTP(); Response(StatusOK) })
	})
	Method("patch_config", func() {
		Description("Patches the configuration. The body is a JSON merge patch or, with the media type application/json-patch+json, a JSON patch.")
		Payload(adminPayload(func() {
			Attribute("if_match", String, "Configuration version that the patch applies to")
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
		Description("Returns the owner, the workers and the maintenance waves.")
		Payload(adminPayload(nil))
		Result(FleetView)
		HTTP(func() { GET("/fleet"); adminHTTP(); Response(StatusOK) })
	})
	Method("start_wave", func() {
		Description("Starts a maintenance wave.")
		Payload(adminPayload(func() {
			Attribute("number", Int64, "Unique number of the wave", func() { Minimum(1) })
			Attribute("instances", ArrayOf(String), func() { MinLength(1) })
			Attribute("at_once", Int, "Maximum number of instances of the wave in maintenance at the same time", func() {
				Minimum(1)
				Default(1)
			})
			Attribute("deadline_s", Float64, "Time in seconds within which the wave should finish", func() { Default(0) })
			Required("number", "instances")
		}))
		Result(WaveView)
		HTTP(func() { POST("/waves"); adminHTTP(); Response(StatusCreated) })
	})
	Method("evacuate_zone", func() {
		Description("Requests that nothing more is started in an availability zone.")
		Payload(zonePayload())
		Result(ZoneRequest)
		HTTP(func() { PUT("/evacuations/{zone}"); adminHTTP(); Response(StatusOK) })
	})
	Method("restore_zone", func() {
		Description("Removes the request to evacuate an availability zone.")
		Payload(zonePayload())
		Result(ZoneRequest)
		HTTP(func() { DELETE("/evacuations/{zone}"); adminHTTP(); Response(StatusOK) })
	})
	Method("list_evacuations", func() {
		Description("Returns the evacuated zones with the runs still there, as the owner knows them.")
		Payload(adminPayload(nil))
		Result(EvacuationList)
		HTTP(func() { GET("/evacuations"); adminHTTP(); Response(StatusOK) })
	})
	Method("report_burn", func() {
		Description("Reports the error budgets and burn rates of the service-level objectives as counted by this entry instance.")
		Payload(adminPayload(nil))
		Result(BurnReport)
		HTTP(func() { GET("/burn"); adminHTTP(); Response(StatusOK) })
	})
})
