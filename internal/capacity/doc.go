// Package capacity fits slopes to measured costs, so that the cost at a size
// that cannot be run can be worked out.
package capacity
