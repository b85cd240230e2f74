// Package reconcile is the reconcile loop of a daemon: it publishes the view that
// requests are routed by, proposes the planner's changes to the group stream, and
// sends members the control orders that they have yet to carry out.
package reconcile
