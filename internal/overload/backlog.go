package overload

import (
	"math"
	"time"

	"github.com/pollenford/pollenford/internal/schedule"
)

// Backlog is the work that waits, by urgency and organisation.
type Backlog map[backlogKey]Amount

type backlogKey struct {
	urgency      int
	organisation string
}

// Add adds work of an organisation.
func (b *Backlog) Add(urgency int, organisation string, work Amount) {
	if *b == nil {
		*b = Backlog{}
	}
	key := backlogKey{urgency, organisation}
	(*b)[key] = (*b)[key].plus(work)
}

// upTo returns the work that does not wait for that of the given urgency, by organisation and in all.
func (b Backlog) upTo(urgency int) (byOrganisation map[string]Amount, sum Amount) {
	byOrganisation = map[string]Amount{}
	for key, work := range b {
		if key.urgency <= urgency {
			byOrganisation[key.organisation] = byOrganisation[key.organisation].plus(work)
			sum = sum.plus(work)
		}
	}
	return byOrganisation, sum
}

func (a Amount) plus(b Amount) Amount {
	for k := range a {
		a[k] += b[k]
	}
	return a
}

// maxClaim bounds claims, in multiples of the capacity.
const maxClaim = 1e6

// withinShare reports whether the kept and waiting work of a job's organisation and the job itself are within its fair
// share of the capacity until the job's late objective. Work of other organisations then does not hold up the job.
func (p *Planner) withinShare(j *Job, late time.Duration) bool {
	capacity := p.capacityBy(late)
	waiting, _ := p.backlog.upTo(j.Urgency)
	waiting[j.Organisation] = waiting[j.Organisation].plus(j.work())
	p.claims = p.claims[:0]
	for name, work := range waiting {
		size := 0.0
		for k, w := range work {
			if w > 0 {
				size = max(size, w/max(capacity[k], 1e-9))
			}
		}
		p.claims = append(p.claims, schedule.Claim{Organisation: name, Weight: p.lookUp(name).Weight,
			Requested: int64(math.Ceil(min(size, maxClaim) * shareUnit))})
	}
	shares := schedule.FairShares(shareUnit, p.claims)
	for _, c := range p.claims {
		if c.Organisation == j.Organisation {
			return c.Requested <= shares[c.Organisation]
		}
	}
	return false
}

// capacityBy returns what the whole plan provides by a time; beyond its last point, what it goes on to provide.
func (p *Planner) capacityBy(t time.Duration) Amount {
	at := pointBefore(t)
	a := p.whole[at]
	if at < intervals {
		return a
	}
	for k := range a {
		rate := (p.whole[at][k] - p.whole[at-1][k]) / (points[at] - points[at-1])
		a[k] += rate * (t.Seconds() - points[at])
	}
	return a
}
