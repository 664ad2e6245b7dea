package deployment

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of CPU times in /proc.
const clockTick = 10 * time.Millisecond

// Usage is the CPU time and the memory that a process has used.
type Usage struct {
	CPUTime time.Duration
	// ResidentBytes is the size of the memory that the process holds in RAM.
	ResidentBytes int64
}

// Usage reads the CPU time and the memory of the process from /proc.
func (process *Process) Usage() (Usage, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process.ID()))
	if err != nil {
		return Usage{}, Error.Wrap(err)
	}
	// The process name stands in parentheses and may contain spaces, so the fields
	// are counted from the state, which follows it.
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	const userTime, systemTime, residentPages = 11, 12, 21
	if len(fields) <= residentPages {
		return Usage{}, Error.New("unexpected format of /proc/%d/stat", process.ID())
	}
	user, _ := strconv.ParseInt(fields[userTime], 10, 64)
	system, _ := strconv.ParseInt(fields[systemTime], 10, 64)
	pages, _ := strconv.ParseInt(fields[residentPages], 10, 64)
	return Usage{
		CPUTime:       time.Duration(user+system) * clockTick,
		ResidentBytes: pages * int64(os.Getpagesize()),
	}, nil
}
