package node

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/pollenford/pollenford/internal/advice"
	"github.com/pollenford/pollenford/internal/guard"
	"github.com/pollenford/pollenford/internal/instances"
	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/workers"
)

// The types below wrap the clients of outside systems. A panic in one of their calls, such as one that decodes a
// response, becomes an error of that call; callers treat it like a response that was lost.

type guardedStore struct {
	topic.Store
	log hclog.Logger
}

func (g guardedStore) Append(ctx context.Context, name topic.Name, batch topic.Batch) (offset, end int64, err error) {
	defer guard.Recover(g.log, "store append", &err)
	return g.Store.Append(ctx, name, batch)
}

func (g guardedStore) Read(ctx context.Context, name topic.Name, from int64, wait time.Duration) (r topic.ReadResult, err error) {
	defer guard.Recover(g.log, "store read", &err)
	return g.Store.Read(ctx, name, from, wait)
}

func (g guardedStore) SnapshotPage(ctx context.Context, name topic.Name, after string) (page []topic.Record, next string, end int64, err error) {
	defer guard.Recover(g.log, "store snapshot", &err)
	return g.Store.SnapshotPage(ctx, name, after)
}

type guardedWorkers struct {
	workers.Client
	log hclog.Logger
}

func (g guardedWorkers) Start(ctx context.Context, to workers.Target, request workers.StartRequest) (reply workers.Reply, err error) {
	defer guard.Recover(g.log, "start of a run", &err)
	return g.Client.Start(ctx, to, request)
}

func (g guardedWorkers) Stop(ctx context.Context, to workers.Target, task string, run int) (reply workers.Reply, err error) {
	defer guard.Recover(g.log, "stop of a run", &err)
	return g.Client.Stop(ctx, to, task, run)
}

func (g guardedWorkers) Heartbeat(ctx context.Context, to workers.Target, request workers.HeartbeatRequest) (r workers.HeartbeatResponse, err error) {
	defer guard.Recover(g.log, "heartbeat", &err)
	return g.Client.Heartbeat(ctx, to, request)
}

type guardedControl struct {
	instances.Control
	log hclog.Logger
}

func (g guardedControl) List(ctx context.Context, page string) (list []instances.Instance, next string, err error) {
	defer guard.Recover(g.log, "list of instances", &err)
	return g.Control.List(ctx, page)
}

func (g guardedControl) Move(ctx context.Context, owner instances.OwnerID, instance, pool string) (err error) {
	defer guard.Recover(g.log, "move of an instance", &err)
	return g.Control.Move(ctx, owner, instance, pool)
}

func (g guardedControl) StartMaintenance(ctx context.Context, owner instances.OwnerID, instance string, wave int64) (err error) {
	defer guard.Recover(g.log, "maintenance of an instance", &err)
	return g.Control.StartMaintenance(ctx, owner, instance, wave)
}

type guardedAdviser struct {
	advice.Adviser
	log hclog.Logger
}

func (g guardedAdviser) Advise(ctx context.Context, step string, ids []string) (answer advice.Answer, err error) {
	defer guard.Recover(g.log, "advice", &err)
	return g.Adviser.Advise(ctx, step, ids)
}

// guardClients wraps the clients of a configuration.
func guardClients(cfg Config) Config {
	cfg.Store = guardedStore{cfg.Store, cfg.Log}
	cfg.Workers = guardedWorkers{cfg.Workers, cfg.Log}
	if cfg.Control != nil {
		cfg.Control = guardedControl{cfg.Control, cfg.Log}
	}
	if cfg.Advice != nil {
		cfg.Advice = guardedAdviser{cfg.Advice, cfg.Log}
	}
	return cfg
}
