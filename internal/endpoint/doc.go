// Package endpoint implements the wire formats of endpoints, which are model
// engines and plain services. It contains no routing or retry policy.
//
// Engines speak HTTP. GET /v1/report returns the engine's member report. POST
// /v1/control sends a join or release order with its fencing number. POST
// /v1/generate, sent to a group's leader, starts a stream of server-sent events:
// each data line is one Frame, and an answer is complete only if its last frame
// has Done set. DELETE /v1/generate/{attempt} cancels an attempt. A generate
// request with ResumeFrom resumes an attempt that the engine still holds.
//
// The first frame of an answer contains the engine's cache events after
// CacheAfter. A block of a prompt is identified by the XXH64 hash, truncated to 53
// bits, of the model, a zero byte, the adapter, a zero byte and the prompt's JSON
// text up to the end of the block; see request.Prompt.
package endpoint
