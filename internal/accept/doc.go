// Package accept keeps servers accepting connections whatever errors that meets.
package accept
