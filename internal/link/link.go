// Package link carries calls of entries to the owner: CBOR messages over one WebSocket connection.
package link

import (
	"context"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/jobs"
	"github.com/pollenford/pollenford/internal/workload"
)

// Timing and sizes of connections.
const (
	dialTimeout = 400 * time.Millisecond
	// pingEvery and pingTimeout find a connection that went silent within half of the shortest deadline of a client (3 s).
	pingEvery   = 500 * time.Millisecond
	pingTimeout = 500 * time.Millisecond
	// callTimeout bounds a call whose caller has no deadline of its own: the longest that the own API allows.
	callTimeout = 10 * time.Minute
	// maxMessage holds the largest job: the platform's largest body (256 KiB) and its envelope.
	maxMessage = 512 << 10
	// Path is where a Server is mounted.
	Path = "/link"
)

type kind uint8

const (
	submit kind = iota + 1
	status
	cancel
	pending
	await
	fleet
)

type request struct {
	ID           uint64        `cbor:"1,keyasint"`
	Kind         kind          `cbor:"2,keyasint"`
	Job          *workload.Job `cbor:"3,keyasint,omitempty"`
	JobID        string        `cbor:"4,keyasint,omitempty"`
	Organisation string        `cbor:"5,keyasint,omitempty"`
	Queue        string        `cbor:"6,keyasint,omitempty"`
	// Version is the configuration that the caller decided by.
	Version int64 `cbor:"8,keyasint,omitempty"`
	// LeftMS is how long the caller still waits, in milliseconds.
	LeftMS int64 `cbor:"7,keyasint,omitempty"`
}

type result uint8

const (
	succeeded result = iota
	rejected
	noSuchJob
	unknown
	stale
)

type answer struct {
	ID      uint64          `cbor:"1,keyasint"`
	Result  result          `cbor:"2,keyasint"`
	Reason  *jobs.Rejection `cbor:"3,keyasint,omitempty"`
	Status  jobs.Status     `cbor:"4,keyasint,omitempty"`
	Pending int             `cbor:"5,keyasint,omitempty"`
	Fleet   *jobs.Fleet     `cbor:"6,keyasint,omitempty"`
	// Document is the newer configuration for a caller that decided by an older one.
	Document []byte `cbor:"7,keyasint,omitempty"`
}

// ErrProcessMismatch means that another process than the owner's answers at its address: the owner's has ended.
const ErrProcessMismatch = errors.ConstError("another process answers at the owner's address")

// incarnationParameter names the process that a connection is meant for.
const incarnationParameter = "incarnation"

// Server answers the calls of other entries.
type Server struct {
	// Incarnation tells this process apart from earlier ones at its address.
	Incarnation string
	// Owner returns the service when this process is the owner, or nil.
	Owner func() jobs.Service
	// Catalog returns the configuration in force, or nil.
	Catalog func() *catalog.Catalog
	Log     hclog.Logger
}

// notOwner refuses a call that reached an instance which is not the owner.
var notOwner = &jobs.Rejection{Reason: "the instance is not the owner", RetryAfter: time.Second}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get(incarnationParameter) != s.Incarnation {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		s.Log.Warn("inner connection refused", "from", r.RemoteAddr, "err", err)
		return
	}
	defer conn.CloseNow()
	conn.SetReadLimit(maxMessage)
	ctx, stop := context.WithCancel(r.Context())
	defer stop()
	for {
		_, data, err := conn.Read(ctx)
		if err != nil {
			return
		}
		var req request
		if err := cbor.Unmarshal(data, &req); err != nil {
			s.Log.Warn("malformed inner request", "from", r.RemoteAddr, "err", err)
			return
		}
		go s.answer(ctx, conn, req)
	}
}

