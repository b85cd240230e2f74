package fakes

import (
	"net"
	"net/http"
	"sync"
)

// pathFaults sets the fault switches of a stand-in.
const pathFaults = "/faults"

// Server runs one stand-in on a loopback address. It can be killed and started
// again under the same address.
type Server struct {
	handler http.Handler

	mu      sync.Mutex
	address string
	server  *http.Server
}

// StartServer serves a handler on address; port 0 picks a free one.
func StartServer(address string, handler http.Handler) (*Server, error) {
	s := &Server{handler: handler, address: address}
	if err := s.Start(); err != nil {
		return nil, err
	}
	return s, nil
}

// Start listens again after a Kill.
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

// Kill closes the listener and every connection at once.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.server.Close()
}
