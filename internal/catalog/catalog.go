// Package catalog holds the active configuration: queues, pools, organisations and limits. A Catalog is immutable.
package catalog

import (
	"slices"
	"strings"
	"time"

	"github.com/pollenford/pollenford/internal/finding"
)

// Queue accepts jobs for one pool.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	// Pool is the pool whose workers run the queue's tasks.
	Pool string
	// Urgency orders queues: lower values come first and may preempt higher ones.
	Urgency int
	// MaxAttempts is the number of failed runs of a task after which its job fails.
	MaxAttempts int
	// SlackFactor times the critical path of a job, plus TargetLatency, is its latency objective.
	SlackFactor   float64
	TargetLatency time.Duration
	// AllowAnonymous reports whether requests need no API key.
	AllowAnonymous bool
	// RequiresAdvice reports whether each run needs a ticket of the placement advice for its step.
	RequiresAdvice bool
}

// Pool is a set of workers.
type Pool struct {
	Name string
	// EnforcesCapacity reports whether the pool's workers reject runs that exceed their capacity.
	EnforcesCapacity bool
	// Standby pools are switched off: their instances are free of charge and run nothing.
	Standby bool
}

// Resources is an amount of a worker's capacity.
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

// Times returns n times r.
func (r Resources) Times(n int64) Resources {
	return Resources{r.CPU * n, r.MemoryMB * n, r.GPU * n}
}

// Min returns the smaller of each of r and s.
func (r Resources) Min(s Resources) Resources {
	return Resources{min(r.CPU, s.CPU), min(r.MemoryMB, s.MemoryMB), min(r.GPU, s.GPU)}
}

// FitsIn reports whether r fits into the available resources.
func (r Resources) FitsIn(available Resources) bool {
	return r.CPU <= available.CPU && r.MemoryMB <= available.MemoryMB && r.GPU <= available.GPU
}

// Organisation is a customer with its API keys, weight and limit.
type Organisation struct {
	Name   string
	Keys   []string
	Weight float64
	// Limit bounds the organisation's usage across all workers; a resource of 0 is unlimited.
	Limit Resources
}

// LimitAllows reports whether usage is within the organisation's limit.
func (o *Organisation) LimitAllows(usage Resources) bool {
	return (o.Limit.CPU == 0 || usage.CPU <= o.Limit.CPU) &&
		(o.Limit.MemoryMB == 0 || usage.MemoryMB <= o.Limit.MemoryMB) &&
		(o.Limit.GPU == 0 || usage.GPU <= o.Limit.GPU)
}

// HTTPLimits bounds the requests of clients.
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
	// Findings lists the problems of the configuration. The operators' tools reject a configuration with findings; one
	// that the platform publishes regardless is applied as far as it is valid.
	Findings finding.List
	// Document is the encoded configuration, for processes that cannot reach the store.
	Document []byte

	keys   map[string]*Organisation
	byHost map[string]*hostRoutes
}

// hostRoutes finds the queue of a path with one look-up for each distinct length of the host's prefixes, because a
// configuration may hold thousands of queues.
type hostRoutes struct {
	byPrefix map[string]*Queue
	lengths  []int // distinct lengths of the prefixes, longest first
}

func (h *hostRoutes) add(q *Queue) {
	if h.byPrefix[q.Prefix] != nil {
		return // the first queue keeps the prefix, check reports the other
	}
	h.byPrefix[q.Prefix] = q
	at, found := slices.BinarySearchFunc(h.lengths, len(q.Prefix), func(length, target int) int { return target - length })
	if !found {
		h.lengths = slices.Insert(h.lengths, at, len(q.Prefix))
	}
}

// New returns the indexed catalog of a configuration, with its findings.
func New(version int64, queues []*Queue, pools []*Pool, organisations []*Organisation, limits HTTPLimits) *Catalog {
	c := &Catalog{
		Version: version, Limits: limits,
		Queues: map[string]*Queue{}, Pools: map[string]*Pool{}, Organisations: map[string]*Organisation{},
		keys: map[string]*Organisation{}, byHost: map[string]*hostRoutes{},
	}
	c.Findings = check(queues, pools, organisations)
	for _, q := range queues {
		c.Queues[q.Name] = q
		host := strings.ToLower(q.Host)
		if c.byHost[host] == nil {
			c.byHost[host] = &hostRoutes{byPrefix: map[string]*Queue{}}
		}
		c.byHost[host].add(q)
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

// Route returns the host's queue with the longest prefix of the path, or nil, and the path after the prefix.
func (c *Catalog) Route(host, path string) (*Queue, string) {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	routes := c.byHost[strings.ToLower(host)]
	if routes == nil {
		return nil, ""
	}
	for _, length := range routes.lengths {
		if length > len(path) {
			continue
		}
		if q := routes.byPrefix[path[:length]]; q != nil {
			return q, path[length:]
		}
	}
	return nil, ""
}

// OrganisationByKey returns the organisation of an API key, or nil.
func (c *Catalog) OrganisationByKey(key string) *Organisation { return c.keys[key] }
