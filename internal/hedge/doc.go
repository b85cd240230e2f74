// Package hedge decides when a request gets another attempt beside one that is in progress. The attempt in
// progress goes on until the other one has brought output, so that a pause of sound endpoints, however many
// pause at once, ends no answer: whichever attempt goes on first is the answer. It answers the load of a
// service whose endpoints all fall silent at the same moment. It has no clock and does no I/O.
package hedge
