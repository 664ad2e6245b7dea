package admit

import (
	"math"
	"time"
)

// Weights and times of what a gate learns about its upstream.
const (
	// serviceWeight is the part that one request has in a mean time.
	serviceWeight = 0.1
	// slownessMemory is how long the upstream's word on its slowness counts:
	// neighbours on its machine come and go within a few hundred milliseconds.
	slownessMemory = 300 * time.Millisecond
	// slownessWeight is the part that one word has in the mean slowness.
	slownessWeight = 0.05
)

// work keeps how long requests run on an upstream that is not slowed.
type work struct {
	// byClass has the mean for each class of requests, mean that of all.
	byClass map[string]time.Duration
	mean    time.Duration
	// slowness is the upstream's last word, slownessMean the mean of all.
	slowness     float64
	slownessMean float64
	toldAt       time.Time
}

// Told is the upstream's word on how long work takes now, as a multiple of the
// usual time.
type Told struct {
	At       time.Time
	Slowness float64
}

func (Told) event() {}

func (work *work) told(told Told) {
	if told.Slowness <= 0 {
		return
	}
	if work.slownessMean == 0 {
		work.slownessMean = told.Slowness
	}
	work.slownessMean += (told.Slowness - work.slownessMean) * slownessWeight
	work.slowness = told.Slowness
	work.toldAt = told.At
}

// slownessAt is the slowness that is believed at a time: the last word while
// it is fresh, fading to the mean.
func (work *work) slownessAt(at time.Time) float64 {
	if work.slowness == 0 {
		return 1
	}
	fresh := max(0, 1-float64(at.Sub(work.toldAt))/float64(slownessMemory))
	return work.slowness*fresh + work.slownessMean*(1-fresh)
}

// runTime is how long a request of a class runs if it starts at a time. The
// empty class stands for the mean of all.
func (work *work) runTime(at time.Time, class string) time.Duration {
	mean, known := work.byClass[class]
	if !known {
		mean = work.mean
	}
	return time.Duration(float64(mean) * work.slownessAt(at))
}

// likelyRunTime is runTime for a request that may start later: the upstream may
// be less slow by then.
func (work *work) likelyRunTime(at time.Time, class string) time.Duration {
	run := work.runTime(at, class)
	if now := work.slownessAt(at); work.slownessMean > 0 && now > work.slownessMean {
		return time.Duration(float64(run) * work.slownessMean / now)
	}
	return run
}

// learn takes a request that ran for a time while the upstream was slowed by a
// multiple.
func (work *work) learn(class string, took time.Duration, slowness float64) {
	usual := time.Duration(float64(took) / max(1, slowness))
	work.mean = meanOf(work.mean, usual)
	if work.byClass == nil {
		work.byClass = map[string]time.Duration{}
	}
	if class != "" && (len(work.byClass) < maxClasses || work.byClass[class] > 0) {
		work.byClass[class] = meanOf(work.byClass[class], usual)
	}
}

// maxClasses bounds the classes that a gate keeps apart.
const maxClasses = 256

func meanOf(old, fresh time.Duration) time.Duration {
	if old == 0 {
		return fresh
	}
	return time.Duration(math.Round(float64(old)*(1-serviceWeight) + float64(fresh)*serviceWeight))
}