func (s *Server) answer(ctx context.Context, conn *websocket.Conn, req request) {
	ctx, stop := context.WithTimeout(ctx, time.Duration(req.LeftMS)*time.Millisecond)
	defer stop()
	res := s.do(ctx, req)
	res.ID = req.ID
	data, err := cbor.Marshal(res)
	if err != nil {
		s.Log.Error("encoding inner answer", "err", err)
		return
	}
	writeCtx, stopWrite := context.WithTimeout(context.WithoutCancel(ctx), pingTimeout)
	defer stopWrite()
	if err := conn.Write(writeCtx, websocket.MessageBinary, data); err != nil {
		s.Log.Debug("inner answer not sent", "err", err)
	}
}

func (s *Server) do(ctx context.Context, req request) answer {
	owner := s.Owner()
	if owner == nil {
		return answer{Result: rejected, Reason: notOwner}
	}
	if c := s.Catalog(); c != nil && req.Version < c.Version {
		return answer{Result: stale, Document: c.Document}
	}
	var res answer
	var err error
	switch req.Kind {
	case submit:
		if req.Job == nil {
			return answer{Result: rejected, Reason: &jobs.Rejection{Reason: "no job in the request", Permanent: true}}
		}
		err = owner.Submit(ctx, req.Job)
	case status:
		res.Status, err = owner.Status(ctx, req.JobID, req.Organisation)
	case cancel:
		err = owner.Cancel(ctx, req.JobID, req.Organisation)
	case pending:
		res.Pending, err = owner.Pending(ctx, req.Queue)
	case await:
		res.Status, err = owner.Await(ctx, req.JobID, req.Organisation)
	case fleet:
		var f jobs.Fleet
		f, err = owner.Fleet(ctx)
		res.Fleet = &f
	default:
		err = &jobs.Rejection{Reason: "unknown kind of request", Permanent: true}
	}
	var reason *jobs.Rejection
	switch {
	case err == nil:
	case errors.As(err, &reason):
		res.Result, res.Reason = rejected, reason
	case errors.Is(err, jobs.ErrNoSuchJob):
		res.Result = noSuchJob
	default:
		res.Result = unknown
	}
	return res
}

// Client calls the owner at one address.
type Client struct {
	// learn puts a document of the owner in force unless a newer one is.
	learn  func(document []byte)
	conn   *websocket.Conn
	stop   context.CancelFunc
	nextID atomic.Uint64

	mu      sync.Mutex
	waiting map[uint64]chan answer // protected by mu
	lost    bool                   // protected by mu; no call may be added
}

// Dial connects to the process of the owner at an address (IP:port). learn takes a newer configuration of the owner, onLost is called once when the connection ends.
func Dial(ctx context.Context, address, incarnation string, learn func(document []byte), onLost func()) (*Client, error) {
	dialCtx, stopDial := context.WithTimeout(ctx, dialTimeout)
	defer stopDial()
	target := "ws://" + address + Path + "?" + url.Values{incarnationParameter: {incarnation}}.Encode()
	conn, res, err := websocket.Dial(dialCtx, target, &websocket.DialOptions{CompressionMode: websocket.CompressionDisabled})
	if res != nil && res.StatusCode == http.StatusMisdirectedRequest {
		return nil, ErrProcessMismatch
	}
	if err != nil {
		return nil, errors.Annotate(err, "connecting to the owner")
	}
	conn.SetReadLimit(maxMessage)
	runCtx, stop := context.WithCancel(ctx)
	c := &Client{learn: learn, conn: conn, stop: stop, waiting: map[uint64]chan answer{}}
	go c.ping(runCtx)
	go func() {
		c.read(runCtx)
		stop()
		_ = conn.CloseNow() // the connection is lost already
		c.drop()
		onLost()
	}()
	return c, nil
}

func (c *Client) ping(ctx context.Context) {
	ticker := time.NewTicker(pingEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		pingCtx, stop := context.WithTimeout(ctx, pingTimeout)
		err := c.conn.Ping(pingCtx)
		stop()
		if err != nil {
			c.stop()
			return
		}
	}
}

func (c *Client) read(ctx context.Context) {
	for {
		_, data, err := c.conn.Read(ctx)
		if err != nil {
			return
		}
		var a answer
		if err := cbor.Unmarshal(data, &a); err != nil {
			return
		}
		c.mu.Lock()
		ch := c.waiting[a.ID]
		delete(c.waiting, a.ID)
		c.mu.Unlock()
		if ch != nil {
			ch <- a
		}
	}
}

