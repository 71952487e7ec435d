package owner

import "time"

// roundBuffers holds the memory of the last placement round for the next one: a round of a large fleet needs about a
// megabyte, a hundred times a second.
type roundBuffers struct {
	ready   []readyStep
	atLimit []*job               // of organisations that have reached their limit, with waiting tasks
	views   map[string]*poolView // by pool
	room    map[*job]int         // what further placements may add to the record of a job's progress
	// next is the earliest time of the next round, logged when a long one was last logged.
	next, logged time.Time
}

// view returns an empty view of a pool.
func (b *roundBuffers) view(pool string) *poolView {
	v := b.views[pool]
	if v == nil {
		if b.views == nil {
			b.views = map[string]*poolView{}
		}
		v = &poolView{used: map[string]int64{}, requested: map[string]int64{}}
		b.views[pool] = v
	}
	clear(v.used)
	clear(v.requested)
	*v = poolView{workers: v.workers[:0], candidates: v.candidates[:0], used: v.used, requested: v.requested}
	return v
}

// longRound is the duration from which a placement round gives way to other events.
const longRound = tickInterval

// mayPlace reports whether a placement round may begin now. Rounds that take long, as beside a large backlog, use at most half of
// the event loop's time. Calls that wait for a confirmation after a pause go first, unless the process pauses again and again.
func (o *Owner) mayPlace(now time.Time) bool {
	pausedOnce := o.pauses == o.commit.confirmedPauses+1
	return !now.Before(o.rounds.next) && !(pausedOnce && o.commit.holdsCalls())
}

// placeRound runs a placement round and measures it.
func (o *Owner) placeRound(now time.Time) {
	o.place()
	took := time.Since(now)
	o.metrics.placementRound.RecordDuration(took)
	if took < longRound {
		return
	}
	o.rounds.next = now.Add(2 * took)
	if now.Sub(o.rounds.logged) > time.Second {
		o.rounds.logged = now
		o.log.Warn("placement round took long", "ms", took.Milliseconds(), "steps", len(o.rounds.ready), "jobs", len(o.active))
	}
}

// roundRoom returns roomForPlacements after the placements of this round. It walks the progress of a job once a round.
func (o *Owner) roundRoom(j *job) int {
	room, ok := o.rounds.room[j]
	if !ok {
		room = o.roomForPlacements(j)
		if o.rounds.room == nil {
			o.rounds.room = map[*job]int{}
		}
		o.rounds.room[j] = room
	}
	return room
}
