// Package catalog holds the configuration in force: queues, pools, organisations and limits. A Catalog is immutable.
package catalog

import (
	"sort"
	"strings"
	"time"

	"github.com/pollenford/pollenford/internal/finding"
)

// Queue takes jobs for one pool.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	// Pool is the pool whose workers run the queue's tasks.
	Pool string
	// Urgency orders queues: 0 comes first and may preempt others.
	Urgency int
	// MaxAttempts is how many runs of a task may fail.
	MaxAttempts int
	// SlackFactor times the longest chain of work, plus TargetLatency, is the latency objective of a job.
	SlackFactor   float64
	TargetLatency time.Duration
	// AllowAnonymous queues take jobs without a key.
	AllowAnonymous bool
	// RequiresAdvice queues need a ticket of the placement advice for each step.
	RequiresAdvice bool
}

// Pool is a set of workers.
type Pool struct {
	Name string
	// EnforcesCapacity workers refuse what does not fit.
	EnforcesCapacity bool
	// Standby pools are switched off: their instances are free of charge and run nothing.
	Standby bool
}

// Resources are an amount of a worker's capacity.
type Resources struct {
	CPU      int64 // thousandths of a core
	MemoryMB int64
	GPU      int64
}

// Add returns r + s.
func (r Resources) Add(s Resources) Resources {
	return Resources{r.CPU + s.CPU, r.MemoryMB + s.MemoryMB, r.GPU + s.GPU}
}

// Sub returns r - s.
func (r Resources) Sub(s Resources) Resources {
	return Resources{r.CPU - s.CPU, r.MemoryMB - s.MemoryMB, r.GPU - s.GPU}
}

// FitsIn reports whether r fits into room.
func (r Resources) FitsIn(room Resources) bool {
	return r.CPU <= room.CPU && r.MemoryMB <= room.MemoryMB && r.GPU <= room.GPU
}

// Organisation is a customer with its keys, its share and its limit.
type Organisation struct {
	Name   string
	Keys   []string
	Weight float64
	// Limit is what may run across all workers; a resource of 0 is not limited.
	Limit Resources
}

// LimitAllows reports whether usage is within the organisation's limit.
func (o *Organisation) LimitAllows(usage Resources) bool {
	return (o.Limit.CPU == 0 || usage.CPU <= o.Limit.CPU) &&
		(o.Limit.MemoryMB == 0 || usage.MemoryMB <= o.Limit.MemoryMB) &&
		(o.Limit.GPU == 0 || usage.GPU <= o.Limit.GPU)
}

// HTTPLimits bound the requests of clients.
type HTTPLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Catalog is one version of the configuration.
type Catalog struct {
	Version       int64
	Queues        map[string]*Queue
	Pools         map[string]*Pool
	Organisations map[string]*Organisation
	Limits        HTTPLimits
	// Findings are what is wrong with the configuration. Operators' tools refuse one with findings; what the platform
	// publishes nevertheless is in force as far as it makes sense.
	Findings finding.List
	// Document is what the configuration was decoded from, for instances that the store does not reach.
	Document []byte

	keys   map[string]*Organisation
	byHost map[string][]*Queue // longest prefix first
}

// New indexes a configuration.
func New(version int64, queues []*Queue, pools []*Pool, organisations []*Organisation, limits HTTPLimits) *Catalog {
	c := &Catalog{
		Version: version, Limits: limits,
		Queues: map[string]*Queue{}, Pools: map[string]*Pool{}, Organisations: map[string]*Organisation{},
		keys: map[string]*Organisation{}, byHost: map[string][]*Queue{},
	}
	c.Findings = check(queues, pools, organisations)
	for _, q := range queues {
		c.Queues[q.Name] = q
		host := strings.ToLower(q.Host)
		c.byHost[host] = append(c.byHost[host], q)
	}
	for _, list := range c.byHost {
		sort.SliceStable(list, func(i, k int) bool { return len(list[i].Prefix) > len(list[k].Prefix) })
	}
	for _, p := range pools {
		c.Pools[p.Name] = p
	}
	for _, o := range organisations {
		c.Organisations[o.Name] = o
		for _, key := range o.Keys {
			c.keys[key] = o
		}
	}
	return c
}

// Route returns the queue of a request and the rest of the path, or nil. The longest prefix wins.
func (c *Catalog) Route(host, path string) (*Queue, string) {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	for _, q := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, q.Prefix) {
			return q, path[len(q.Prefix):]
		}
	}
	return nil, ""
}

// OrganisationByKey returns the organisation that holds a key, or nil.
func (c *Catalog) OrganisationByKey(key string) *Organisation { return c.keys[key] }
