package owner

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics counts the owner's decisions. Tag sets are fixed, so the cost does not grow with the work.
type metrics struct {
	accepted, rejected, cancelled            tally.Counter
	starts, startsRefused, startsUnanswered  tally.Counter
	unansweredStartsListed                   tally.Counter // runs that were listed although their start got no answer
	runsLost, maintenanceStarts, moves       tally.Counter
	preempted, placementRounds               tally.Counter
	zoneEvictions                            tally.Counter
	rejectedForMemory                        tally.Counter            // jobs and cancels
	startsWithheld                           tally.Counter            // decided before the evacuation of their zone
	recordsRefused                           tally.Counter            // by the store, for good
	checkpointsOmitted                       tally.Counter            // records of progress without all checkpoints
	ended                                    map[string]tally.Counter // jobs by state
	appendLatency, recovery, firstStartDelay tally.Histogram
	active, workers                          tally.Gauge
	// Memory charged for accepted work, its highest value in the term, and for begun work; starts without an answer.
	acceptedBytes, acceptedHighest, begunBytes, startsInFlight tally.Gauge
	// Evacuated zones, and the runs still there.
	zonesEvacuated, evacuatedRuns, evacuatedLongRunning tally.Gauge
	// Calls for advice, requests that wait for one, and steps whose answers are kept.
	adviceCalls, adviceFailed   tally.Counter
	adviceLatency               tally.Histogram
	placementRound              tally.Histogram
	adviceWaiting, advisedSteps tally.Gauge
	// Progress of recoveries; recoveryRecords is that of the last one.
	recoveryPages, recoveryBytes, recoveriesYielded tally.Counter
	recoveryRecords                                 tally.Gauge
}

// durationBuckets are the upper bounds of histograms: 1 ms to 16 s.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

func newMetrics(scope tally.Scope) metrics {
	m := metrics{
		accepted: scope.Counter("jobs_accepted"), rejected: scope.Counter("jobs_rejected"),
		cancelled: scope.Counter("jobs_cancelled"), starts: scope.Counter("starts"),
		startsRefused: scope.Counter("starts_refused"), startsUnanswered: scope.Counter("starts_unanswered"),
		unansweredStartsListed: scope.Counter("unanswered_starts_listed"),
		runsLost:               scope.Counter("runs_lost"), maintenanceStarts: scope.Counter("upkeeps"), moves: scope.Counter("moves"),
		preempted: scope.Counter("runs_preempted"), placementRounds: scope.Counter("placement_rounds"),
		rejectedForMemory:  scope.Counter("rejected_for_memory"),
		recordsRefused:     scope.Counter("records_refused"),
		checkpointsOmitted: scope.Counter("checkpoints_omitted"), startsWithheld: scope.Counter("starts_withheld"),
		zoneEvictions:   scope.Counter("zone_evictions"),
		appendLatency:   scope.Histogram("append_latency", durationBuckets),
		recovery:        scope.Histogram("recovery", durationBuckets),
		firstStartDelay: scope.Histogram("first_start", durationBuckets),
		active:          scope.Gauge("jobs_active"), workers: scope.Gauge("workers_held"),
		acceptedBytes: scope.Gauge("accepted_bytes"), acceptedHighest: scope.Gauge("accepted_bytes_highest"),
		begunBytes: scope.Gauge("begun_bytes"), startsInFlight: scope.Gauge("starts_in_flight"),
		zonesEvacuated: scope.Gauge("zones_evacuated"), evacuatedRuns: scope.Gauge("evacuated_zone_runs"),
		evacuatedLongRunning: scope.Gauge("evacuated_zone_long_running"),
		recoveryPages:        scope.Counter("recovery_pages"), recoveryBytes: scope.Counter("recovery_bytes"),
		recoveriesYielded: scope.Counter("recoveries_yielded"), recoveryRecords: scope.Gauge("recovery_records"),
		adviceCalls: scope.Counter("advice_calls"), adviceFailed: scope.Counter("advice_calls_failed"),
		placementRound: scope.Histogram("placement_round", durationBuckets),
		adviceLatency:  scope.Histogram("advice_latency", durationBuckets),
		adviceWaiting:  scope.Gauge("advice_requests_waiting"), advisedSteps: scope.Gauge("advised_steps"),
		ended: map[string]tally.Counter{},
	}
	for _, state := range []string{"completed", "failed", "cancelled"} {
		m.ended[state] = scope.Tagged(map[string]string{"state": state}).Counter("jobs_ended")
	}
	return m
}
