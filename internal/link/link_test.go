package link

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/jobs"
	"github.com/pollenford/pollenford/internal/workload"
)

// service returns preset results for every call.
type service struct {
	err    error
	status jobs.Status
	fleet  jobs.Fleet
	calls  int
}

func (s *service) Submit(context.Context, *workload.Job) error { s.calls++; return s.err }
func (s *service) Status(context.Context, string, string) (jobs.Status, error) {
	s.calls++
	return s.status, s.err
}
func (s *service) Cancel(context.Context, string, string) error { s.calls++; return s.err }
func (s *service) Await(context.Context, string, string) (jobs.Status, error) {
	return s.status, s.err
}
func (s *service) Pending(context.Context, string) (int, error) { return 7, s.err }
func (s *service) Fleet(context.Context) (jobs.Fleet, error)    { return s.fleet, s.err }

// connect returns a client connected to an owner with configuration version 2.
func connect(t *testing.T, owner jobs.Service, onNewerConfig func([]byte)) *Client {
	t.Helper()
	current := catalog.New(2, nil, nil, nil, catalog.HTTPLimits{})
	current.Document = []byte("version 2")
	server := httptest.NewServer(&Server{
		Incarnation: "one", Owner: func() jobs.Service { return owner },
		Catalog: func() *catalog.Catalog { return current }, Log: hclog.NewNullLogger(),
	})
	t.Cleanup(server.Close)
	client, err := Dial(t.Context(), strings.TrimPrefix(server.URL, "http://"), "one", 0, onNewerConfig, func() {})
	if err != nil {
		t.Fatal(err)
	}
	return client
}

// Guards against results that change on the way: the caller receives every result and error of the owner, and
// ErrOutcomeUnknown for errors that the protocol does not carry.
func TestResultsArriveUnchanged(t *testing.T) {
	s := &service{}
	client := connect(t, s, func([]byte) { t.Error("unexpected configuration received") }).AtVersion(2)
	rejection := &jobs.Rejection{Reason: "full", RetryAfter: time.Second, Overloaded: true}
	for _, c := range []struct {
		err  error
		want func(error) bool
	}{
		{nil, func(err error) bool { return err == nil }},
		{jobs.ErrNoSuchJob, func(err error) bool { return errors.Is(err, jobs.ErrNoSuchJob) }},
		{errors.New("odd"), func(err error) bool { return errors.Is(err, jobs.ErrOutcomeUnknown) }},
		{rejection, func(err error) bool {
			var got *jobs.Rejection
			return errors.As(err, &got) && *got == *rejection
		}},
	} {
		s.err = c.err
		if err := client.Submit(t.Context(), &workload.Job{ID: "a"}); !c.want(err) {
			t.Errorf("%v arrived as %v", c.err, err)
		}
	}
	s.err = nil
	s.status = jobs.Status{State: workload.Failed, Begun: true, StartUnconfirmed: true, Interrupted: true, Fingerprint: "f", Answer: "a"}
	if status, err := client.Await(t.Context(), "a", "org"); err != nil || status != s.status {
		t.Errorf("%+v %v", status, err)
	}
	s.fleet = jobs.Fleet{Owner: "o", Fence: 3, Workers: []jobs.Worker{{ID: "w", Phase: jobs.Lost}},
		Waves: []jobs.Wave{{Number: 1, Completed: true}}}
	if f, err := client.Fleet(t.Context()); err != nil || f.Owner != "o" || f.Workers[0] != s.fleet.Workers[0] ||
		f.Waves[0] != s.fleet.Waves[0] {
		t.Errorf("%+v %v", f, err)
	}
	if n, err := client.Pending(t.Context(), "q"); err != nil || n != 7 {
		t.Errorf("%d %v", n, err)
	}
}

