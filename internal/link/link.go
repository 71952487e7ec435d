// Package link carries calls from entries to the owner as CBOR messages over a WebSocket connection.
package link

import (
	"context"
	"net/http"
	"net/url"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/ingress"
	"github.com/pollenford/pollenford/internal/jobs"
	"github.com/pollenford/pollenford/internal/workload"
)

// Timing and sizes of connections.
const (
	dialTimeout = 400 * time.Millisecond
	// pingInterval and pingTimeout detect an unresponsive connection within half of the shortest client deadline (3 s).
	pingInterval = 500 * time.Millisecond
	pingTimeout  = 500 * time.Millisecond
	// callTimeout bounds a call without an earlier deadline. The owner holds an answer until the store has its record.
	callTimeout = 10 * time.Second
	// awaitTimeout bounds a call that waits for the end of a job: the longest deadline that the HTTP API allows.
	awaitTimeout = 10 * time.Minute
	// maxMessageBytes fits the largest job: the platform's largest body (256 KiB) and its envelope.
	maxMessageBytes = 512 << 10
	// Path is the HTTP path at which a Server is mounted.
	Path = "/link"
)

type requestKind uint8

const (
	submit requestKind = iota + 1
	status
	cancel
	pending
	await
	fleet
)

// timeout returns the time limit of a call.
func (k requestKind) timeout() time.Duration {
	if k == await {
		return awaitTimeout
	}
	return callTimeout
}

type request struct {
	ID           uint64        `cbor:"1,keyasint"`
	Kind         requestKind   `cbor:"2,keyasint"`
	Job          *workload.Job `cbor:"3,keyasint,omitempty"`
	JobID        string        `cbor:"4,keyasint,omitempty"`
	Organisation string        `cbor:"5,keyasint,omitempty"`
	// Queue is that of a call for pending jobs, or of an anonymous call for a job.
	Queue string `cbor:"6,keyasint,omitempty"`
	// Version is the configuration version by which the caller admitted the request.
	Version int64 `cbor:"8,keyasint,omitempty"`
	// TimeoutMS is the remaining time of the caller, in milliseconds.
	TimeoutMS int64 `cbor:"7,keyasint,omitempty"`

	refused bool // there was no memory to decode more than the ID
}

type resultCode uint8

const (
	succeeded resultCode = iota
	rejected
	noSuchJob
	outcomeUnknown
	staleConfig
)

type response struct {
	ID      uint64          `cbor:"1,keyasint"`
	Result  resultCode      `cbor:"2,keyasint"`
	Reason  *jobs.Rejection `cbor:"3,keyasint,omitempty"`
	Status  jobs.Status     `cbor:"4,keyasint,omitempty"`
	Pending int             `cbor:"5,keyasint,omitempty"`
	Fleet   *jobs.Fleet     `cbor:"6,keyasint,omitempty"`
	// Document is the owner's configuration if the caller's is older, unless an earlier response on the connection had it.
	Document []byte `cbor:"7,keyasint,omitempty"`

	version int64 // of Document
}

// ErrProcessMismatch means that a different process responded at the owner's address, so the owner's process has ended.
const ErrProcessMismatch = errors.ConstError("a different process responded at the owner's address")

// ErrSilent means that the owner's process stopped answering on the connection.
const ErrSilent = errors.ConstError("the owner does not answer on its connection")

// incarnationParameter is the query parameter with the incarnation of the intended process.
const incarnationParameter = "incarnation"

// Server handles the calls of other entries.
type Server struct {
	// Incarnation distinguishes this process from earlier ones at its address.
	Incarnation string
	// Owner returns the service if this process is the owner, or nil.
	Owner func() jobs.Service
	// Catalog returns the active configuration, or nil.
	Catalog func() *catalog.Catalog
	Log     hclog.Logger
	// Ingress bounds the memory of messages; nil sets no bound.
	Ingress *ingress.Gate

	members members
}

