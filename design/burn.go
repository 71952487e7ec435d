package design

import (
	. "goa.design/goa/v3/dsl" //lint:ignore ST1001 the goa language is meant to be imported this way
)

// BurnReport is the burn of every service-level objective.
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
	Attribute("latency_ms", Int64, "Maximum latency of a good request in milliseconds")
	Attribute("window_hours", Int64, "Window of the error budget in hours")
	Attribute("budget_left", Float64, "Unused fraction of the error budget; negative if the budget is overspent")
	Attribute("windows", ArrayOf(BurnWindow), "Burn per window, shortest first, followed by the objective's own window")
	Attribute("history", ArrayOf(BurnPoint), "Counts of the last 24 hours in buckets of 20 minutes, oldest first")
	Required("name", "queue", "organisation", "target", "latency_ms", "window_hours", "budget_left", "windows", "history")
})

// BurnWindow is the burn in one sliding window.
var BurnWindow = Type("BurnWindow", func() {
	Attribute("seconds", Int64, "Length of the window in seconds")
	Attribute("good", UInt64, "Requests that met the objective")
	Attribute("bad", UInt64, "Requests that missed the objective")
	Attribute("burn_rate", Float64, "Error rate as a multiple of the rate that exhausts the error budget exactly at the end of the objective's window")
	Required("seconds", "good", "bad", "burn_rate")
})

// BurnPoint holds the counts of one bucket.
var BurnPoint = Type("BurnPoint", func() {
	Attribute("good", UInt64)
	Attribute("bad", UInt64)
	Required("good", "bad")
})
