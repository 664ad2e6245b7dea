package deployment

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

// Usage is what a process has used so far.
type Usage struct {
	Processor time.Duration
	// Resident is in bytes.
	Resident int64
}

// Usage reads what the process has used so far.
func (process *Process) Usage() (Usage, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process.ID()))
	if err != nil {
		return Usage{}, Error.Wrap(err)
	}
	// The fields after the name, which is in parentheses, begin with the state.
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	const userTime, systemTime, residentPages = 11, 12, 21
	if len(fields) <= residentPages {
		return Usage{}, Error.New("unexpected form of /proc/%d/stat", process.ID())
	}
	user, _ := strconv.ParseInt(fields[userTime], 10, 64)
	system, _ := strconv.ParseInt(fields[systemTime], 10, 64)
	pages, _ := strconv.ParseInt(fields[residentPages], 10, 64)
	return Usage{
		Processor: time.Duration(user+system) * clockTick,
		Resident:  pages * int64(os.Getpagesize()),
	}, nil
}
