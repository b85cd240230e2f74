// Package endpoint is the only place that knows the wire formats of endpoints:
// model engines and plain services. It decides nothing.
//
// An engine is met over HTTP. GET /v1/report returns its member report. POST
// /v1/control carries a join or a release with its fencing number. POST
// /v1/generate, sent to a group's leader, starts a stream of server-sent
// events: each data line is one Frame, and an answer is whole only when its
// last frame has Done set. DELETE /v1/generate/{attempt} cancels. A generate
// with ResumeFrom continues an attempt that the engine still holds.
//
// The first frame of an answer carries the engine's cache events that follow
// CacheAfter. A block of a prompt is named by the XXH64 hash, cut to 53 bits, of
// the model, a zero byte, the adapter, a zero byte and the prompt's JSON text up
// to the end of the block; see request.Prompt.
package endpoint
