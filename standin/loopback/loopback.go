// Package loopback gives test fleets addresses on the loopback interface, so that
// each VM has an IP address of its own and all VMs use the platform's ports, which
// are below those that the kernel picks for outgoing connections.
package loopback

import (
	"fmt"
	"os"
)

// IP returns an address in 127.0.0.0/8. It depends on the process ID, so that
// concurrent runs on one host use different addresses. Index is below 255.
func IP(subnet, index int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid%250, 2*(pid/250%120)+subnet, index+1)
}
