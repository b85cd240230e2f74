package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["ids"] = playIDs }

const (
	streamEvents   = 8
	tokensPerEvent = 6 // as the sheet says
	eventPause     = 60 * time.Millisecond
	streamsOfEach  = 12
	allowedClosed  = 3 // by the rule
)

// streamer is an engine whose events bear the number of tokens written so far, or of events.
type streamer struct{ step int }

func (s *streamer) serve(e *engine, w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/talk/") {
		e.answer(w, r, usualWork)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.world.note("engine %s runs %s after event %d", e.name(), r.Header.Get("Request-Id"), last)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Signature", "s."+r.Header.Get("Request-Id"))
	for number := last/s.step + 1; number <= streamEvents; number++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: part %d\n\n", number*s.step, number); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventPause)
	}
	e.world.note("engine %s has sent all of %s", e.name(), r.Header.Get("Request-Id"))
}

// kept is a connection of a client that it uses for one request after the other.
type kept struct {
	conn   net.Conn
	reader *bufio.Reader
}

func (d *daemon) connect() *kept {
	conn, err := net.Dial("tcp", d.callers)
	if err != nil {
		cannotRun("%v", err)
	}
	return &kept{conn, bufio.NewReader(conn)}
}

// ask sends a request and reads its answer to the end.
func (k *kept) ask(path, id, body string) outcome {
	began := time.Now()
	_ = k.conn.SetDeadline(began.Add(6 * time.Second))
	_, err := fmt.Fprintf(k.conn, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 6000\r\nAuthorization: Bearer k1\r\nContent-Length: %d\r\n\r\n%s", path, host, id, len(body), body)
	if err != nil {
		return outcome{err: err, took: time.Since(began)}
	}
	answer, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return outcome{err: err, took: time.Since(began)}
	}
	data, err := io.ReadAll(answer.Body)
	return outcome{status: answer.StatusCode, signed: answer.Header.Get("Response-Signature") != "", body: string(data), err: err, took: time.Since(began)}
}

func playIDs(w *world) bool {
	s := &streamer{step: 1}
	if w.trouble {
		s.step = tokensPerEvent
	}
	w.configure(1, []string{"desk"}, map[string][]string{"t": {"k1"}}, orders, talks)
	for i := range 6 {
		w.addEngine(fmt.Sprintf("i-%d", i), "desk", string("abc"[i%3])).serve = s.serve
	}
	for _, zone := range []string{"a", "b", "c"} {
		w.addDaemon("n-"+zone, zone).start(true)
	}
	w.awaitReady()
	time.Sleep(stabilityWindow)
	var mu sync.Mutex
	closed, streams, orderly := 0, map[bool]int{}, map[bool]int{}
	var group sync.WaitGroup
	for _, d := range w.daemons {
		group.Go(func() {
			connection := d.connect()
			for n := range streamsOfEach {
				id := fmt.Sprintf("order-%s-%d", d.name, n)
				o := connection.ask("/order/x", id, id)
				mu.Lock()
				orderly[o.status == http.StatusOK && o.err == nil]++
				mu.Unlock()
				id = fmt.Sprintf("talk-%s-%d", d.name, n)
				o = connection.ask("/talk/x", id, id)
				whole := o.status == http.StatusOK && o.err == nil && strings.Count(o.body, "data: ") == streamEvents
				w.note("client of %s gets for %s: status %d, %d of %d events, %v", d.name, id, o.status, strings.Count(o.body, "data: "), streamEvents, o.err)
				mu.Lock()
				streams[whole]++
				if o.err != nil {
					closed++
				}
				mu.Unlock()
				if o.err != nil {
					_ = connection.conn.Close()
					connection = d.connect()
				}
			}
			_ = connection.conn.Close()
		})
	}
	group.Wait()
	w.say("orders: %d answered, %d not; streams: %d whole, %d not; %d kept connections were closed over a stream of a sound engine, %d are allowed",
		orderly[true], orderly[false], streams[true], streams[false], closed, allowedClosed)
	return closed > allowedClosed
}