func (c *Client) drop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = true
	for id, ch := range c.waiting {
		delete(c.waiting, id)
		close(ch)
	}
}

func (c *Client) call(ctx context.Context, req request) (answer, error) {
	req.ID = c.nextID.Add(1)
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	if deadline, ok := ctx.Deadline(); ok {
		req.LeftMS = time.Until(deadline).Milliseconds()
	}
	data, err := cbor.Marshal(req)
	if err != nil {
		return answer{}, errors.Trace(err)
	}
	ch := make(chan answer, 1)
	c.mu.Lock()
	if c.lost {
		c.mu.Unlock()
		return answer{}, &jobs.Rejection{Reason: "the connection to the owner is lost", RetryAfter: time.Second}
	}
	c.waiting[req.ID] = ch
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.waiting, req.ID)
		c.mu.Unlock()
	}()
	// A write that is cut short ends the connection for all callers, so it does not depend on this caller's patience.
	writeCtx, stopWrite := context.WithTimeout(context.WithoutCancel(ctx), pingTimeout)
	defer stopWrite()
	if err := c.conn.Write(writeCtx, websocket.MessageBinary, data); err != nil {
		return answer{}, errors.Annotate(jobs.ErrOutcomeUnknown, err.Error())
	}
	select {
	case a, ok := <-ch:
		if !ok {
			return answer{}, errors.Annotate(jobs.ErrOutcomeUnknown, "the connection to the owner was lost")
		}
		if a.Result == stale {
			c.learn(a.Document)
		}
		return a, a.err()
	case <-ctx.Done():
		return answer{}, errors.Annotate(jobs.ErrOutcomeUnknown, "the owner did not answer in time")
	}
}

func (a answer) err() error {
	switch a.Result {
	case succeeded:
		return nil
	case rejected:
		if a.Reason != nil {
			return a.Reason
		}
	case noSuchJob:
		return jobs.ErrNoSuchJob
	case stale:
		return jobs.ErrStaleConfig
	}
	return jobs.ErrOutcomeUnknown
}

// AtVersion returns the owner's service for a caller that has decided by a version of the configuration.
func (c *Client) AtVersion(version int64) jobs.Service { return caller{c, version} }

// caller implements jobs.Service.
type caller struct {
	*Client
	version int64
}

// Submit implements jobs.Service.
func (c caller) Submit(ctx context.Context, job *workload.Job) error {
	_, err := c.call(ctx, request{Version: c.version, Kind: submit, Job: job})
	return err
}

// Status implements jobs.Service.
func (c caller) Status(ctx context.Context, id, organisation string) (jobs.Status, error) {
	a, err := c.call(ctx, request{Version: c.version, Kind: status, JobID: id, Organisation: organisation})
	return a.Status, err
}

// Cancel implements jobs.Service.
func (c caller) Cancel(ctx context.Context, id, organisation string) error {
	_, err := c.call(ctx, request{Version: c.version, Kind: cancel, JobID: id, Organisation: organisation})
	return err
}

// Pending implements jobs.Service.
func (c caller) Pending(ctx context.Context, queue string) (int, error) {
	a, err := c.call(ctx, request{Version: c.version, Kind: pending, Queue: queue})
	return a.Pending, err
}

// Await implements jobs.Service.
func (c caller) Await(ctx context.Context, id, organisation string) (jobs.Status, error) {
	a, err := c.call(ctx, request{Version: c.version, Kind: await, JobID: id, Organisation: organisation})
	return a.Status, err
}

// Fleet implements jobs.Service.
func (c caller) Fleet(ctx context.Context) (jobs.Fleet, error) {
	a, err := c.call(ctx, request{Version: c.version, Kind: fleet})
	if err != nil {
		return jobs.Fleet{}, err
	}
	if a.Fleet == nil {
		return jobs.Fleet{}, errors.NotValidf("the owner's answer without a fleet")
	}
	return *a.Fleet, nil
}
