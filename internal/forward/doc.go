// Package forward carries out exchanges with endpoints: over this daemon's own connections, or
// through another daemon while this one is cut off from the endpoints.
package forward
