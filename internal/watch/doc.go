// Package watch polls the health reports of the members assigned to this daemon,
// exchanges observations with the peers, and keeps the latest observation of
// each member.
package watch
