package route

import (
	"math"
	"time"
)

// Judgement is what answers and reports of a target say of it. The choice of
// targets weighs the figures behind it; a judgement tells people of changes.
type Judgement struct {
	Slow    bool
	Failing bool
	Ejected bool
}

// Bounds of a judgement. What is true already stays so down to half the bound,
// so that a figure that wavers about it gives no line each time.
const (
	// slowMultiple is how much slower than usual a target is when its requests
	// are better off elsewhere even if those targets are half full.
	slowMultiple = 2
	// failingShare is the share of recent answers that are failures.
	failingShare = 0.5
	// judgedHalfLife is the time in which the slowness that is judged follows
	// the reports half way: a line is worth it for what lasts for seconds.
	judgedHalfLife = 2 * time.Second
	// judgementMemory is how long a report of slowness counts: a target that
	// gets no requests sends none.
	judgementMemory = 5 * time.Second
)

// Judge says of each target with something worth telling what it is.
func (book *Book) Judge(at time.Time, before func(id string) Judgement) map[string]Judgement {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	judged := map[string]Judgement{}
	for id, target := range book.targets {
		if judgement := book.judge(at, target, before(id)); judgement != (Judgement{}) {
			judged[id] = judgement
		}
	}
	return judged
}

func (book *Book) judge(at time.Time, target *knowledge, before Judgement) Judgement {
	slowness := 0.0
	if at.Sub(target.reported) <= judgementMemory {
		slowness = target.load.Slowness / max(1, book.usualSlowness)
	}
	kept := math.Exp2(-float64(at.Sub(target.judged)) / float64(judgedHalfLife))
	target.slowness = target.slowness*kept + slowness*(1-kept)
	target.judged = at
	return Judgement{
		Slow:    exceeds(target.slowness, slowMultiple, before.Slow),
		Failing: exceeds(decayed(target.failing, at.Sub(target.failed)), failingShare, before.Failing),
		Ejected: at.Before(target.ejectedUntil),
	}
}

// exceeds compares a figure with a bound, and with half of it if it exceeded it
// before.
func exceeds(figure, bound float64, before bool) bool {
	if before {
		bound /= 2
	}
	return figure >= bound
}
