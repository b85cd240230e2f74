//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["crash-restart"] = playCrashRestart
	cases["crash-key"] = playCrashKey
	cases["crash-dark"] = playCrashDark
	cases["crash-late"] = playCrashLate
}

const (
	stabilityWindow = 3 * time.Second // bounds.stability_window_ms
	crashEngines    = 60              // the site has 66; of these at most 0.14 (dark) or 0.17 crash at once
	allowedRetries  = 3               // by the rule, later than the window after the third crash
	deadly          = "deadly"        // body of a request that crashes each engine that begins to run it
	orderDeadline   = 3 * time.Second // of an order, by the sheet
	streamDeadline  = 6 * time.Second // of a stream, by the sheet
	streamGap       = 2 * time.Second // after which clients abandon a stream, also before its first event
)

const (
	orderPath = "/order/x"
	talkPath  = "/talk/x"
)

var (
	orders = unsafeRoute("order", "desk")
	talks  = streamRoute("talk", "desk")
)

// crashLog notes which requests crash engines.
type crashLog struct {
	mu       sync.Mutex
	arrivals []arrival
	lost     int           // requests of bystanders that had no answer
	served   int           // requests of bystanders that had theirs
	dark     bool          // engines that crash fall silent: their connections are not reset
	writes   bool          // engines stream events before they crash
	after    time.Duration // between the first event and the crash
}

// serve is what an engine does that crashes on deadly requests.
func (c *crashLog) serve(e *engine, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if string(body) != deadly {
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		e.answer(w, r, usualWork)
		return
	}
	c.mu.Lock()
	c.arrivals = append(c.arrivals, arrival{at: time.Now(), engine: e.name(), id: r.Header.Get("Request-Id"), path: r.URL.Path})
	number := len(c.arrivals)
	c.mu.Unlock()
	e.world.note("deadly request %s reaches engine %s and crashes it: number %d", r.Header.Get("Request-Id"), e.name(), number)
	if c.writes {
		writeEvents(w, r, c.after)
	}
	e.crash(c.dark)
	if c.dark {
		<-r.Context().Done()
	}
}

func (c *crashLog) all() []arrival {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]arrival(nil), c.arrivals...)
}

// startCrashWorld starts three daemons, engines that crash on deadly requests, and callers with ordinary ones. The verdict
// does not depend on those.
func startCrashWorld(w *world, engines int, keys map[string][]string) *crashLog {
	log := &crashLog{}
	keys["bystanders"] = []string{"kb"}
	w.configure(1, []string{"desk"}, keys, orders, talks)
	for i := range engines {
		e := w.addEngine(fmt.Sprintf("i-%d", i), "desk", string("abc"[i%3]))
		e.serve = log.serve
	}
	for _, zone := range []string{"a", "b", "c"} {
		w.addDaemon("n-"+zone, zone).start(true)
	}
	w.awaitReady()
	time.Sleep(stabilityWindow)
	for _, d := range w.daemons {
		go log.bystand(d)
	}
	return log
}

// bystand sends ordinary orders, one after the other, until the end of the case.
func (c *crashLog) bystand(d *daemon) {
	const pause = 40 * time.Millisecond
	for n := 0; ; n++ {
		id := fmt.Sprintf("bystander-%s-%d", d.name, n)
		go func() {
			o := d.send(request{method: "POST", path: "/order/" + id, id: id, key: "kb", body: []byte(id), deadline: 3 * time.Second})
			c.mu.Lock()
			defer c.mu.Unlock()
			switch o.status {
			case http.StatusOK:
				c.served++
			case http.StatusServiceUnavailable:
			default:
				c.lost++
				d.world.note("order %s at %s: status %d, %v", id, d.name, o.status, o.err)
			}
		}()
		time.Sleep(pause)
	}
}

// comeAgain sends a deadly request again and again, at one daemon after the other, for a time.
func comeAgain(w *world, path, name, key string, pause, period time.Duration) {
	var group sync.WaitGroup
	for n, end := 0, time.Now().Add(period); time.Now().Before(end); n++ {
		d := w.daemons[n%len(w.daemons)]
		id := fmt.Sprintf("%s-%d", name, n)
		q := request{method: "POST", path: path, id: id, key: key, body: []byte(deadly), deadline: orderDeadline}
		if path == talkPath {
			q.deadline, q.patience = streamDeadline, streamGap
		}
		group.Go(func() {
			o := d.send(q)
			w.note("deadly request %s at %s with key %s: status %d, %v", id, d.name, key, o.status, o.err)
		})
		time.Sleep(pause)
	}
	group.Wait()
}

