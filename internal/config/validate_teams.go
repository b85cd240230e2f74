package config

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/strictyaml"
)

func (v *validator) teams() {
	names := map[string]string{}
	hashes := map[string]string{}
	for i, team := range v.configuration.Teams {
		path := fmt.Sprintf("teams[%d]", i)
		v.name(path+".name", string(team.Name))
		v.unique(names, path+".name", string(team.Name))
		v.number(path+".share", "teams[].share", float64(team.Share))
		v.number(path+".priority", "teams[].priority", float64(team.Priority))
		v.keyHashes(path, team, hashes)
	}
}

// keyHashes checks the key hashes of a team, and that no other team has the same
// key.
func (v *validator) keyHashes(path string, team Team, seen map[string]string) {
	if len(team.KeyHashes) == 0 {
		v.reject(path+".key_hashes", strictyaml.Missing, "want at least one hash")
	}
	for i, hash := range team.KeyHashes {
		itemPath := fmt.Sprintf("%s.key_hashes[%d]", path, i)
		if !hashPattern.MatchString(hash) {
			// The value may be a key in plain text, so the message omits it.
			v.reject(itemPath, strictyaml.Malformed, "want "+boundHash)
			continue
		}
		v.unique(seen, itemPath, hash)
	}
}
