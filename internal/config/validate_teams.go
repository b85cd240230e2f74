package config

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/strictyaml"
)

func (v *validator) teams() {
	names := map[string]string{}
	hashes := map[string]string{}
	for i, team := range v.whole.Teams {
		path := fmt.Sprintf("teams[%d]", i)
		v.name(path+".name", string(team.Name))
		v.unique(names, path+".name", string(team.Name))
		v.number(path+".share", "teams[].share", float64(team.Share))
		v.number(path+".priority", "teams[].priority", float64(team.Priority))
		v.keyHashes(path, team, hashes)
	}
}

// keyHashes checks that a key belongs to one team only.
func (v *validator) keyHashes(path string, team Team, seen map[string]string) {
	if len(team.KeyHashes) == 0 {
		v.refuse(path+".key_hashes", strictyaml.Missing, "want at least one hash")
	}
	for i, hash := range team.KeyHashes {
		below := fmt.Sprintf("%s.key_hashes[%d]", path, i)
		if !hashPattern.MatchString(hash) {
			// What is not a hash may be a key, so it stays out of the message.
			v.refuse(below, strictyaml.Malformed, "want "+boundHash)
			continue
		}
		v.unique(seen, below, hash)
	}
}
