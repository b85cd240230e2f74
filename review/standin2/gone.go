//go:build review

package main

import (
	"fmt"
	"os"
)

type goneCommand struct {
	Record  string `long:"record" required:"true"`
	DrainMS int64  `long:"drain-ms" required:"true"`
}

// Execute checks the rule DRAIN: a request reaches an engine later than drain_ms after the store has acknowledged that
// the engine is gone.
func (c *goneCommand) Execute([]string) error {
	events, err := readRecord(c.Record)
	if err != nil || len(events) == 0 {
		fmt.Println("no record:", err)
		os.Exit(exitNotRun)
	}
	gone := map[string]int64{} // when the store acknowledged it, by engine
	arrived, late, last := 0, 0, int64(0)
	for _, e := range events {
		switch e.What {
		case whatGone:
			gone[e.Engine] = e.At
		case whatArrived:
			arrived++
			at := gone[e.Engine]
			if at == 0 || e.At <= at+c.DrainMS {
				continue
			}
			if late++; late <= 3 {
				fmt.Printf("DRAIN at %d: request %s reaches engine %s %d ms after the store had acknowledged that it is gone\n", e.At, e.Detail, e.Engine, e.At-at)
			}
			last = e.At - at
		}
	}
	fmt.Printf("%d requests arrived, %d of them later than %d ms after their engine was gone, the last one %d ms after\n", arrived, late, c.DrainMS, last)
	switch {
	case arrived == 0:
		os.Exit(exitNotRun)
	case late > 0:
		os.Exit(exitBroken)
	}
	return nil
}
