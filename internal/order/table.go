package order

import "maps"

// tableShards is the number of shards of a table.
const tableShards = 256

// table holds the records of a slot with copy-on-write shards: a snapshot shares
// the shards, and a shared shard is copied before it is modified. Records are
// never modified in place.
type table struct {
	shards [tableShards]shard
	size   int
}

// shard is a part of a table.
type shard struct {
	records map[Key]*Record
	shared  bool // with a snapshot
}

func (t *table) find(key Key) (Record, bool) {
	record, ok := t.shards[shardOf(key)].records[key]
	if !ok {
		return Record{}, false
	}
	return *record, true
}

func (t *table) put(key Key, record Record) {
	records := t.writable(key)
	t.size -= len(records)
	records[key] = &record
	t.size += len(records)
}

func (t *table) remove(key Key) {
	records := t.writable(key)
	t.size -= len(records)
	delete(records, key)
	t.size += len(records)
}

// writable returns the records of a key's shard for modification, after copying a
// shared shard.
func (t *table) writable(key Key) map[Key]*Record {
	s := &t.shards[shardOf(key)]
	if s.shared {
		s.records = maps.Clone(s.records)
		s.shared = false
	}
	if s.records == nil {
		s.records = map[Key]*Record{}
	}
	return s.records
}

// each calls visit with every record.
func (t *table) each(visit func(*Record)) {
	for i := range t.shards {
		for _, record := range t.shards[i].records {
			visit(record)
		}
	}
}

// freeze returns an immutable copy that shares all shards.
func (t *table) freeze() *table {
	for i := range t.shards {
		t.shards[i].shared = true
	}
	frozen := *t
	return &frozen
}

// all returns the records of all shards in one map.
func (t *table) all() map[Key]*Record {
	all := make(map[Key]*Record, t.size)
	for i := range t.shards {
		maps.Copy(all, t.shards[i].records)
	}
	return all
}

func shardOf(key Key) int {
	return int(keyHash(key) / Slots % tableShards)
}