// Guards against serving requests that were admitted by an old configuration, such as those of a suspended instance:
// they have no effect, and the caller receives the newer configuration even if it cannot reach the store.
func TestStaleConfigurationIsRejected(t *testing.T) {
	s := &service{}
	received := ""
	client := connect(t, s, func(document []byte) { received = string(document) })
	if err := client.AtVersion(1).Submit(t.Context(), &workload.Job{ID: "a"}); !errors.Is(err, jobs.ErrStaleConfig) || s.calls != 0 {
		t.Errorf("%v, %d calls reached the owner", err, s.calls)
	}
	if received != "version 2" {
		t.Errorf("received configuration %q", received)
	}
	if err := client.AtVersion(2).Submit(t.Context(), &workload.Job{ID: "a"}); err != nil || s.calls != 1 {
		t.Errorf("with the newer configuration: %v, %d calls", err, s.calls)
	}
}

// Guards against calls that reach a different process at the owner's address.
func TestProcessMismatch(t *testing.T) {
	server := httptest.NewServer(&Server{Incarnation: "two", Log: hclog.NewNullLogger()})
	t.Cleanup(server.Close)
	if _, err := Dial(t.Context(), strings.TrimPrefix(server.URL, "http://"), "one", 0, nil, func() {}); !errors.Is(err, ErrProcessMismatch) {
		t.Errorf("%v", err)
	}
}

// FuzzRequest guards the owner against peer requests from another release or a faulty sender: each gets a response and
// none crashes the process.
func FuzzRequest(f *testing.F) {
	for _, req := range []request{
		{}, {Kind: submit}, {Kind: submit, Job: &workload.Job{ID: "a", Steps: []workload.Step{{Count: 1}}}}, {Kind: await, JobID: "a"},
		{Kind: fleet, Version: 9}, {Kind: 99, TimeoutMS: -1},
	} {
		data, err := cbor.Marshal(req)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	s := &Server{Owner: func() jobs.Service { return &service{} }, Catalog: func() *catalog.Catalog { return nil },
		Log: hclog.NewNullLogger()}
	f.Fuzz(func(t *testing.T, data []byte) {
		var req request
		if cbor.Unmarshal(data, &req) != nil {
			return
		}
		if _, err := cbor.Marshal(s.dispatch(t.Context(), req)); err != nil {
			t.Error(err)
		}
	})
}

// FuzzResponse guards callers against treating a malformed peer response as success.
func FuzzResponse(f *testing.F) {
	for _, res := range []response{
		{}, {Result: rejected}, {Result: staleConfig, Document: []byte("{}")}, {Result: 77, Status: jobs.Status{State: 9}},
	} {
		data, err := cbor.Marshal(res)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var a response
		if cbor.Unmarshal(data, &a) == nil && a.Result != succeeded && a.err() == nil {
			t.Errorf("result %d treated as success", a.Result)
		}
	})
}

// Guards the detection of an owner whose instance lost power: a peer that does not answer is told from one that closes the
// connection or rejects it.
func TestSilentPeerIsDetected(t *testing.T) {
	lost := make(chan struct{})
	mute := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := websocket.Accept(w, r, nil); err != nil {
			t.Error(err)
		}
		<-lost // reads nothing, so it answers no ping
	}))
	defer mute.Close()
	client, err := Dial(t.Context(), strings.TrimPrefix(mute.URL, "http://"), "one", 0, nil, func() { close(lost) })
	if err != nil {
		t.Fatal(err)
	}
	<-lost
	if !client.Silent() {
		t.Error("the owner does not answer, but does not count as silent")
	}

	deaf, err := net.Listen("tcp", "127.0.0.1:0") // accepts no connection
	if err != nil {
		t.Fatal(err)
	}
	defer deaf.Close()
	if _, err := Dial(t.Context(), deaf.Addr().String(), "one", 0, nil, func() {}); !errors.Is(err, ErrSilent) {
		t.Errorf("dialling an instance that does not answer: %v, want ErrSilent", err)
	}
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	if _, err := Dial(t.Context(), strings.TrimPrefix(closed.URL, "http://"), "one", 0, nil, func() {}); err == nil || errors.Is(err, ErrSilent) {
		t.Errorf("dialling an instance that rejects connections: %v, want another error than ErrSilent", err)
	}
}

