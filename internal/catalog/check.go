package catalog

import (
	"strings"

	"github.com/pollenford/pollenford/internal/finding"
)

// check returns all problems of a configuration.
func check(queues []*Queue, pools []*Pool, organisations []*Organisation) finding.List {
	var out finding.List
	known := checkPools(&out, pools)
	checkQueues(&out, queues, known)
	checkOrganisations(&out, organisations)
	return out
}

// names is the set of names of one kind seen so far.
type names map[string]bool

// add records a name and reports a missing or duplicate one.
func (n names) add(out *finding.List, place, kind, name string) {
	switch {
	case name == "":
		out.Add(place, "the %s has no name", kind)
	case n[name]:
		out.Add(place, "another %s has the same name", kind)
	}
	n[name] = true
}

func checkPools(out *finding.List, pools []*Pool) names {
	known := names{}
	for _, p := range pools {
		known.add(out, finding.Pointer("pools", p.Name), "pool", p.Name)
	}
	return known
}

func checkQueues(out *finding.List, queues []*Queue, pools names) {
	known, queueByAddress := names{}, map[string]string{}
	for _, q := range queues {
		at := func(field string) string { return finding.Pointer("queues", q.Name, field) }
		known.add(out, at("name"), "queue", q.Name)
		if !pools[q.Pool] {
			out.Add(at("pool"), "there is no pool %q", q.Pool)
		}
		address := strings.ToLower(q.Host) + q.Prefix
		if other, duplicate := queueByAddress[address]; duplicate {
			out.Add(at("prefix"), "queue %q has the same host and prefix", other)
		}
		queueByAddress[address] = q.Name
		if !strings.HasPrefix(q.Prefix, "/") {
			out.Add(at("prefix"), "must begin with a slash, is %q", q.Prefix)
		}
		if q.Urgency < 0 {
			out.Add(at("urgency"), "must not be negative, is %d", q.Urgency)
		}
		if q.SlackFactor < 0 || q.TargetLatency < 0 {
			out.Add(at("objective"), "must not be negative, is %v times the work and %v", q.SlackFactor, q.TargetLatency)
		}
	}
}

func checkOrganisations(out *finding.List, organisations []*Organisation) {
	known, organisationByKey := names{}, map[string]string{}
	for _, o := range organisations {
		at := func(field string) string { return finding.Pointer("organisations", o.Name, field) }
		known.add(out, at("name"), "organisation", o.Name)
		if o.Weight < 0 {
			out.Add(at("weight"), "must not be negative, is %v", o.Weight)
		}
		if o.Limit.CPU < 0 || o.Limit.MemoryMB < 0 || o.Limit.GPU < 0 {
			out.Add(at("limit"), "must not be negative, is %+v", o.Limit)
		}
		for _, key := range o.Keys {
			if other, duplicate := organisationByKey[key]; duplicate {
				out.Add(at("keys"), "a key also belongs to organisation %q", other)
			}
			organisationByKey[key] = o.Name
		}
	}
}
