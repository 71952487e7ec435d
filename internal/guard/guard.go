// Package guard turns panics into errors, so that a fault in handling one message does not end the process.
package guard

import (
	"runtime/debug"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
)

// ErrPanic is the cause of the error that replaces a panic. What the call had done before is unknown.
const ErrPanic = errors.ConstError("the call failed unexpectedly")

// Recover, deferred by a call, replaces a panic by an error that wraps ErrPanic. It logs the stack.
func Recover(log hclog.Logger, call string, err *error) {
	if cause := recover(); cause != nil {
		log.Error("call ended by a panic", "call", call, "cause", cause, "stack", string(debug.Stack()))
		*err = errors.Annotatef(ErrPanic, "%s: %v", call, cause)
	}
}
