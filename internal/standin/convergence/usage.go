package convergence

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the kernel's unit of processor time.
const clockTick = 10 * time.Millisecond

// usage is what a process has used so far.
type usage struct {
	cpu time.Duration
	// resident memory in bytes.
	resident int64
}

// usageOf reads a process's own accounts.
func usageOf(pid int) usage {
	var u usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const userField, systemField = 11, 12
	if len(fields) > systemField {
		user, _ := strconv.ParseInt(fields[userField], 10, 64)
		system, _ := strconv.ParseInt(fields[systemField], 10, 64)
		u.cpu = time.Duration(user+system) * clockTick
	}
	pages, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return u
	}
	if fields := strings.Fields(string(pages)); len(fields) > 1 {
		resident, _ := strconv.ParseInt(fields[1], 10, 64)
		u.resident = resident * int64(os.Getpagesize())
	}
	return u
}
