package link

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/ingress"
	"github.com/pollenford/pollenford/internal/jobs"
	"github.com/pollenford/pollenford/internal/workload"
)

func isRetriable(err error) bool {
	var r *jobs.Rejection
	return errors.As(err, &r) && r.RetryAfter > 0 && !r.Permanent && !r.Overloaded
}

// Guards against an owner that keeps messages without bound: one that it has no memory for, to read or to decode, is
// rejected, does not reach the service, and leaves the connection to others.
func TestMessageWithoutRoomIsRejected(t *testing.T) {
	s := &service{}
	limits := ingress.DefaultLimits(0, 0)
	limits.MemoryBytes = 512 << 10
	server := httptest.NewServer(&Server{
		Incarnation: "one", Owner: func() jobs.Service { return s }, Catalog: func() *catalog.Catalog { return nil },
		Log: hclog.NewNullLogger(), Ingress: ingress.New(limits, hclog.NewNullLogger(), tally.NoopScope),
	})
	t.Cleanup(server.Close)
	client, err := Dial(t.Context(), strings.TrimPrefix(server.URL, "http://"), "one", 0, nil, func() {})
	if err != nil {
		t.Fatal(err)
	}
	for _, size := range []int{50_000, 400_000} { // the first can be read, but not decoded
		if err := client.AtVersion(1).Submit(t.Context(), &workload.Job{ID: "a", Spec: strings.Repeat("s", size)}); !isRetriable(err) {
			t.Errorf("%d bytes: %v, want a rejection", size, err)
		}
	}
	if s.calls != 0 {
		t.Errorf("%d calls reached the owner", s.calls)
	}
	for range 3 { // the memory of the others is free again
		if err := client.AtVersion(1).Submit(t.Context(), &workload.Job{ID: "a", Spec: strings.Repeat("s", 10_000)}); err != nil {
			t.Error(err)
		}
	}
}

// Guards against an entry that holds more than it can send in the time for which clients wait.
func TestFullConnectionRejectsCalls(t *testing.T) {
	s := &service{}
	client := connect(t, s, nil)
	client.waiting.Store(maxWaitingBytes - 10)
	start := time.Now()
	if err := client.AtVersion(2).Submit(t.Context(), &workload.Job{ID: "a"}); !isRetriable(err) || s.calls != 0 {
		t.Errorf("%v after %v, %d calls; want a rejection", err, time.Since(start), s.calls)
	}
	client.waiting.Store(0)
	if err := client.AtVersion(2).Submit(t.Context(), &workload.Job{ID: "a"}); err != nil {
		t.Error(err)
	}
}

// Guards against a change of the encoding in which the ID is not the first field: a refused request would get no answer.
func TestIDIsReadFromTheBeginning(t *testing.T) {
	for _, id := range []uint64{1, 23, 24, 70_000, 1 << 40} {
		data, err := cbor.Marshal(request{ID: id, Kind: submit, Job: &workload.Job{ID: "a"}, Queue: "q", Version: 3, TimeoutMS: 5})
		if err != nil {
			t.Fatal(err)
		}
		if got, err := requestID(data[:12]); err != nil || got != id {
			t.Errorf("%d, %v; want %d", got, err, id)
		}
	}
	if _, err := requestID([]byte{0xff, 1, 1}); err == nil {
		t.Error("a malformed beginning has an ID")
	}
}