// newIdleOwner returns the address of a peer that answers pings but no call, and the requests that it receives.
func newIdleOwner(t *testing.T) (string, <-chan request) {
	requests := make(chan request, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.CloseNow()
		for {
			_, data, err := conn.Read(context.Background())
			if err != nil {
				return
			}
			var req request
			if err := cbor.Unmarshal(data, &req); err != nil {
				t.Error(err)
			}
			requests <- req
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), requests
}

// Guards against calls that wait for ever for an owner that is connected but does not answer them: each call of the service
// ends without a deadline of its caller, one that waits for the end of a job at the longest deadline of a client.
func TestEveryCallIsBounded(t *testing.T) {
	const (
		maxCall     = 11 * time.Second
		maxAwaitMS  = 10 * 60 * 1000
		roundTripMS = 1000
	)
	address, requests := newIdleOwner(t)
	client, err := Dial(t.Context(), address, "one", 0, func([]byte) {}, func() {})
	if err != nil {
		t.Fatal(err)
	}
	service := reflect.TypeFor[jobs.Service]()
	var calls sync.WaitGroup
	for i := range service.NumMethod() {
		name := service.Method(i).Name
		method := reflect.ValueOf(client.AtVersion(1)).MethodByName(name)
		in := []reflect.Value{reflect.ValueOf(context.Background())}
		for i := 1; i < method.Type().NumIn(); i++ {
			in = append(in, reflect.Zero(method.Type().In(i)))
		}
		done := make(chan error, 1)
		go func() {
			out := method.Call(in)
			err, _ := out[len(out)-1].Interface().(error)
			done <- err
		}()
		sent := <-requests
		if name == "Await" {
			if sent.Kind != await || sent.TimeoutMS > maxAwaitMS || sent.TimeoutMS < maxAwaitMS-roundTripMS {
				t.Errorf("%s is limited to %d ms, want %d ms", name, sent.TimeoutMS, maxAwaitMS)
			}
			continue
		}
		calls.Go(func() {
			select {
			case err := <-done:
				if !errors.Is(err, jobs.ErrOutcomeUnknown) {
					t.Errorf("%s: %v, want %v", name, err, jobs.ErrOutcomeUnknown)
				}
			case <-time.After(maxCall):
				t.Errorf("%s has not ended after %v", name, maxCall)
			}
		})
	}
	calls.Wait()
	if client.Silent() {
		t.Error("the owner answers pings, but counts as silent")
	}
}

// Guards against a limit that replaces an earlier deadline of the caller.
func TestEarlierDeadlineCounts(t *testing.T) {
	address, _ := newIdleOwner(t)
	client, err := Dial(t.Context(), address, "one", 0, func([]byte) {}, func() {})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	start := time.Now()
	if err := client.AtVersion(1).Cancel(ctx, "a", "org"); !errors.Is(err, jobs.ErrOutcomeUnknown) || time.Since(start) > time.Second {
		t.Errorf("%v after %v, want %v at the caller's deadline", err, time.Since(start), jobs.ErrOutcomeUnknown)
	}
}

// Guards against connecting for ever to a peer that does not end its answer.
func TestDialIsBounded(t *testing.T) {
	for name, begin := range map[string]string{"silent": "", "trickling": "HTTP/1.1 101 Switching Protocols\r\nSlow: "} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = listener.Close() })
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				if _, err = conn.Read(make([]byte, 1)); err != nil {
					return
				}
				_, err = conn.Write([]byte(begin))
				for drip := []byte("a"); err == nil && t.Context().Err() == nil; time.Sleep(20 * time.Millisecond) {
					if begin != "" {
						_, err = conn.Write(drip)
					}
				}
			}()
			start := time.Now()
			_, err = Dial(context.Background(), listener.Addr().String(), "one", 0, func([]byte) {}, func() {})
			if !errors.Is(err, ErrSilent) || time.Since(start) > time.Second {
				t.Errorf("%v after %v, want %v within 1 s", err, time.Since(start), ErrSilent)
			}
		})
	}
}
