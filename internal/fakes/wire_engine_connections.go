package fakes

import (
	"net/http"
	"time"
)

// halfHeads are beginnings of answers. None is an answer, whatever its status.
var halfHeads = []string{"HTTP/1.1 2", "HTTP/1.1 200 OK\r\nResponse-Signa", "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConte"}

const halfHeadPause = 300 * time.Millisecond // before the end of every other connection with half a head

// CloseKept closes the connections on which no request runs. One may be on its way.
func (e *WireEngine) CloseKept() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn, state := range e.conns {
		if state == http.StateIdle {
			_ = conn.Close()
		}
	}
}

// AnswerHalf makes the next requests run and get half a head for an answer, and then the end of the connection.
func (e *WireEngine) AnswerHalf(count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.halves = count
}

// takeHalf returns the number of the request among those that get half a head, 0 if it is none. The caller holds mu.
func (e *WireEngine) takeHalf() int {
	number := e.halves
	e.halves = max(number-1, 0)
	return number
}

func answerHalf(w http.ResponseWriter, number int) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write([]byte(halfHeads[number%len(halfHeads)])); err == nil && number%2 == 0 {
		time.Sleep(halfHeadPause)
	}
}
