// Package callerapi is the HTTP interface of callers: completions, chat
// completions, the list of models, and calls of plain services.
package callerapi
