//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

type headCommand struct {
	Model   string   `long:"model" required:"true"`
	Staged  string   `long:"staged" description:"model that every engine of the group is to have on its host"`
	Engines []string `long:"engine" description:"ID=ADDRESS of each engine of a domain"`
}

// report is what the command reads of an engine's report.
type report struct {
	Models []struct{ Name string }
	Staged []string
	Group  struct {
		Name, State string
		Epoch       uint64
		Rank        int
	}
}

// Execute prints the ID of the head of the open group of a model.
func (c *headCommand) Execute([]string) error {
	client := &http.Client{Timeout: time.Second}
	head, unstaged := "", 0
	for _, entry := range c.Engines {
		id, address, _ := strings.Cut(entry, "=")
		answer, err := client.Get("http://" + address + "/api/report")
		if err != nil {
			continue
		}
		var r report
		err = json.NewDecoder(answer.Body).Decode(&r)
		_ = answer.Body.Close()
		if err != nil || len(r.Models) == 0 || r.Models[0].Name != c.Model {
			continue
		}
		if c.Staged != "" && (len(r.Staged) == 0 || r.Staged[0] != c.Staged) {
			unstaged++
		}
		if r.Group.State == "open" && r.Group.Rank == 0 {
			head = id
		}
	}
	if head == "" || unstaged > 0 {
		return errors.New("no open group that is ready")
	}
	fmt.Println(head)
	return nil
}
