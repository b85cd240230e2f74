package fakes

import "time"

// The port may be in use for a moment by an outgoing connection of another process.
const (
	listenTries = 20
	listenPause = 50 * time.Millisecond
)

// Restart ends the engine's process and starts it again at its address after a time, as a new
// incarnation without a group that is cold for a time. Meanwhile connections are refused, and the
// entry stays. It returns when the new incarnation began to listen.
func (e *WireEngine) Restart(down, cold time.Duration) (time.Time, error) {
	e.mu.Lock()
	server, address := e.server, e.listener.Addr().String()
	e.mu.Unlock()
	_ = server.Close()
	time.Sleep(down)
	e.mu.Lock()
	e.startIncarnation()
	started := time.Now()
	e.cold = started.Add(cold)
	e.mu.Unlock()
	listener, err := e.listen(address)
	for try := 1; err != nil && try < listenTries; try++ {
		time.Sleep(listenPause)
		listener, err = e.listen(address)
	}
	if err != nil {
		return time.Time{}, err
	}
	e.serve(listener)
	e.register()
	return started, nil
}
