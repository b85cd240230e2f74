package main

import (
	"fmt"
	"slices"
)

const (
	// rateTolerance is the relative difference up to which daemons agree on demand, capacity and
	// utilisation: each knows the demand of the others 0.2 to 0.7 s late.
	rateTolerance = 0.1
	// ageTolerance is the difference up to which daemons agree on since when a data centre is
	// evacuated: each has to know of it within 5 s.
	ageTolerance = 5.0
)

// statusValue is what one daemon says of something.
type statusValue struct {
	text     string  // "-": it says nothing, or does not know
	number   float64 // what is compared if format is set, in place of the text
	format   string  // of a number
	absolute float64 // difference up to which numbers agree
}

func textValue(text string) statusValue { return statusValue{text: text} }

// rateValue returns a value that daemons agree on if it differs little; nil: not known.
func rateValue(rate *float64, format string) statusValue {
	if rate == nil {
		return textValue("-")
	}
	return statusValue{text: fmt.Sprintf(format, *rate), number: *rate, format: format}
}

// summary returns what several daemons say in one, and whether they agree.
func summary(values []statusValue) (string, bool) {
	same := func(value statusValue) bool { return value.text == values[0].text }
	if !slices.ContainsFunc(values, func(value statusValue) bool { return !same(value) }) {
		return values[0].text, true
	}
	least, most := values[0], values[0]
	for _, value := range values {
		if value.format == "" {
			return "", false
		}
		if value.number < least.number {
			least = value
		}
		if value.number > most.number {
			most = value
		}
	}
	if most.number-least.number > max(rateTolerance*most.number, most.absolute) {
		return "", false
	}
	return least.text + " to " + most.text, true
}
