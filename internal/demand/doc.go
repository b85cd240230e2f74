// Package demand measures how many requests callers make for each model, served or refused. Each
// daemon counts its own; the sum over all daemons decides which groups are formed and what is
// admitted under overload. All of it is soft state: it is lost at a restart and known again 2 s
// later.
package demand
