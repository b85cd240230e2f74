package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"

	"github.com/plantainmux/plantainmux/internal/strictyaml"
)

const minSecretLength = 16 // characters

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// validator collects the problems of the settings.
type validator struct {
	settings Settings
	document *strictyaml.Document
	problems strictyaml.Problems
}

// Validate checks settings to which the defaults have been applied. document
// gives the file and lines of the problems.
func Validate(s Settings, document *strictyaml.Document) strictyaml.Problems {
	v := &validator{settings: s, document: document}
	v.name("data_centre", string(s.DataCentre))
	v.address("listen.caller", s.Listen.Caller, true)
	v.address("listen.peer", s.Listen.Peer, true)
	v.address("listen.admin", s.Listen.Admin, true)
	v.baseURL("platform.log", s.Platform.Log)
	v.baseURL("platform.vms", s.Platform.VMs)
	v.peers()
	v.secrets()
	v.tls()
	v.numbers()
	return v.problems
}

func (v *validator) reject(path string, reason strictyaml.Reason, detail string) {
	v.problems = append(v.problems, v.document.Problem(path, reason, detail))
}

func (v *validator) name(path, value string) {
	switch {
	case value == "":
		v.reject(path, strictyaml.Missing, "want "+boundName)
	case !namePattern.MatchString(value):
		v.reject(path, strictyaml.Malformed, fmt.Sprintf("want %s, not %q", boundName, value))
	}
}

// address checks an IP address and port. Port 0, with which a listener picks a
// free port, is accepted only if anyPort is true.
func (v *validator) address(path, value string, anyPort bool) {
	if value == "" {
		v.reject(path, strictyaml.Missing, "want "+boundAddress)
		return
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 && !anyPort {
		v.reject(path, strictyaml.Malformed, fmt.Sprintf("want %s, not %q", boundAddress, value))
	}
}

func (v *validator) baseURL(path, value string) {
	if value == "" {
		v.reject(path, strictyaml.Missing, "want "+boundURL)
		return
	}
	parsed, err := url.Parse(value)
	if err != nil || parsed.User != nil || parsed.Scheme != "http" && parsed.Scheme != "https" {
		v.reject(path, strictyaml.Malformed, "want "+boundURL)
		return
	}
	if _, err := netip.ParseAddrPort(parsed.Host); err != nil {
		v.reject(path, strictyaml.Malformed, fmt.Sprintf("want %s, not %q", boundURL, parsed.Host))
	}
}

func (v *validator) peers() {
	seen := map[string]int{}
	for i, peer := range v.settings.Peers {
		path := fmt.Sprintf("peers[%d]", i)
		v.address(path+".address", peer.Address, false)
		v.name(path+".data_centre", string(peer.DataCentre))
		if first, repeated := seen[peer.Address]; repeated {
			line := v.document.Line(fmt.Sprintf("peers[%d].address", first))
			v.reject(path+".address", strictyaml.Duplicate, fmt.Sprintf("%q is also at line %d", peer.Address, line))
			continue
		}
		seen[peer.Address] = i
	}
}

// secrets checks the peer secret and the admin token. Messages never contain a
// secret.
func (v *validator) secrets() {
	v.secret("peer_secret", v.settings.PeerSecret)
	v.secret("admin_token", v.settings.AdminToken)
	if v.settings.PeerSecret != "" && v.settings.PeerSecret == v.settings.AdminToken {
		v.reject("admin_token", strictyaml.Contradiction, "must differ from peer_secret")
	}
}

func (v *validator) secret(path, value string) {
	switch {
	case value == "":
		v.reject(path, strictyaml.Missing, "want "+boundSecret)
	case len(value) < minSecretLength:
		v.reject(path, strictyaml.OutOfBounds, fmt.Sprintf("want %s, not %d", boundSecret, len(value)))
	}
}

func (v *validator) tls() {
	tls := v.settings.TLS
	if (tls.Certificate == "") != (tls.Key == "") {
		v.reject("tls", strictyaml.Contradiction, "certificate and key must be set together")
	}
	if tls.Authority != "" && tls.Certificate == "" {
		v.reject("tls.authority", strictyaml.Contradiction, "authority requires certificate and key")
	}
}

func (v *validator) numbers() {
	for _, path := range strictyaml.Paths(Settings{}) {
		bounds, ok := numericFields[path]
		if !ok {
			continue
		}
		if value := numberAt(v.settings, path); value < bounds.min || value > bounds.max {
			v.reject(path, strictyaml.OutOfBounds, fmt.Sprintf("want %d to %d %s, not %d", bounds.min, bounds.max, bounds.unit, value))
		}
	}
	if t := v.settings.Timing; t.ReportBoundMS <= t.PollMS {
		v.reject("timing.report_bound_ms", strictyaml.Contradiction, fmt.Sprintf("want more than the %d ms of poll_ms", t.PollMS))
	}
}
