// Package apportion decides which groups of one model make way for groups of another, so that the
// groups follow the demand of callers. It handles demand that differs from the configured shares
// for tens of seconds: closing a group costs its streams up to 2.5 s of grace and their resumption
// elsewhere, and its endpoints are of no use for 2 to 5 s. All of it is a pure function of its
// input.
package apportion