// notOwnerRejection is the response to a call at an instance that is not the owner.
var notOwnerRejection = &jobs.Rejection{Reason: "the instance is not the owner", RetryAfter: time.Second}

// serverConn is a connection from an entry.
type serverConn struct {
	sender
	documentMu sync.Mutex
	// documentVersion is the newest version whose document was sent; protected by documentMu.
	documentVersion int64
}

// sendStale sends a response that the caller's configuration is older than the owner's. Only the first one carries the
// document: those of all calls in progress would occupy a thin link for seconds.
func (c *serverConn) sendStale(ctx context.Context, res response, version int64) error {
	c.documentMu.Lock()
	defer c.documentMu.Unlock()
	if c.documentVersion >= version {
		res.Document = nil
	}
	if err := c.sendResponse(ctx, res); err != nil {
		return err
	}
	c.documentVersion = max(c.documentVersion, version)
	return nil
}

func (c *serverConn) sendResponse(ctx context.Context, res response) error {
	data, err := cbor.Marshal(res)
	if err != nil {
		return errors.Annotate(err, "encoding the response")
	}
	return c.send(ctx, data)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get(incarnationParameter) != s.Incarnation {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		s.Log.Warn("peer connection rejected", "from", r.RemoteAddr, "err", err)
		return
	}
	defer conn.CloseNow()
	conn.SetReadLimit(maxMessageBytes)
	c := &serverConn{sender: sender{conn: conn}}
	s.members.add(c, r)
	defer s.members.remove(c)
	ctx, stop := context.WithCancel(r.Context())
	defer stop()
	for {
		_, reader, err := conn.Reader(ctx)
		if err != nil {
			return
		}
		req, message, err := s.receive(reader, r.RemoteAddr, stop)
		if err != nil {
			s.Log.Warn("peer request not received", "from", r.RemoteAddr, "err", err)
			return
		}
		go s.handle(ctx, c, req, message)
	}
}

func (s *Server) handle(ctx context.Context, c *serverConn, req request, message *ingress.Message) {
	defer message.Release()
	defer func() {
		if cause := recover(); cause != nil { // a panic here would end the process, unlike in an HTTP handler
			s.Log.Error("peer request failed", "kind", req.Kind, "cause", cause, "stack", string(debug.Stack()))
			_ = c.conn.CloseNow() // the caller learns that the outcome is unknown
		}
	}()
	ctx, stop := context.WithTimeout(ctx, time.Duration(req.TimeoutMS)*time.Millisecond)
	defer stop()
	res := s.dispatch(ctx, req)
	res.ID = req.ID
	var err error
	if res.Result == staleConfig {
		err = c.sendStale(ctx, res, res.version)
	} else {
		err = c.sendResponse(ctx, res)
	}
	if err != nil {
		s.Log.Debug("peer response not sent", "err", err)
	}
}

