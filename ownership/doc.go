// Package ownership decides which member of a group owns which range of keys.
// It comprises the state machines of the member, the coordinator and the
// successor; Node joins them. The package uses no network, goroutine or lock:
// inputs and the current instant are passed to Node.Step, which returns the
// effects that the caller carries out.
package ownership
