package route

import "time"

// SetCachedBlocks sets, for each group, the number of leading blocks of the prompt
// that it probably caches.
func SetCachedBlocks(scored []Scored, blocks []uint64, now time.Time) {
	if len(blocks) == 0 {
		return
	}
	for i := range scored {
		scored[i].CachedBlocks = scored[i].Group.Load.Prompts.Held(blocks, now)
	}
}
