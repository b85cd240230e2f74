// Package reconcile turns what is known into action: it publishes the view,
// proposes the planner's changes and sends members the orders they have not
// obeyed.
package reconcile
