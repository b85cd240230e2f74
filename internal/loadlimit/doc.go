// Package loadlimit bounds the loads from the weight store that the planners of a fleet begin.
package loadlimit
