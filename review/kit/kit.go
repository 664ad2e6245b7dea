// Package kit has the stand-ins of the review: the platform's store, targets,
// consumers and the machines on which daemons run as processes of their own. All
// addresses are loopback addresses.
//
// # Usage
//
//	record, err := kit.Create("record.txt")
//	store := &kit.Store{Record: record}
//	fleet := &kit.Fleet{Record: record, Store: store}
//	machine := fleet.Add("m1", "zone-a", "intake")
//	err = fleet.Start(machine)
package kit

import (
	_ "embed"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

//go:embed names.txt
var nameLines string

var names = parseNames(nameLines)

func parseNames(text string) map[string]string {
	parsed := map[string]string{}
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		key, value, _ := strings.Cut(line, " ")
		parsed[key] = strings.TrimSpace(value)
	}
	return parsed
}

// Name returns a name of the platform, such as that of a header.
func Name(key string) string {
	name, found := names[key]
	if !found {
		panic("kit: no name for " + key)
	}
	return name
}

// Record is the file that a case writes what was sent, answered and run to.
type Record struct {
	started time.Time

	mutex sync.Mutex
	file  *os.File
}

// Create creates the file of a record.
func Create(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{started: time.Now(), file: file}, nil
}

// Seconds returns the seconds since the start of the record.
func (record *Record) Seconds() float64 { return time.Since(record.started).Seconds() }

// Line writes a line with the time.
func (record *Record) Line(format string, arguments ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	_, _ = fmt.Fprintf(record.file, "%8.3f  %s\n", time.Since(record.started).Seconds(), fmt.Sprintf(format, arguments...))
}
