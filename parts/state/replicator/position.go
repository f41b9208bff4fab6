package replicator

// offsetBits is the number of low bits of a position that hold the offset.
const offsetBits = 40

// Position combines an offset with the era of the log. A log that is restored from an older copy assigns some offsets
// again; the era counts these restores, so that positions keep increasing. In era 0 a position equals the offset.
func Position(era, offset uint64) uint64 { return era<<offsetBits | offset }

// Era returns the number of times the log was restored from an older copy before position.
func Era(position uint64) uint64 { return position >> offsetBits }

// Offset returns the offset in the log, which is unique only within the era of position.
func Offset(position uint64) uint64 { return position & (1<<offsetBits - 1) }
