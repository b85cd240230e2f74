// Package outbound describes exchanges with endpoints: what is sent, what comes back, and how an
// exchange fails. A Sender carries them out, whatever the way.
package outbound