// awaitRefusal waits until a deadly request is known as such, and returns how often it has reached engines until the
// stability window after its third crash was over.
func (c *crashLog) awaitRefusal(w *world, key string) int {
	comeAgain(w, orderPath, "first", key, 150*time.Millisecond, 6*time.Second)
	before := c.all()
	if len(before) < 3 {
		cannotRun("the request crashed only %d engines", len(before))
	}
	if time.Since(before[2].at) < stabilityWindow {
		cannotRun("the third crash was too late")
	}
	return len(before)
}

// verdict counts the engines that the deadly request has reached too late, after the first so many.
func (c *crashLog) verdict(w *world, known int) bool {
	all := c.all()
	later := 0
	for _, a := range all[min(known, len(all)):] {
		if a.at.Sub(all[2].at) > stabilityWindow {
			later++
		}
	}
	w.say("at most %d of %d engines were down at once", mostDown(all), crashEngines)
	c.mu.Lock()
	w.say("ordinary orders meanwhile: %d answered, %d without an answer", c.served, c.lost)
	c.mu.Unlock()
	w.say("the deadly request crashed %d engines in all; later than %v after the third crash it reached %d, sent by machines in touch; %d are allowed", len(all), stabilityWindow, later, allowedRetries)
	return later > allowedRetries
}

// mostDown returns how many engines were down at once.
func mostDown(crashes []arrival) int {
	most := 0
	for i, first := range crashes {
		down := 0
		for _, other := range crashes[i:] {
			if other.at.Sub(first.at) < crashedFor {
				down++
			}
		}
		most = max(most, down)
	}
	return most
}

func playCrashRestart(w *world) bool {
	log := startCrashWorld(w, crashEngines, map[string][]string{"t": {"k1"}})
	known := log.awaitRefusal(w, "k1")
	if w.trouble {
		for _, d := range w.daemons {
			d.signal(syscall.SIGKILL)
		}
		time.Sleep(time.Second)
		for _, d := range w.daemons {
			d.start(false)
		}
		w.awaitReady()
	}
	time.Sleep(2 * stabilityWindow) // all machines are in touch again
	w.note("the machines are in touch")
	comeAgain(w, orderPath, "again", "k1", 150*time.Millisecond, 6*time.Second)
	return log.verdict(w, known)
}

func playCrashKey(w *world) bool {
	log := startCrashWorld(w, crashEngines, map[string][]string{"t": {"k1"}})
	known := log.awaitRefusal(w, "k1")
	key := "k1"
	if w.trouble {
		w.configure(2, []string{"desk"}, map[string][]string{"t": {"k2"}, "bystanders": {"kb"}}, orders, talks)
		key = "k2"
	}
	time.Sleep(stabilityWindow)
	comeAgain(w, orderPath, "again", key, 150*time.Millisecond, 6*time.Second)
	return log.verdict(w, known)
}

// writeEvents begins an answer and sends an event each 100 ms for a time.
func writeEvents(w http.ResponseWriter, r *http.Request, period time.Duration) {
	const pause = 100 * time.Millisecond
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Signature", "s."+r.Header.Get("Request-Id"))
	next := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		next = last + 1
	}
	for end := time.Now().Add(period); ; next++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", next)
		_ = http.NewResponseController(w).Flush()
		if !time.Now().Add(pause).Before(end) {
			return
		}
		time.Sleep(pause)
	}
}

func playCrashLate(w *world) bool {
	log := startCrashWorld(w, crashEngines, map[string][]string{"t": {"k1"}})
	log.writes = true
	if w.trouble {
		log.after = 500 * time.Millisecond
	}
	comeAgain(w, talkPath, "deadly", "k1", time.Second, 30*time.Second)
	return log.verdict(w, 3)
}

func playCrashDark(w *world) bool {
	log := startCrashWorld(w, crashEngines, map[string][]string{"t": {"k1"}})
	log.dark = w.trouble
	comeAgain(w, talkPath, "deadly", "k1", time.Second, 30*time.Second)
	return log.verdict(w, 3)
}
