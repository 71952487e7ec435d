package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// deadline is how long a client waits for a response, retries how often it tries again.
const (
	deadline = 3 * time.Second
	retries  = 4
)

var httpClient = &http.Client{Timeout: deadline, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}

// call sends a request to a node and returns the status, 0 without a response.
func (n *nodeProcess) call(method, path, key string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+n.front+path, bytes.NewReader(body))
	if err != nil {
		panic(err) // the arguments are fixed
	}
	req.Host = clientHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Pollenford-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	res, err := httpClient.Do(req)
	if err != nil {
		n.d.rec.note("%s %s at %s: no response (%v)", method, path, n.name, err)
		return 0, nil
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		n.d.rec.note("%s %s at %s: response broken off (%v)", method, path, n.name, err)
		return 0, nil
	}
	n.d.rec.note("%s %s at %s: %d %s", method, path, n.name, res.StatusCode, bytes.TrimSpace(data))
	return res.StatusCode, data
}

// step is a step of a job.
type step struct {
	Count      int   `json:"count"`
	CPU        int64 `json:"cpu"`
	MemMB      int64 `json:"mem_mb"`
	EstimateMS int64 `json:"estimate_ms,omitempty"`

	Requires    string `json:"requires,omitempty"`
	LongRunning bool   `json:"long_running,omitempty"`
	// AntiAffinity is how many tasks of the step run on one worker at most.
	AntiAffinity int `json:"anti_affinity,omitempty"`
}

// submission is a job that a client hands in.
type submission struct {
	id         string
	acceptedAt time.Time // of the 2xx response; zero if there was none
}

// submit hands in a job of one step whose tasks run for runTime (0: until stopped). Each retry goes to the next node.
func (d *deployment) submit(prefix, key string, number int, runTime time.Duration, s step) submission {
	job := submission{id: fmt.Sprintf("%016x", 0x5c0e7a2100000000+uint64(number))}
	s.EstimateMS = runTime.Milliseconds()
	body, err := json.Marshal(map[string]any{"spec": jobSpec{runTime, s.CPU}.text(), "steps": []step{s}})
	if err != nil {
		panic(err) // the types above can be encoded
	}
	for try := range 1 + retries {
		status, _ := d.nodes[(number+try)%len(d.nodes)].call(http.MethodPost, prefix+job.id, key, body)
		if status/100 == 2 {
			job.acceptedAt = time.Now()
			return job
		}
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			time.Sleep(time.Second) // Retry-After
		}
	}
	return job
}

// startsOf returns the starts of a job's tasks.
func (f *fleet) startsOf(id string) []startRecord {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []startRecord
	for _, s := range f.starts {
		if s.job() == id {
			list = append(list, *s)
		}
	}
	return list
}
