// Command standin plays one case of the review: it starts the program of the deploy file and stand-ins of the store, the
// upstreams and the clients on loopback addresses. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// longest is after how long a case is ended.
	longest = 110 * time.Second
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (bool, error){
	"late-entry-owner": lateEntryOwner,
	"late-entry-hang":  lateEntryHang,
	"extra-refusal":    extraRefusal,
	"stop-pipeline":    stopPipeline,
	"stop-queue":       stopQueue,
}

func main() {
	root := flag.String("root", ".", "root of the repository")
	recordPath := flag.String("record", "record.txt", "where to write the record")
	name := flag.String("case", "", "the case to play")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	os.Exit(play(*root, *recordPath, *name, *trouble))
}

func play(root, recordPath, name string, trouble bool) int {
	run := cases[name]
	if run == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	w, err := newWorld(rec, root)
	if err != nil {
		rec.say("cannot run: %v", err)
		return exitNotRun
	}
	defer w.close()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := run(w, trouble)
		done <- result{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			rec.say("cannot run: %v", r.err)
			return exitNotRun
		case r.broken:
			rec.say("RESULT: the rule was broken")
			return exitBroken
		}
		rec.say("RESULT: the rule held")
		return exitHeld
	case <-stop:
		rec.say("cannot run: ended from outside")
	case <-time.After(longest):
		rec.say("cannot run: took too long")
	}
	return exitNotRun
}
