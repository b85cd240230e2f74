package fakes

import (
	"net"
	"net/http"
	"sync"
)

// pathFaults is the path that sets the faults of a fake.
const pathFaults = "/faults"

// Server serves one fake over HTTP. It can be killed and started again on the same
// address.
type Server struct {
	handler http.Handler

	mu      sync.Mutex
	address string
	server  *http.Server
}

// StartServer serves a handler on address, an IP number and port; port 0 selects a
// free one.
func StartServer(address string, handler http.Handler) (*Server, error) {
	s := &Server{handler: handler, address: address}
	if err := s.Start(); err != nil {
		return nil, err
	}
	return s, nil
}

// Start listens on the address, again after Kill.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.address = listener.Addr().String()
	server := &http.Server{Handler: s.handler}
	s.server = server
	go func() { _ = server.Serve(listener) }()
	return nil
}

// Address returns the IP number and port.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// URL returns the base URL.
func (s *Server) URL() string {
	return "http://" + s.Address()
}

// Kill closes the listener and all connections at once.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.server.Close()
}
