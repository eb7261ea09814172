// Command cases-2 plays the scripts of the second independent review against the program of the deploy file. It starts its own
// store and upstreams on loopback addresses, and exits with 0 if the rule held, 1 if it was broken and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// cases are the cases by their number. Each returns what broke the rule.
var cases = map[string]func(*environment) ([]string, error){
	"6": longBody,
	"9": slowRead,
	"8": failedRun,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases-2 NUMBER FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(number, folder string) int {
	e := &environment{trouble: os.Getenv("TROUBLE") != "0", started: time.Now()}
	var err error
	if e.program, err = filepath.Abs("target/plank-entry"); err != nil {
		return fail(err)
	}
	if e.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		return fail(err)
	}
	defer e.record.Close()
	if e.dir, err = os.MkdirTemp("", "review-2-"); err != nil {
		return fail(err)
	}
	defer os.RemoveAll(e.dir)
	e.logf("case %s, trouble %v", number, e.trouble)
	broken, err := cases[number](e)
	if err != nil {
		e.logf("the case could not run: %v", err)
		return fail(err)
	}
	for _, line := range broken {
		e.logf("BROKEN: %s", line)
		fmt.Println(line)
	}
	e.logf("%d violations", len(broken))
	if len(broken) > 0 {
		return 1
	}
	fmt.Println("the rule held")
	return 0
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return 2
}
