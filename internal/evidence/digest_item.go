package evidence

import (
	"cmp"
	"maps"
	"slices"

	"github.com/plantainmux/plantainmux/internal/logstream"
)

// digestItem is a digest with the record that contains it.
type digestItem struct {
	Digest
	stream string
	item   Item
}

// decodeDigests returns the digests that overlap a span, ordered by data centre and
// offset.
func decodeDigests(records Records, span Span) []digestItem {
	var digests []digestItem
	for _, dataCentre := range sortedKeys(records.Evidence) {
		history := records.Evidence[dataCentre]
		for _, item := range history.Items {
			digest := digestItem{stream: history.Stream, item: item}
			if item.Entry.Kind != KindDigest || logstream.Unmarshal(item.Entry.Body, &digest.Digest) != nil {
				continue
			}
			if digest.To >= span.From.UnixMilli() && digest.From <= span.To.UnixMilli() {
				digests = append(digests, digest)
			}
		}
	}
	return digests
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
