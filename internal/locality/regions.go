package locality

// Regions maps the names of data centres to those of their regions. It is immutable.
type Regions map[string]string

// AllowsTarget reports whether a request may be sent to an endpoint of a data centre. A data
// centre without a region is allowed only for requests without restriction: a missing setting must
// not send a body out of its region.
func (r Regions) AllowsTarget(allowed *Allowed, dataCentre string) bool {
	return allowed == nil || allowed.contains(r[dataCentre])
}

// AllowsForwarder reports whether the body of a request may be passed on to a daemon of the data
// centre forwarder if its caller connected to a daemon of the data centre entry.
func (r Regions) AllowsForwarder(allowed *Allowed, entry, forwarder string) bool {
	return r.AllowsTarget(allowed, forwarder) || r.same(entry, forwarder)
}

// same reports whether two data centres are known to be in one region.
func (r Regions) same(a, b string) bool {
	return a == b || r[a] != "" && r[a] == r[b]
}
