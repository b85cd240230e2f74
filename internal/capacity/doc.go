// Package capacity fits lines to measured costs, to extrapolate the cost at a size
// that cannot be measured.
package capacity
