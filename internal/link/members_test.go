package link

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/jobs"
)

// Guards against an owner that holds more than the smallest instance that may follow it: it knows the memory of those that
// are connected, and forgets it with the connection.
func TestSmallestConnectedInstance(t *testing.T) {
	s := &Server{Incarnation: "one", Owner: func() jobs.Service { return nil }, Catalog: func() *catalog.Catalog { return nil },
		Log: hclog.NewNullLogger()}
	server := httptest.NewServer(s)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	awaitSmallest := func(want int64) {
		t.Helper()
		for deadline := time.Now().Add(10 * time.Second); s.SmallestMB() != want; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("smallest instance of %d MB, want %d", s.SmallestMB(), want)
			}
		}
	}
	var clients []*Client
	for _, megabytes := range []int{536, 184, 0} {
		c, err := Dial(t.Context(), address, "one", megabytes, nil, func() {})
		if err != nil {
			t.Fatal(err)
		}
		clients = append(clients, c)
	}
	awaitSmallest(184)
	clients[1].stop()
	awaitSmallest(536)
	clients[0].stop()
	awaitSmallest(0)
}