func (s *Server) dispatch(ctx context.Context, req request) response {
	if req.refused {
		return response{Result: rejected, Reason: noMemoryRejection}
	}
	owner := s.Owner()
	if owner == nil {
		return response{Result: rejected, Reason: notOwnerRejection}
	}
	if c := s.Catalog(); c != nil && req.Version < c.Version {
		return response{Result: staleConfig, Document: c.Document, version: c.Version}
	}
	if req.Kind != pending && req.Queue != "" {
		ctx = jobs.WithAnonymousQueue(ctx, req.Queue)
	}
	var res response
	var err error
	switch req.Kind {
	case submit:
		if req.Job == nil {
			return response{Result: rejected, Reason: &jobs.Rejection{Reason: "no job in the request", Permanent: true}}
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
		res.Result = outcomeUnknown
	}
	return res
}

// Client calls the owner over one connection.
type Client struct {
	// onNewerConfig receives the owner's configuration when it is newer than the caller's.
	onNewerConfig func(document []byte)
	sender
	stop     context.CancelFunc
	nextID   atomic.Uint64
	received atomic.Int64 // messages
	silent   atomic.Bool  // a ping was not answered in time

	mu     sync.Mutex
	calls  map[uint64]chan response // protected by mu
	closed bool                     // protected by mu; calls are rejected
}

// Dial connects to the owner's process with the given incarnation at an address (IP:port). memoryMB is the memory of this
// instance in megabytes, 0 without a limit. onNewerConfig receives the
// owner's configuration when it is newer than the caller's; onLost is called once when the connection ends. Dial returns
// ErrProcessMismatch if another process answers and ErrSilent if nobody does.
func Dial(ctx context.Context, address, incarnation string, memoryMB int, onNewerConfig func(document []byte),
	onLost func()) (*Client, error) {
	dialCtx, stopDial := context.WithTimeout(ctx, dialTimeout)
	defer stopDial()
	query := url.Values{incarnationParameter: {incarnation}}
	if memoryMB > 0 {
		query.Set(memoryParameter, strconv.Itoa(memoryMB))
	}
	target := "ws://" + address + Path + "?" + query.Encode()
	conn, res, err := websocket.Dial(dialCtx, target,
		&websocket.DialOptions{CompressionMode: websocket.CompressionDisabled})
	if res != nil && res.StatusCode == http.StatusMisdirectedRequest {
		return nil, ErrProcessMismatch
	}
	if err != nil && dialCtx.Err() != nil && ctx.Err() == nil {
		return nil, errors.Annotate(ErrSilent, err.Error())
	}
	if err != nil {
		return nil, errors.Annotate(err, "connecting to the owner")
	}
	conn.SetReadLimit(maxMessageBytes)
	runCtx, stop := context.WithCancel(ctx)
	c := &Client{
		onNewerConfig: onNewerConfig, sender: sender{conn: conn}, stop: stop, calls: map[uint64]chan response{}}
	go c.pingLoop(runCtx)
	go func() {
		c.readLoop(runCtx)
		stop()
		_ = conn.CloseNow() // already broken
		c.failPendingCalls()
		onLost()
	}()
	return c, nil
}

func (c *Client) pingLoop(ctx context.Context) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	confirmed := int64(0) // bytes that the owner had received at its last pong
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if c.waiting.Load() > 0 {
			continue // a ping would wait behind a message, whose time limit finds a silent owner as well
		}
		sent, received := c.sent.Load(), c.received.Load()
		pingCtx, stop := context.WithTimeout(ctx, pingTimeout+transferTime(sent-confirmed))
		err := c.conn.Ping(pingCtx)
		timedOut := pingCtx.Err() != nil && ctx.Err() == nil
		stop()
		switch {
		case err == nil:
			confirmed = sent
		case timedOut && c.received.Load() > received:
			// The pong waits behind other messages.
		default:
			c.silent.Store(timedOut)
			c.stop()
			return
		}
	}
}

// Silent reports whether the connection was given up because the owner did not answer on it.
func (c *Client) Silent() bool { return c.silent.Load() }

func (c *Client) readLoop(ctx context.Context) {
	for {
		_, data, err := c.conn.Read(ctx)
		if err != nil {
			return
		}
		var res response
		if err := cbor.Unmarshal(data, &res); err != nil {
			return
		}
		c.received.Add(1)
		if res.Result == staleConfig && res.Document != nil {
			// Here rather than in the call, which may have ended: the document is sent once, and later responses rely on it.
			c.onNewerConfig(res.Document)
		}
		c.mu.Lock()
		ch := c.calls[res.ID]
		delete(c.calls, res.ID)
		c.mu.Unlock()
		if ch != nil {
			ch <- res
		}
	}
}

func (c *Client) failPendingCalls() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for id, ch := range c.calls {
		delete(c.calls, id)
		close(ch)
	}
}

