// Package callerapi is the HTTP API for callers: completions, chat completions, the
// list of models, and calls of plain services.
package callerapi
