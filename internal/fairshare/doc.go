// Package fairshare divides capacity between teams. It is used for the slots of a model
// (internal/admit) and for what is admitted under overload (internal/overload).
package fairshare
