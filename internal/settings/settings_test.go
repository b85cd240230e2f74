package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.yaml.in/yaml/v3"

	"github.com/plantainmux/plantainmux/internal/strictyaml"
)

const (
	secret = "swordfish-swordfish"
	valid  = `data_centre: north
listen:
  caller: 127.0.0.1:8000
  peer: "[::1]:8001"
  admin: 127.0.0.1:8002
platform:
  log: http://127.0.0.1:9000
  vms: https://127.0.0.1:9001
peers:
  - {address: "127.0.0.1:8101", data_centre: north}
  - {address: "127.0.0.1:8201", data_centre: south}
peer_secret: swordfish-swordfish
admin_token: admin-token-of-length
timing:
  poll_ms: 100
  report_bound_ms: 600
`
)

func load(content string) (Settings, error) {
	path := filepath.Join(GinkgoT().TempDir(), "daemon.yaml")
	Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
	loaded, err := Load(path)
	var message error
	if err != nil {
		message = refusedMessage(strings.ReplaceAll(err.Error(), path, "daemon.yaml"))
	}
	return loaded, message
}

type refusedMessage string

func (m refusedMessage) Error() string { return string(m) }

var _ = Describe("Settings", func() {
	It("are loaded with defaults", func() {
		loaded, err := load(valid)
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.Timing.PollMS).To(Equal(100))
		Expect(loaded.Limits.Workers).To(Equal(DefaultWorkers))
	})

	DescribeTable("are rejected with file, line, field and reason",
		func(from, to, message string) {
			Expect(strings.Count(valid, from)).To(Equal(1))
			loaded, err := load(strings.Replace(valid, from, to, 1))
			Expect(err).To(MatchError(message))
			Expect(loaded).To(Equal(Settings{}))
			Expect(err.Error()).NotTo(ContainSubstring("swordfish"))
		},
		Entry("unknown field", "poll_ms", "pol_ms", "daemon.yaml:15: timing.pol_ms: unknown field: known fields: "+strings.Join(timingNames(), ", ")),
		Entry("duplicate field", "peers:", "data_centre: south\npeers:", "daemon.yaml:9: data_centre: duplicate field: also at line 1"),
		Entry("data centre missing", "data_centre: north\nlisten", "listen", "daemon.yaml:1: data_centre: missing: want 1 to 63 letters, digits, dots, dashes or underscores"),
		Entry("data centre malformed", "data_centre: north\nlisten", "data_centre: no rth\nlisten", `daemon.yaml:1: data_centre: malformed: want 1 to 63 letters, digits, dots, dashes or underscores, not "no rth"`),
		Entry("host name", "caller: 127.0.0.1:8000", "caller: localhost:8000", `daemon.yaml:3: listen.caller: malformed: want IP number and port, not "localhost:8000"`),
		Entry("address missing", "  admin: 127.0.0.1:8002\n", "", "daemon.yaml:2: listen.admin: missing: want IP number and port"),
		Entry("URL of a host name", "http://127.0.0.1:9000", "http://log:9000", `daemon.yaml:7: platform.log: malformed: want http:// or https://, IP number and port, not "log:9000"`),
		Entry("URL scheme", "https://127.0.0.1:9001", "ftp://127.0.0.1:9001", "daemon.yaml:8: platform.vms: malformed: want http:// or https://, IP number and port"),
		Entry("URL missing", "  vms: https://127.0.0.1:9001\n", "", "daemon.yaml:6: platform.vms: missing: want http:// or https://, IP number and port"),
		Entry("peer port 0", "127.0.0.1:8101", "127.0.0.1:0", `daemon.yaml:10: peers[0].address: malformed: want IP number and port, not "127.0.0.1:0"`),
		Entry("duplicate peer", "127.0.0.1:8201", "127.0.0.1:8101", `daemon.yaml:11: peers[1].address: duplicate: "127.0.0.1:8101" is also at line 10`),
		Entry("short secret", "swordfish-swordfish", "swordfish", "daemon.yaml:12: peer_secret: out of bounds: want at least 16 characters, not 9"),
		Entry("secret of the wrong type", "peer_secret: swordfish-swordfish", "peer_secret: [swordfish-swordfish]", "daemon.yaml:12: peer_secret: wrong type: want a string"),
		Entry("secret as an alias", "peer_secret: swordfish-swordfish", "peer_secret: *swordfish", "daemon.yaml: not YAML: unknown anchor "),
		Entry("token missing", "admin_token: admin-token-of-length\n", "", "daemon.yaml:1: admin_token: missing: want at least 16 characters"),
		Entry("equal secrets", "admin-token-of-length", "swordfish-swordfish", "daemon.yaml:13: admin_token: contradiction: must differ from peer_secret"),
		Entry("key without certificate", "timing:", "tls: {key: k.pem}\ntiming:", "daemon.yaml:14: tls: contradiction: certificate and key must be set together"),
		Entry("authority without certificate", "timing:", "tls: {authority: a.pem}\ntiming:", "daemon.yaml:14: tls.authority: contradiction: authority requires certificate and key"),
		Entry("number too small", "poll_ms: 100", "poll_ms: 1", "daemon.yaml:15: timing.poll_ms: out of bounds: want 10 to 60000 ms, not 1"),
		Entry("number not whole", "poll_ms: 100", "poll_ms: 1.5", "daemon.yaml:15: timing.poll_ms: wrong type: want a whole number"),
		Entry("number without a value", "poll_ms: 100", "poll_ms:", "daemon.yaml:15: timing.poll_ms: missing: the field has no value; leave it out instead"),
		Entry("report bound below the poll period", "report_bound_ms: 600", "report_bound_ms: 90", "daemon.yaml:16: timing.report_bound_ms: contradiction: want more than the 100 ms of poll_ms"),
	)

	DescribeTable("have bounds on every numeric field", func(path string) {
		section, name, _ := strings.Cut(path, ".")
		_, err := load(strings.Split(valid, "timing:")[0] + section + ":\n  " + name + ": -1\n")
		Expect(err).To(MatchError(ContainSubstring("daemon.yaml:15: " + path + ": out of bounds: want ")))
	}, numberPaths())

	It("have documentation for every field", func() {
		for _, field := range Reference() {
			Expect(field.Doc).NotTo(BeEmpty(), field.Path)
			Expect(field.Bounds).NotTo(BeEmpty(), field.Path)
		}
	})

	It("never print a secret", func() {
		loaded, err := load(valid)
		Expect(err).NotTo(HaveOccurred())
		var out bytes.Buffer
		for _, format := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%d"} {
			fmt.Fprintf(&out, format, loaded)
			fmt.Fprintf(&out, format, &loaded)
		}
		slog.New(slog.NewJSONHandler(&out, nil)).Info("settings", "settings", loaded)
		asJSON, _ := json.Marshal(loaded)
		asYAML, _ := yaml.Marshal(loaded)
		all := out.String() + string(asJSON) + string(asYAML)
		Expect(all).To(ContainSubstring("north"))
		for _, hidden := range []string{secret, "admin-token", fmt.Sprintf("%x", secret)} {
			Expect(all).NotTo(ContainSubstring(hidden))
		}
	})
})

func timingNames() []string {
	var names []string
	for _, path := range strictyaml.Paths(Settings{}) {
		if name, ok := strings.CutPrefix(path, "timing."); ok {
			names = append(names, name)
		}
	}
	return names
}

func numberPaths() []TableEntry {
	var entries []TableEntry
	for _, path := range strictyaml.Paths(Settings{}) {
		if _, ok := numericFields[path]; ok {
			entries = append(entries, Entry(path, path))
		}
	}
	return entries
}
