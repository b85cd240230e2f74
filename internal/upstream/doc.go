// Package upstream pools HTTP/1.1 connections to endpoints. Its errors distinguish
// whether any byte of a request was sent. It never retries a request by itself, and
// never reuses a connection that has unread bytes.
package upstream
