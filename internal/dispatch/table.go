package dispatch

import "time"

const (
	// settling is how much later than an assignment a report of its daemon must be received to
	// contain it: the answer and the report take below 1 ms in a data centre, the rest is scheduling.
	settling = 5 * time.Millisecond

	// An assignment of which no report was received is forgotten after this number of intervals
	// between reports, and after minAssignmentMaxAge at the earliest: after six lost reports, a daemon
	// is assumed to be gone. The interval is 0.1 s, and above 33 daemons in a data centre 3 ms for each.
	assignmentMaxAgeIntervals = 6
	minAssignmentMaxAge       = 600 * time.Millisecond

	reportTimeoutIntervals = 10
	minReportTimeout       = time.Second

	// promptWindow is how long the prompt of an assignment counts at its target: about the two
	// passes for which it waits and is read. Reports of prompts that wait are older than that. In
	// trials of the simulation of long prompts, the goodput on the wave was 0.917, 0.950, 0.950, 0.969,
	// 0.963 and 0.964 with 0.05, 0.1, 0.2, 0.25, 0.3 and 0.4 s, 0.832 without dispatchers.
	promptWindow = 250 * time.Millisecond
)

// Table holds the latest assignments of a dispatcher. With 990 requests per second in a data centre
// it holds some 300 of them, 30 KB; with 300 daemons in one data centre, which report every 0.9 s, and
// 6,900 requests per second some 3,400. An assignment counts as a request in progress until a report
// of its daemon contains it. The zero value is ready for use; it is not safe for concurrent use.
type Table struct {
	ReportInterval time.Duration // between two reports of a daemon

	assignments []assignment        // in the order in which they were added
	read        int                 // of these, from the first on, whose prompts no longer count
	sums        map[string]Assigned // by target, kept up to date since a sum of 5,000 assignments takes 1 ms
}

// ReportTimeout returns the age of the latest report of a daemon from which on a dispatcher does not
// choose for it, given the interval between reports: it does not hear the daemons then, and knows no
// loads.
func ReportTimeout(interval time.Duration) time.Duration {
	return max(minReportTimeout, reportTimeoutIntervals*interval)
}

// Add records that a request of a daemon is assigned to a target. reported states that the request
// is counted as in progress at once, as those of the dispatcher itself are.
func (t *Table) Add(daemon, target string, promptTokens int, reported bool, now time.Time) {
	t.assignments = append(t.assignments, assignment{daemon: daemon, target: target, promptTokens: promptTokens, reported: reported, at: now})
	t.count(target, 0, promptTokens)
	if !reported {
		t.count(target, 1, 0)
	}
}

// count adds to the sums of a target.
func (t *Table) count(target string, requests, promptTokens int) {
	if t.sums == nil {
		t.sums = map[string]Assigned{}
	}
	sum := t.sums[target]
	sum.Requests += requests
	sum.PromptTokens += promptTokens
	if sum == (Assigned{}) {
		delete(t.sums, target)
		return
	}
	t.sums[target] = sum
}

// expirePrompts counts the prompts out that have been read by now.
func (t *Table) expirePrompts(now time.Time) {
	for ; t.read < len(t.assignments) && now.Sub(t.assignments[t.read].at) > promptWindow; t.read++ {
		t.count(t.assignments[t.read].target, 0, -t.assignments[t.read].promptTokens)
	}
}

// Review takes note of the latest reports of the daemons, by the time at which they were received,
// and forgets the assignments that count no longer.
func (t *Table) Review(receivedAt map[string]time.Time, now time.Time) {
	t.expirePrompts(now)
	maxAge := max(minAssignmentMaxAge, assignmentMaxAgeIntervals*t.ReportInterval)
	kept, read := t.assignments[:0], 0
	for i, a := range t.assignments {
		if !a.reported && (receivedAt[a.daemon].Sub(a.at) > settling || now.Sub(a.at) > maxAge) {
			a.reported = true
			t.count(a.target, -1, 0)
		}
		isRead := i < t.read
		if isRead && a.reported {
			continue
		}
		if isRead {
			read++
		}
		kept = append(kept, a)
	}
	clear(t.assignments[len(kept):])
	t.assignments, t.read = kept, read
}

// Assigned returns what is assigned to each target, by its key. The result is valid until the table
// is changed.
func (t *Table) Assigned(now time.Time) map[string]Assigned {
	t.expirePrompts(now)
	return t.sums
}
