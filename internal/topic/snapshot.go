package topic

import "context"

// Page is a page of a snapshot.
type Page struct {
	Records []Record
	// Next is the key to continue after, "" on the last page.
	Next string
}

// Bytes returns the size of the page's keys and values.
func (p Page) Bytes() (n int) {
	for _, r := range p.Records {
		n += len(r.Key) + len(r.Value)
	}
	return n
}

// PagedSnapshot follows the pages of a snapshot, each read by a call of its own. A reader that repeats a failed call
// continues after the last page that arrived. The pages fit together only if nothing is appended meanwhile.
type PagedSnapshot struct {
	// Records, Pages and Bytes count what was read.
	Records, Pages, Bytes int

	after    string
	complete bool
}

// ReadNext returns a call that reads the page after the last one. It does not add the page, so that attempts may
// overlap. A record that cannot be read is an error.
func (s *PagedSnapshot) ReadNext(store Store, name Name) func(ctx context.Context) (Page, error) {
	after := s.after
	return func(ctx context.Context) (Page, error) {
		records, next, _, err := store.SnapshotPage(ctx, name, after)
		if err == nil {
			err = firstUnreadable(records)
		}
		return Page{Records: records, Next: next}, err
	}
}

// Add adds the page that a call of ReadNext returned.
func (s *PagedSnapshot) Add(p Page) {
	s.Records += len(p.Records)
	s.Pages++
	s.Bytes += p.Bytes()
	s.after, s.complete = p.Next, p.Next == ""
}

// Complete reports whether the last page was added.
func (s *PagedSnapshot) Complete() bool { return s.complete }
