// Package dispatch decides for the daemons of a data centre which group takes a request.
//
// Load: more requests than one daemon sees, at groups that many daemons would choose independently
// with delayed information. The choice and the table of assignments do no I/O and read no clock.
package dispatch
