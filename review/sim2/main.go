// Command sim2 plays the cases of review/REPORT-2.md that are scripts: it starts nodes with the command of the deploy file on
// loopback addresses, beside stand-ins of the platform, its workers and clients, and checks one rule.
//
//	sim2 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"time"
)

// outcome is the result of a case; an error means that it could not run.
type outcome struct {
	broken bool
	what   string
}

var cases = map[string]func(d *deployment, trouble bool) (outcome, error){
	"pending":   playPending,
	"kind":      playKind,
	"anonymous": playAnonymous,
	"upkeep":    playUpkeep,
	"lease":     playLease,
	"close":     playClose,
	"large":     playLarge,
}

// limit is the longest time that a case may take.
const limit = 110 * time.Second

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: sim2 CASE RECORD")
		return 2
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	rec := &recorder{file: file, began: time.Now()}
	d, err := newDeployment(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	type result struct {
		o   outcome
		err error
	}
	results := make(chan result, 1)
	go func() {
		o, err := cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0")
		results <- result{o, err}
	}()
	var r result
	select {
	case r = <-results:
	case <-time.After(limit):
		r.err = fmt.Errorf("the case took longer than %v", limit)
	}
	d.close()
	switch {
	case r.err != nil:
		rec.note("could not run: %v", r.err)
		fmt.Println("could not run:", r.err)
		return 2
	case r.o.broken:
		rec.note("rule broken: %s", r.o.what)
		fmt.Println("rule broken:", r.o.what)
		return 1
	}
	rec.note("rule held: %s", r.o.what)
	fmt.Println("rule held:", r.o.what)
	return 0
}
