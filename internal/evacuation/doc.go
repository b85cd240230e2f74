// Package evacuation folds the operators' records into the set of data centres that take no
// requests. The records in the store are authoritative. What other daemons tell reaches a daemon
// that the store does not answer.
package evacuation
