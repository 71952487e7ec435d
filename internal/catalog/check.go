package catalog

import (
	"strings"

	"github.com/pollenford/pollenford/internal/finding"
)

// check returns everything that is wrong with a configuration.
func check(queues []*Queue, pools []*Pool, organisations []*Organisation) finding.List {
	var out finding.List
	known := checkPools(&out, pools)
	checkQueues(&out, queues, known)
	checkOrganisations(&out, organisations)
	return out
}

func checkPools(out *finding.List, pools []*Pool) map[string]bool {
	known := map[string]bool{}
	for _, p := range pools {
		place := finding.Pointer("pools", p.Name)
		switch {
		case p.Name == "":
			out.Add(place, "the pool has no name")
		case known[p.Name]:
			out.Add(place, "another pool has the same name")
		}
		known[p.Name] = true
	}
	return known
}

func checkQueues(out *finding.List, queues []*Queue, pools map[string]bool) {
	names, addresses := map[string]bool{}, map[string]string{}
	for _, q := range queues {
		at := func(field string) string { return finding.Pointer("queues", q.Name, field) }
		switch {
		case q.Name == "":
			out.Add(at("name"), "the queue has no name")
		case names[q.Name]:
			out.Add(at("name"), "another queue has the same name")
		}
		names[q.Name] = true
		if !pools[q.Pool] {
			out.Add(at("pool"), "there is no pool %q", q.Pool)
		}
		address := strings.ToLower(q.Host) + q.Prefix
		if other, taken := addresses[address]; taken {
			out.Add(at("prefix"), "queue %q has the same host and prefix", other)
		}
		addresses[address] = q.Name
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
	names, keys := map[string]bool{}, map[string]string{}
	for _, o := range organisations {
		at := func(field string) string { return finding.Pointer("organisations", o.Name, field) }
		switch {
		case o.Name == "":
			out.Add(at("name"), "the organisation has no name")
		case names[o.Name]:
			out.Add(at("name"), "another organisation has the same name")
		}
		names[o.Name] = true
		if o.Weight < 0 {
			out.Add(at("weight"), "must not be negative, is %v", o.Weight)
		}
		if o.Limit.CPU < 0 || o.Limit.MemoryMB < 0 || o.Limit.GPU < 0 {
			out.Add(at("limit"), "must not be negative, is %+v", o.Limit)
		}
		for _, key := range o.Keys {
			if other, taken := keys[key]; taken {
				out.Add(at("keys"), "a key also belongs to organisation %q", other)
			}
			keys[key] = o.Name
		}
	}
}
