package route

import "time"

// MarkHeld notes how much of a prompt each group probably caches.
func MarkHeld(scored []Scored, blocks []uint64, now time.Time) {
	if len(blocks) == 0 {
		return
	}
	for i := range scored {
		scored[i].Held = scored[i].Group.Load.Prompts.Held(blocks, now)
	}
}
