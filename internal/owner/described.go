package owner

import "github.com/pollenford/pollenford/internal/workers"

// described reports whether the directory entry in use describes the incarnation that is up. A heartbeat may find a later
// one before the directory names it, and its labels, rack, capacity and pool may differ. An entry without an incarnation
// counts for any.
func (w *worker) described() bool {
	return w.entryIncarnation == 0 || w.entryIncarnation == w.info.Incarnation
}

// attributeEntry returns an entry with the incarnation that it stands for. One that names none stands for the incarnation
// that is up, unless the entry in use names that.
func (w *worker) attributeEntry(info workers.Info) workers.Info {
	if info.Incarnation == 0 && (w.entryIncarnation == 0 || !w.described()) {
		info.Incarnation = w.info.Incarnation
	}
	return info
}
