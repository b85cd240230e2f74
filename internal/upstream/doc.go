// Package upstream keeps HTTP/1.1 connections to endpoints. It tells whether a
// byte of a request was sent, never repeats one by itself, and gives no
// connection to another request on which anything is left to read.
package upstream
