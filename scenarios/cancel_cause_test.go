package scenarios

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// cancelCause is why work of a cancelled job ran on.
type cancelCause string

const (
	// replacedTerm means that a term answered 410 although a later one had accepted the job.
	replacedTerm cancelCause = "410 from a replaced term"
	// lateSubmission means that the job was accepted only after the 410.
	lateSubmission cancelCause = "submission accepted after the 410"
	// lostCancel means that the cancel was recorded and not carried out.
	lostCancel cancelCause = "recorded cancel not carried out"
	// unknownCause means that the logs match none of the others.
	unknownCause cancelCause = "unknown"
)

// logLine is a line of a node's log that names a job.
type logLine struct {
	node, text string
	at         time.Time
	message    string
	call       string
	fence      int64
	termAge    time.Duration
}

// nodeLogs holds the lines of all nodes that explain answers.
type nodeLogs struct {
	byJob map[string][]logLine // in the order of their times
	terms map[int64]time.Time  // when a node first followed the owner with this fence
}

func (s *cancelSoak) readLogs() *nodeLogs {
	l := &nodeLogs{byJob: map[string][]logLine{}, terms: map[int64]time.Time{}}
	for _, n := range s.nodes {
		file, err := os.Open(filepath.Join(s.dir, n.name+".log"))
		s.check(err)
		for lines := bufio.NewScanner(file); lines.Scan(); {
			l.add(n.name, lines.Bytes())
		}
		s.check(file.Close())
	}
	for _, lines := range l.byJob {
		slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	}
	return l
}

// add adds a line about an owner, or about submitting or cancelling a job.
func (l *nodeLogs) add(node string, text []byte) {
	var fields struct {
		Message   string    `json:"@message"`
		Time      time.Time `json:"@timestamp"`
		ID        string
		Job       string
		Method    string
		Call      string
		Fence     int64
		TermAgeMS int64 `json:"term_age_ms"`
	}
	if json.Unmarshal(text, &fields) != nil {
		return // output of a process that ended abruptly
	}
	job := fields.Job
	switch fields.Message {
	case "owner changed":
		if first, known := l.terms[fields.Fence]; !known || fields.Time.Before(first) {
			l.terms[fields.Fence] = fields.Time
		}
		return
	case "request finished":
		if fields.Method == http.MethodGet {
			return
		}
		job = fields.ID
	case "no such job", "job accepted", "job cancelled", "job ended", "job withdrawn: the store does not answer":
	default:
		return
	}
	l.byJob[job] = append(l.byJob[job], logLine{
		node: node, text: string(text), at: fields.Time, message: fields.Message, call: fields.Call,
		fence: fields.Fence, termAge: time.Duration(fields.TermAgeMS) * time.Millisecond,
	})
}

// classification is the cause of an untrue 410 or of work that ran on, and the lines that show it.
type classification struct {
	cause    cancelCause
	answer   *jobRequest
	refused  logLine // the decision of the 410
	replaced bool    // whether the term that decided it had been replaced
	accepted logLine // by the term that recorded the job
}

func (c classification) String() string {
	text := fmt.Sprintf("%s; %d from %s at %s", c.cause, c.answer.status, c.answer.node.name, clock(c.answer.answered))
	if c.refused.message != "" {
		term := "current"
		if c.replaced {
			term = "replaced"
		}
		text += fmt.Sprintf("; decided by %s at %s, fence %d, %s, term age %v",
			c.refused.node, clock(c.refused.at), c.refused.fence, term, c.refused.termAge)
	}
	if c.accepted.message != "" {
		text += fmt.Sprintf("; job accepted by %s at %s, fence %d", c.accepted.node, clock(c.accepted.at), c.accepted.fence)
	}
	return text
}

// classify finds the cause of an answer to a request for a job whose first run began at the given time.
func (l *nodeLogs) classify(id string, answer *jobRequest, firstRun time.Time) classification {
	c := classification{cause: unknownCause, answer: answer}
	if answer.status != http.StatusGone {
		c.cause = lostCancel
		return c
	}
	call := "cancel"
	if answer.method == http.MethodGet {
		call = "status"
	}
	for _, line := range l.byJob[id] {
		switch {
		case line.message == "no such job" && line.call == call && !line.at.After(answer.answered):
			c.refused = line
		case line.message == "job accepted" && line.at.Before(firstRun):
			c.accepted = line
		}
	}
	if c.refused.message == "" || c.accepted.message == "" {
		return c
	}
	for fence, begin := range l.terms {
		c.replaced = c.replaced || fence > c.refused.fence && begin.Before(c.refused.at)
	}
	switch {
	case c.accepted.at.After(c.refused.at):
		c.cause = lateSubmission
	case c.accepted.fence > c.refused.fence:
		c.cause = replacedTerm
	}
	return c
}
