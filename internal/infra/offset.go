package infra

// Offset is the position of a record in its stream. The first record of a
// stream has offset 1.
type Offset uint64

// FirstOffset is the offset of the first record of every stream.
const FirstOffset Offset = 1
