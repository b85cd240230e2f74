package fakes

import (
	"net"
	"net/http"
	"time"
)

// StartWireEngine starts an engine of the data centre "z" on loopback and registers it in a store.
func StartWireEngine(log *KeyedLog, id, service, domain string) (*WireEngine, error) {
	return StartWireEngineIn(log, "z", id, service, domain)
}

// StartWireEngineIn starts an engine in a data centre.
func StartWireEngineIn(log *KeyedLog, zone, id, service, domain string) (*WireEngine, error) {
	return startWireEngine(log, zone, id, service, domain, func(*WireEngine) {})
}

// StartMuteWireEngine starts an engine that does not say whether it is cold.
func StartMuteWireEngine(log *KeyedLog, id, service, domain string) (*WireEngine, error) {
	return startWireEngine(log, "z", id, service, domain, func(e *WireEngine) { e.mute = true })
}

// StartColdWireEngine starts an engine that says that it is cold for a time.
func StartColdWireEngine(log *KeyedLog, id, service, domain string, remaining time.Duration) (*WireEngine, error) {
	return startWireEngine(log, "z", id, service, domain, func(e *WireEngine) { e.cold = time.Now().Add(remaining) })
}

func startWireEngine(log *KeyedLog, zone, id, service, domain string, setUp func(*WireEngine)) (*WireEngine, error) {
	e := &WireEngine{listen: listenTCP, whole: map[string][]time.Time{}, ID: id, Service: service, Domain: domain, Zone: zone, lastEvent: defaultLastEvent, Born: time.Now().UnixMilli(), log: log, silence: NewFaultInjector(), runs: map[string]int{}, conns: map[net.Conn]http.ConnState{}}
	setUp(e)
	listener, err := e.listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e.serve(listener)
	e.register()
	return e, nil
}

func listenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// serve serves on a listener until the server is closed.
func (e *WireEngine) serve(listener net.Listener) {
	server := &http.Server{Handler: e, ReadHeaderTimeout: time.Second, ConnState: e.trackConn}
	e.mu.Lock()
	e.listener, e.server = listener, server
	e.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
}
