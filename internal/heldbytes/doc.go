// Package heldbytes accounts for the bytes that a daemon holds for exchanges, and limits them.
package heldbytes
