// Package wiretest helps specs of messages that daemons of two versions exchange.
package wiretest
