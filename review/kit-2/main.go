// Command kit-2 plays the scripted cases of the second review: real daemons on loopback
// addresses, with stand-ins for clients, targets and the platform's store in this process.
//
// # Usage
//
//	target/review-2 CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the case's rule was broken, 0 if it held
// and 2 if the case could not run. With TROUBLE=0 in the environment the case does the same
// without its disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// hasTrouble reports whether the disruption is to take place.
func hasTrouble() bool { return os.Getenv("TROUBLE") != "0" }

// record is the file in which a case says what was sent, answered and run.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
}

func (record *record) log(format string, arguments ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	_, _ = fmt.Fprintf(record.file, "%8.3f  %s\n", time.Since(record.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// verdict logs whether the rule was broken and returns the exit code.
func (record *record) verdict(broken bool, format string, arguments ...any) int {
	text := fmt.Sprintf(format, arguments...)
	code, word := 0, "held"
	if broken {
		code, word = 1, "broken"
	}
	record.log("rule %s: %s", word, text)
	fmt.Printf("rule %s: %s\n", word, text)
	return code
}

// cases are the scripted cases by name.
var cases = map[string]func(*record) (int, error){
	"path":     playPath,
	"drill":    playDrill,
	"freeze":   playFreeze,
	"restart":  playRestart,
	"handover": playHandover,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(2)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	record := &record{file: file, started: time.Now()}
	record.log("case %s, disruption %t", os.Args[1], hasTrouble())
	code, err := cases[os.Args[1]](record)
	if err != nil {
		record.log("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = 2
	}
	_ = file.Close()
	os.Exit(code)
}
