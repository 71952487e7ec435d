package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// scenario plays a case and returns what broke the rule, "" if it held. Without trouble it leaves out the disruption.
type scenario func(w *World, trouble bool) (broken string, err error)

var scenarios = map[string]scenario{}

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() {
	folder := flag.String("folder", ".", "folder for record.txt")
	flag.Parse()
	play := scenarios[flag.Arg(0)]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", flag.Arg(0))
		os.Exit(exitFailed)
	}
	w, err := newWorld(filepath.Join(*folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	code := exitFailed
	func() {
		defer w.close()
		limit := time.AfterFunc(110*time.Second, func() {
			w.logf("the case has run for too long")
			w.close()
			os.Exit(exitFailed)
		})
		defer limit.Stop()
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
		go func() {
			<-stop
			w.close()
			os.Exit(exitFailed)
		}()
		broken, err := play(w, os.Getenv("TROUBLE") != "0")
		switch {
		case err != nil:
			w.logf("not run: %v", err)
			fmt.Println("not run:", err)
		case broken != "":
			w.logf("BROKEN: %s", broken)
			fmt.Println("broken:", broken)
			code = exitBroken
		default:
			w.logf("held")
			fmt.Println("held")
			code = exitHeld
		}
	}()
	os.Exit(code)
}
