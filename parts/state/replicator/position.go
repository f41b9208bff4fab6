package replicator

// offsetBits is the number of bits of a position that hold the offset.
const offsetBits = 40

// Position places a record of a log that may come back from an older copy of itself, and then gives offsets out again:
// positions rise over such returns, which the era counts. Without returns a position is the offset.
func Position(era, offset uint64) uint64 { return era<<offsetBits | offset }

// Era returns the number of returns before a position.
func Era(position uint64) uint64 { return position >> offsetBits }

// Offset returns the offset of a position within its era.
func Offset(position uint64) uint64 { return position & (1<<offsetBits - 1) }
