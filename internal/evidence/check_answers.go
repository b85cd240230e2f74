package evidence

import "fmt"

func checkAnswersWhole(digests []digestItem) *Finding {
	f := newFinding(
		AnswersWhole,
		"the content of responses, which is never recorded",
		"responses of a daemon that was killed before it appended its next digest",
	)
	var total Answers
	for _, digest := range digests {
		total = total.plus(digest.Answers)
		if digest.Answers.WithoutEnd > 0 {
			f.breach(digest.stream, digest.item, fmt.Sprintf(
				"daemon %s reported %d responses as done without their end marker", digest.Daemon, digest.Answers.WithoutEnd))
		}
	}
	f.checked("whole answers", total.Done)
	f.checked("explicit refusals", total.NotRun+total.Unknown)
	f.checked("frames of other attempts dropped", total.ForeignFrames)
	return f
}

func checkLeavingDrained(digests []digestItem) *Finding {
	f := newFinding(LeavingDrained, "whether the platform's list of VMs announced a leaving VM too late")
	var attempts uint64
	for _, digest := range digests {
		for _, use := range digest.Groups {
			attempts += use.Attempts
		}
		if digest.LeavingStarts > 0 {
			f.breach(digest.stream, digest.item, fmt.Sprintf(
				"daemon %s started %d attempts on leaving endpoints", digest.Daemon, digest.LeavingStarts))
		}
	}
	f.checked("attempts", attempts)
	return f
}

func checkStopsGraceful(digests []digestItem) *Finding {
	f := newFinding(StopsGraceful, "daemons that were killed: they append no final digest")
	var stops uint64
	for _, digest := range digests {
		if digest.Final {
			stops++
		}
		if digest.CutRequests > 0 {
			f.breach(digest.stream, digest.item, fmt.Sprintf(
				"daemon %s aborted %d requests when it stopped", digest.Daemon, digest.CutRequests))
		}
	}
	f.checked("planned stops", stops)
	return f
}
