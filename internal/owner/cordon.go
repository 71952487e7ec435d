package owner

import "time"

// cordoned reports whether a worker gets no new work because an order ends it: maintenance of its instance is in
// preparation, an order for the instance is open, or one was carried out and the worker has not answered since. It follows
// from the orders, so that none of them has to be undone when another one ends.
func (o *Owner) cordoned(w *worker) bool {
	return !w.endExpectedSince.IsZero() || o.hasOpenOrder(w.info.Instance) ||
		o.hasOpenOrder(o.fleet.instanceOfWorker[w.info.ID])
}

// hasOpenOrder reports whether an order for an instance is in preparation, on its way, or inherited without an outcome.
func (o *Owner) hasOpenOrder(instance string) bool {
	if _, inherited := o.fleet.inheritedMoves[instance]; inherited {
		return true
	}
	inst := o.fleet.instances[instance]
	return inst != nil && (inst.cordonedFor != nil || inst.orderPending)
}

// expectEnd keeps the workers of an instance cordoned after an order for it was carried out, until they end or answer: an
// order that had been carried out before ends none of them.
func (o *Owner) expectEnd(inst *instance) {
	for _, w := range o.workersOn(inst) {
		w.endExpectedSince = time.Now()
	}
}

// noticeOutlived ends the expectation that an order ends the worker once it answers a heartbeat that was sent later.
func (o *Owner) noticeOutlived(w *worker, sent time.Time) {
	if w.endExpectedSince.IsZero() || !sent.After(w.endExpectedSince) {
		return
	}
	w.endExpectedSince = time.Time{}
	o.replan = true
	o.log.Info("worker outlived an order for its instance: it had been carried out before", "worker", w.info.ID,
		"instance", w.info.Instance)
}
