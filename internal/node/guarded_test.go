package node

import (
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/guard"
	"github.com/pollenford/pollenford/internal/instances"
	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/workers"
)

// Guards against a process that ends because a client of an outside system panics in a goroutine of its own, as on a
// response that it cannot decode. The nil clients panic in every call.
func TestPanicOfAClientIsAnError(t *testing.T) {
	cfg := guardClients(Config{Log: hclog.NewNullLogger()})
	control := guardedControl{log: cfg.Log}
	adviser := guardedAdviser{log: cfg.Log}
	ctx := t.Context()
	for name, call := range map[string]func() error{
		"append":   func() error { _, _, err := cfg.Store.Append(ctx, "t", topic.Batch{}); return err },
		"read":     func() error { _, err := cfg.Store.Read(ctx, "t", 0, 0); return err },
		"snapshot": func() error { _, _, _, err := cfg.Store.SnapshotPage(ctx, "t", ""); return err },
		"start":    func() error { _, err := cfg.Workers.Start(ctx, workers.Target{}, workers.StartRequest{}); return err },
		"stop":     func() error { _, err := cfg.Workers.Stop(ctx, workers.Target{}, "task", 1); return err },
		"heartbeat": func() error {
			_, err := cfg.Workers.Heartbeat(ctx, workers.Target{}, workers.HeartbeatRequest{})
			return err
		},
		"list":        func() error { _, _, err := control.List(ctx, ""); return err },
		"move":        func() error { return control.Move(ctx, instances.OwnerID{}, "i", "p") },
		"maintenance": func() error { return control.StartMaintenance(ctx, instances.OwnerID{}, "i", 1) },
		"advice":      func() error { _, err := adviser.Advise(ctx, "step", nil); return err },
	} {
		if err := call(); !errors.Is(err, guard.ErrPanic) {
			t.Errorf("%s: %v, want an error for the panic", name, err)
		}
	}
	if cfg.Control != nil || cfg.Advice != nil {
		t.Error("a node without instance control and advice has clients for them")
	}
}
