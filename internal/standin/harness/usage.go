package harness

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of processor times in /proc, which is 1/100 s on Linux.
const clockTick = 10 * time.Millisecond

// Usage is the resource usage of a process.
type Usage struct {
	// CPU is the processor time used since the start, in user and kernel mode.
	CPU time.Duration
	// Resident is the resident memory, in bytes.
	Resident int64
}

// ReadUsage reads the usage of a process from /proc. What cannot be read is 0.
func ReadUsage(pid int) Usage {
	var u Usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	// The positions of utime and stime, counted from the field after the program's name.
	const userField, systemField = 11, 12
	if len(fields) > systemField {
		user, _ := strconv.ParseInt(fields[userField], 10, 64)
		system, _ := strconv.ParseInt(fields[systemField], 10, 64)
		u.CPU = time.Duration(user+system) * clockTick
	}
	pages, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return u
	}
	if fields := strings.Fields(string(pages)); len(fields) > 1 {
		resident, _ := strconv.ParseInt(fields[1], 10, 64)
		u.Resident = resident * int64(os.Getpagesize())
	}
	return u
}