func (c *Client) call(ctx context.Context, req request) (response, error) {
	req.ID = c.nextID.Add(1)
	ctx, stop := context.WithTimeout(ctx, req.Kind.timeout())
	defer stop()
	if deadline, ok := ctx.Deadline(); ok {
		req.TimeoutMS = time.Until(deadline).Milliseconds()
	}
	data, err := cbor.Marshal(req)
	if err != nil {
		return response{}, errors.Trace(err)
	}
	if c.waiting.Load()+int64(len(data)) > maxWaitingBytes {
		return response{}, fullLinkRejection
	}
	ch := make(chan response, 1)
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return response{}, &jobs.Rejection{Reason: "the connection to the owner is lost", RetryAfter: time.Second}
	}
	c.calls[req.ID] = ch
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.calls, req.ID)
		c.mu.Unlock()
	}()
	sendFailed := make(chan error, 1)
	go func() { // it may wait behind the messages of others, beyond the deadline of this caller
		if err := c.send(ctx, data); err != nil {
			sendFailed <- err
		}
	}()
	select {
	case err := <-sendFailed:
		return response{}, errors.Annotate(jobs.ErrOutcomeUnknown, err.Error())
	case res, ok := <-ch:
		if !ok {
			return response{}, errors.Annotate(jobs.ErrOutcomeUnknown, "the connection to the owner was lost")
		}
		return res, res.err()
	case <-ctx.Done():
		return response{}, errors.Annotate(jobs.ErrOutcomeUnknown, "the owner did not answer in time")
	}
}

func (res response) err() error {
	switch res.Result {
	case succeeded:
		return nil
	case rejected:
		if res.Reason != nil {
			return res.Reason
		}
	case noSuchJob:
		return jobs.ErrNoSuchJob
	case staleConfig:
		return jobs.ErrStaleConfig
	}
	return jobs.ErrOutcomeUnknown
}

// AtVersion returns the owner's service for requests that were admitted by the given version of the configuration.
func (c *Client) AtVersion(version int64) jobs.Service { return versionedClient{c, version} }

// versionedClient implements jobs.Service.
type versionedClient struct {
	*Client
	version int64
}

// Submit implements jobs.Service.
func (c versionedClient) Submit(ctx context.Context, job *workload.Job) error {
	_, err := c.call(ctx, request{Version: c.version, Kind: submit, Job: job})
	return err
}

// Status implements jobs.Service.
func (c versionedClient) Status(ctx context.Context, id, organisation string) (jobs.Status, error) {
	res, err := c.call(ctx, request{Version: c.version, Kind: status, JobID: id, Organisation: organisation, Queue: jobs.AnonymousQueue(ctx)})
	return res.Status, err
}

// Cancel implements jobs.Service.
func (c versionedClient) Cancel(ctx context.Context, id, organisation string) error {
	_, err := c.call(ctx, request{Version: c.version, Kind: cancel, JobID: id, Organisation: organisation, Queue: jobs.AnonymousQueue(ctx)})
	return err
}

// Pending implements jobs.Service.
func (c versionedClient) Pending(ctx context.Context, queue string) (int, error) {
	res, err := c.call(ctx, request{Version: c.version, Kind: pending, Queue: queue})
	return res.Pending, err
}

// Await implements jobs.Service.
func (c versionedClient) Await(ctx context.Context, id, organisation string) (jobs.Status, error) {
	res, err := c.call(ctx, request{Version: c.version, Kind: await, JobID: id, Organisation: organisation, Queue: jobs.AnonymousQueue(ctx)})
	return res.Status, err
}

// Fleet implements jobs.Service.
func (c versionedClient) Fleet(ctx context.Context) (jobs.Fleet, error) {
	res, err := c.call(ctx, request{Version: c.version, Kind: fleet})
	if err != nil {
		return jobs.Fleet{}, err
	}
	if res.Fleet == nil {
		return jobs.Fleet{}, errors.NotValidf("the owner's answer without a fleet")
	}
	return *res.Fleet, nil
}
