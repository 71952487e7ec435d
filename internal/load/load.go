package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/wait"
	"github.com/pollenford/pollenford/platform/standin"
)

// Options configures a load test.
type Options struct {
	Profile Profile
	// Entries holds the base URLs of entry instances. Each request goes to a random one.
	Entries []string
	// Keys maps organisations to API keys.
	Keys map[string]string
	// Rate is the mean rate in requests per second.
	Rate     float64
	Duration time.Duration
	// MaxRequests limits the number of planned requests; 0 means no limit.
	MaxRequests int
	// Peaks lets the queues peak in turn.
	Peaks bool
	// Retries limits the retries of a request with an idempotency key, each at the next entry instance, while its
	// outcome is unknown.
	Retries int
	Seed    uint64
}

// maxInFlight limits concurrent requests, so that a stalled system does not exhaust the load generator's host. Requests
// beyond the limit count as not sent.
const maxInFlight = 10_000

// Run sends the planned requests and reports their outcomes and latencies. Each request starts at its planned time,
// whether or not earlier ones are answered.
func Run(ctx context.Context, opts Options) (*Report, error) {
	if len(opts.Entries) == 0 || opts.Rate <= 0 || opts.Duration <= 0 {
		return nil, errors.NotValidf("load without entries, rate or duration")
	}
	rng := rand.New(rand.NewPCG(opts.Seed, 0))
	arrivals := plan(opts.Profile, opts.Rate, opts.Duration, opts.Peaks, rng)
	if opts.MaxRequests > 0 && len(arrivals) > opts.MaxRequests {
		arrivals = arrivals[:opts.MaxRequests]
	}
	g := newGenerator(opts)
	started := g.started
	var running sync.WaitGroup
	inFlight := make(chan struct{}, maxInFlight)
	for _, a := range arrivals {
		if !wait.Until(ctx, started.Add(a.offset)) {
			break
		}
		target := rng.IntN(len(opts.Entries))
		select {
		case inFlight <- struct{}{}:
		default:
			g.record(a.class, attemptResult{outcome: outcomeNotSent, detail: "too many requests in flight"}, started, 0)
			continue
		}
		running.Go(func() {
			g.send(ctx, a, target)
			<-inFlight
		})
	}
	running.Wait()
	return g.report(time.Since(started)), nil
}

type generator struct {
	opts   Options
	client *http.Client

	started time.Time

	mu       sync.Mutex
	stats    []*classStats // by class; protected by mu
	failures []Failure     // the first of them; protected by mu
}

func newGenerator(opts Options) *generator {
	g := &generator{opts: opts, client: newHTTPClient(), started: time.Now()}
	for range opts.Profile.Classes {
		g.stats = append(g.stats, newClassStats())
	}
	return g
}

func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second}}
}

// send sends a request with its retries and records the final outcome and the total latency.
func (g *generator) send(ctx context.Context, a arrival, target int) {
	class := g.opts.Profile.Classes[a.class]
	idempotencyKey := ""
	if class.Keyed {
		idempotencyKey = uuid.NewString()
	}
	echo := uuid.NewString()
	started := time.Now()
	var result attemptResult
	for attempt := 0; ; attempt++ {
		entry := g.opts.Entries[(target+attempt)%len(g.opts.Entries)]
		result = g.sendOnce(ctx, class, a.runTime, entry, idempotencyKey, echo)
		if result.outcome != outcomeUnknown || idempotencyKey == "" || attempt >= g.opts.Retries {
			break
		}
	}
	g.record(a.class, result, started, time.Since(started))
}

// responseSlack extends the client's timeout beyond the deadline, so that the system's own rejection arrives.
const responseSlack = 2 * time.Second

// attemptResult is the outcome of one attempt and, unless it was answered, why.
type attemptResult struct {
	outcome outcome
	detail  string
}

func (g *generator) sendOnce(ctx context.Context, class Class, runTime time.Duration,
	entry, idempotencyKey, echo string) attemptResult {
	ctx, cancel := context.WithTimeout(ctx, class.Deadline+responseSlack)
	defer cancel()
	req, err := g.request(ctx, class, runTime, entry, idempotencyKey, echo)
	if err != nil {
		return attemptResult{outcomeNotSent, err.Error()}
	}
	res, err := g.client.Do(req)
	if err != nil {
		return attemptResult{outcomeUnknown, err.Error()}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return attemptResult{outcomeUnknown, "reading the response: " + err.Error()}
	}
	return classify(res.StatusCode, body, echo)
}

func (g *generator) request(ctx context.Context, class Class, runTime time.Duration,
	entry, idempotencyKey, echo string) (*http.Request, error) {
	body, err := json.Marshal(standin.RunSpec{RunMS: runTime.Milliseconds(), Echo: echo})
	if err != nil {
		return nil, errors.Trace(err)
	}
	url := fmt.Sprintf("%s/v1/queues/%s/requests", entry, class.Queue)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	h := req.Header
	h.Set("Content-Type", "application/json")
	h.Set("Pollenford-Deadline-Ms", strconv.FormatInt(class.Deadline.Milliseconds(), 10))
	h.Set("Pollenford-Idempotent", strconv.FormatBool(class.Idempotent))
	h.Set("Pollenford-Resumable", strconv.FormatBool(class.Resumable))
	h.Set("Pollenford-Estimate-Ms", strconv.FormatInt(class.MedianRunTime.Milliseconds(), 10))
	if idempotencyKey != "" {
		h.Set("Idempotency-Key", idempotencyKey)
	}
	if apiKey := g.opts.Keys[class.Organisation]; apiKey != "" {
		h.Set("Authorization", "Bearer "+apiKey)
	}
	return req, nil
}

// classify returns the outcome of a response. An answer that lacks the request's echo belongs to another request.
func classify(status int, body []byte, echo string) attemptResult {
	detail := fmt.Sprintf("%d %s", status, body[:min(len(body), maxDetailBytes)])
	if status == http.StatusOK {
		var answer standin.Answer
		if json.Unmarshal(body, &answer) != nil || answer.Echo != echo {
			return attemptResult{outcomeWrongAnswer, detail}
		}
		return attemptResult{outcome: outcomeAnswered}
	}
	var problem struct {
		Outcome string `json:"outcome"`
	}
	if json.Unmarshal(body, &problem) != nil {
		return attemptResult{outcomeUnknown, detail}
	}
	switch problem.Outcome {
	case "not-run":
		return attemptResult{outcomeNotRun, detail}
	case "failed":
		return attemptResult{outcomeFailed, detail}
	}
	return attemptResult{outcomeUnknown, detail}
}

func (g *generator) record(class int, result attemptResult, started time.Time, latency time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stats[class].add(result.outcome, latency)
	if result.outcome != outcomeAnswered && len(g.failures) < maxFailures {
		g.failures = append(g.failures, Failure{
			Class: g.opts.Profile.Classes[class].Name, Outcome: string(result.outcome), Detail: result.detail,
			AtSeconds: started.Sub(g.started).Seconds(), MS: float64(latency.Microseconds()) / 1000,
		})
	}
}
