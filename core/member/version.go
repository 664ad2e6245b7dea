package member

// The version of a member record consists of the epoch, which identifies the
// incarnation of the member's process, a counter of the records that the
// member has published about itself, and the rank of the state. Records are
// ordered by these fields in turn. Only the member itself increments the
// counter, so a suspicion is refuted only by the next record of the member.

const (
	rankBits    = 2
	counterBits = 20
	counterMask = 1<<counterBits - 1
)

// Ranks of records with the same epoch and counter. The member's own records
// have rankOwn, whatever their state. Other daemons override them with
// rankSuspect and rankDead.
const (
	rankOwn     = 0
	rankSuspect = 1
	rankDead    = 2
)

func encodeVersion(epoch int64, counter, rank uint64) uint64 {
	return uint64(epoch)<<(rankBits+counterBits) | (counter&counterMask)<<rankBits | rank
}

func epochOf(version uint64) int64 { return int64(version >> (rankBits + counterBits)) }

func counterOf(version uint64) uint64 { return version >> rankBits & counterMask }

func withRank(version, rank uint64) uint64 { return version>>rankBits<<rankBits | rank }
