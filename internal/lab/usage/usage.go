// Package usage reads what processes use of the machine, from /proc.
package usage

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// tick is the unit of processor time in /proc, and so the error of CPU.
const tick = 10 * time.Millisecond

// CPU is the processor time that a process has used; 0 if it is gone.
func CPU(pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	ticks := 0
	for _, f := range fields[11:13] {
		n, _ := strconv.Atoi(f)
		ticks += n
	}
	return time.Duration(ticks) * tick
}

// Resident is a process's memory now, in MiB; 0 if it is gone.
func Resident(pid int) float64 { return status(pid, "VmRSS:") }

// Peak is the most memory that a process had, in MiB; 0 if it is gone.
func Peak(pid int) float64 { return status(pid, "VmHWM:") }

func status(pid int, key string) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	_, rest, _ := strings.Cut(string(text), key)
	kb, _ := strconv.Atoi(strings.Fields(rest + " 0")[0])
	return float64(kb) / 1024
}
