//go:build review

// Command standin runs the cases of this folder that are scripts: it is the platform's store, the engines and the
// clients, as the users' pages describe them, and starts the daemons as processes. It exits with 1 if the rule was broken,
// 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

var cases = map[string]func(folder string, trouble bool) (broken string){
	"hup-in-stop":    hupInStop,
	"two-heads":      twoHeads,
	"spoiled-answer": spoiledAnswer,
	"late-spare":     lateSpare,
	"encoded-slash":  encodedSlash,
}

var (
	recordMu   sync.Mutex
	recordFile *os.File
	began      = time.Now()
	fleet      []*daemon
	workFolder string
)

// note writes a line to record.txt.
func note(format string, values ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	_, _ = fmt.Fprintf(recordFile, "%8.3f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, values...))
}

func finish(code int) {
	for _, d := range fleet {
		d.kill()
	}
	if workFolder != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(workFolder)
	}
	os.Exit(code)
}

func couldNotRun(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	if recordFile != nil {
		note("the case could not run: %s", text)
	}
	fmt.Println("could not run:", text)
	finish(2)
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE RECORD, in the repository's root")
		os.Exit(2)
	}
	var err error
	if recordFile, err = os.Create(os.Args[2]); err != nil {
		fmt.Println("could not run:", err)
		os.Exit(2)
	}
	if workFolder, err = os.MkdirTemp("", "review-"); err != nil {
		couldNotRun("%v", err)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	note("case %s, trouble %t", os.Args[1], trouble)
	time.AfterFunc(110*time.Second, func() { couldNotRun("not done after 110 s") })
	broken := cases[os.Args[1]](workFolder, trouble)
	if broken != "" {
		note("the rule was broken: %s", broken)
		fmt.Println("broken:", broken)
		finish(1)
	}
	note("the rule held")
	fmt.Println("held")
	finish(0)
}
