package mtsoak

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/mangotack/mangotack/internal/soak/mtinvariant"
	"github.com/mangotack/mangotack/platform/mtfake"
)

const (
	// crowdHeads and crowdBodies are the connections of a crowd with heads of very short lines and with bodies that stop short.
	// Without a budget of memory they take a process above it.
	crowdHeads  = 300
	crowdBodies = 200
	// crowdHeadBytes and crowdBodyBytes are at the limits of the configuration.
	crowdHeadBytes = 16 << 10
	crowdBodyBytes = 1 << 20
	// crowdMemoryMB is memory_mb in the settings of mtfake.
	crowdMemoryMB = 200
	// crowdSampleInterval is the time between two looks at the memory of the process.
	crowdSampleInterval = 50 * time.Millisecond
)

// playCrowd sends an instance requests that stop short of their end, on connections that stay open for a duration. The
// callers of the soak must be answered as ever, so no fault is recorded.
func (r *run) playCrowd(index int, duration time.Duration) {
	address := r.gateways[index].Instance.CallsAddress()
	start := "POST /pay/crowd HTTP/1.1\r\nHost: " + mtfake.VirtualHost + "\r\n"
	head := start + "Content-Length: 10\r\n"
	head += strings.Repeat("a:\r\n", (crowdHeadBytes-len(head))/len("a:\r\n")) + "\r\nabc"
	body := start + fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBodyBytes) + strings.Repeat("x", crowdBodyBytes-len("1234567"))
	until := time.Now().Add(duration)
	for number := range crowdHeads + crowdBodies {
		text := head
		if number >= crowdHeads {
			text = body
		}
		r.taskGroup.Go(func() {
			conn, err := net.DialTimeout("tcp", address, time.Until(until))
			if err != nil {
				// The instance is stopped, or closes connections above its limit.
				return
			}
			defer conn.Close()
			_ = conn.SetDeadline(until)
			// The instance may refuse the request and close the connection at any time.
			_, _ = conn.Write([]byte(text))
			r.sleep(time.Until(until))
		})
	}
	for time.Now().Before(until) && r.ctx.Err() == nil {
		if megabytes := residentMegabytes(r.gateways[index].ProcessID()); megabytes > crowdMemoryMB {
			r.checker.Report(r.now(), mtinvariant.MemoryKept, "instance %d uses %d MB of %d", index, megabytes, crowdMemoryMB)
			return
		}
		r.sleep(crowdSampleInterval)
	}
}

// residentMegabytes returns the resident size of a process, or 0 if it does not run.
func residentMegabytes(processID int) int {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", processID))
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, _ := strconv.Atoi(fields[0])
	return kilobytes >> 10
}
