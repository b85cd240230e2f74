// Package logstream implements replicated state machines on streams of the
// platform's log. It folds the records of a stream into a state and proposes new
// records.
//
// Every record carries its writer's incarnation and a sequence number. A record
// is ignored when its sequence number is not above the highest one seen from its
// writer. An append can therefore be retried after its response was lost, and a
// later record of a writer fences all its earlier ones that have not reached the
// log yet. The result of a proposal is read back from the stream, never taken
// from the response to the append.
package logstream
