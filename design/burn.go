package design

import (
	. "goa.design/goa/v3/dsl" //lint:ignore ST1001 the goa language is meant to be imported this way
)

// BurnReport is the service-level burn of every objective.
var BurnReport = Type("BurnReport", func() {
	Attribute("at", String, "Time of the report (RFC 3339)", func() { Format(FormatDateTime) })
	Attribute("members", ArrayOf(String), "Entry instances whose counters are included")
	Attribute("objectives", ArrayOf(BurnObjective))
	Required("at", "members", "objectives")
})

// BurnObjective is the burn of one objective.
var BurnObjective = Type("BurnObjective", func() {
	Attribute("name", String)
	Attribute("queue", String, "Queue that the objective covers, or empty")
	Attribute("organisation", String, "Organisation that the objective covers, or empty")
	Attribute("target", Float64, "Fraction of good requests, between 0 and 1")
	Attribute("latency_ms", Int64, "Time in milliseconds within which a request counts as good")
	Attribute("window_hours", Int64, "Window of the error budget in hours")
	Attribute("budget_left", Float64, "Unused fraction of the error budget; negative when it is overspent")
	Attribute("windows", ArrayOf(BurnWindow), "Burn per window, shortest first; the last is the objective's window")
	Attribute("history", ArrayOf(BurnPoint), "Parts of the last 24 hours, oldest first")
	Required("name", "queue", "organisation", "target", "latency_ms", "window_hours", "budget_left", "windows", "history")
})

// BurnWindow counts the requests of a sliding window.
var BurnWindow = Type("BurnWindow", func() {
	Attribute("seconds", Int64, "Length of the window in seconds")
	Attribute("good", UInt64, "Requests that met the objective")
	Attribute("bad", UInt64, "Requests that missed the objective")
	Attribute("burn_rate", Float64, "Error rate as a multiple of the rate that uses up the budget exactly at the end of the window")
	Required("seconds", "good", "bad", "burn_rate")
})

// BurnPoint counts the requests of one part of the history.
var BurnPoint = Type("BurnPoint", func() {
	Attribute("good", UInt64)
	Attribute("bad", UInt64)
	Required("good", "bad")
})
