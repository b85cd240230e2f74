//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
)

type checkCommand struct {
	Record string `long:"record" required:"true"`
}

// membership names a group as orders do.
type membership struct {
	group string
	epoch uint64
}

// headState is what the record shows of the head of a group.
type headState struct {
	head    string
	state   string
	stallAt int64 // since when it stands still, Unix milliseconds; 0: it does not
}

// Execute checks the rule TWO: an engine takes a join of another group while the head of its group is open or
// closing, or stands still and is not yet broken. Only groups of another name count as another group. A head that
// is paused, or has lost a member, for as long as the stall counts as broken.
func (c *checkCommand) Execute([]string) error {
	events, err := readRecord(c.Record)
	if err != nil || len(events) == 0 {
		fmt.Println("no record:", err)
		os.Exit(exitNotRun)
	}
	heads := map[membership]*headState{}
	broken, joins, open, renamed := 0, 0, 0, 0
	for _, e := range events {
		key := membership{e.Group, e.Epoch}
		switch e.What {
		case whatState:
			if e.Engine != e.Head {
				continue
			}
			if heads[key] == nil {
				heads[key] = &headState{head: e.Engine}
			}
			heads[key].state = e.Detail
			if e.Detail == "open" {
				open++
			}
		case whatLeft:
			if h := heads[key]; h != nil && h.head == e.Engine {
				h.state = "left"
			}
		case whatPaused:
			for _, h := range heads {
				if h.head == e.Engine && h.stallAt == 0 {
					h.stallAt = e.At
				}
			}
		case "continued":
			for _, h := range heads {
				if h.head == e.Engine && h.state != "broken" {
					h.stallAt = 0
				}
			}
		case whatJoined:
			joins++
			old := heads[membership{e.OldGroup, e.OldEpoch}]
			if old == nil {
				continue
			}
			if e.Engine == old.head {
				old.state = "left"
				continue
			}
			serves := old.state == "open" || old.state == "closing"
			stalled := old.stallAt != 0 && e.At-old.stallAt >= stallTime.Milliseconds()
			if serves && !stalled {
				since := "open"
				if old.stallAt != 0 {
					since = fmt.Sprintf("open, and has stood still for %d ms of %d", e.At-old.stallAt, stallTime.Milliseconds())
				}
				kind := "TWO"
				if e.Group == e.OldGroup {
					kind = "(same name, not counted)"
					renamed++
				} else {
					broken++
				}
				fmt.Printf("%s at %d: engine %s takes a join of %s epoch %d while the head %s of its group %s epoch %d is %s\n", kind, e.At, e.Engine, e.Group, e.Epoch, old.head, e.OldGroup, e.OldEpoch, since)
			}
			if serves && old.stallAt == 0 {
				old.stallAt = e.At // it misses this member from now on
			}
		}
	}
	fmt.Printf("%d joins, %d times a group opened, rule TWO broken %d times, %d more under the group's own name\n", joins, open, broken, renamed)
	switch {
	case open == 0:
		os.Exit(exitNotRun)
	case broken > 0:
		os.Exit(exitBroken)
	}
	return nil
}

func readRecord(path string) ([]event, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	var events []event
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var e event
		if strings.HasPrefix(lines.Text(), "{") && json.Unmarshal(lines.Bytes(), &e) == nil {
			events = append(events, e)
		}
	}
	slices.SortStableFunc(events, func(a, b event) int { return int(a.At - b.At) })
	return events, nil
}
