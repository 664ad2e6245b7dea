package member

// A member's version orders all that is said of it: first by the incarnation
// of its process, then by the number of its own statements, then by the rank
// of what others say. Only the member itself counts up, so a suspicion is
// refuted by the member's next statement and by nothing else.

const (
	rankBits    = 2
	counterBits = 20
	counterMask = 1<<counterBits - 1
)

const (
	rankAlive   = 0
	rankSuspect = 1
	rankDead    = 2
)

func versionOf(epoch int64, counter, rank uint64) uint64 {
	return uint64(epoch)<<(rankBits+counterBits) | (counter&counterMask)<<rankBits | rank
}

func epochOf(version uint64) int64 { return int64(version >> (rankBits + counterBits)) }

func counterOf(version uint64) uint64 { return version >> rankBits & counterMask }

func withRank(version, rank uint64) uint64 { return version>>rankBits<<rankBits | rank }
