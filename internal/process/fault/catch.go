package fault

import (
	"fmt"
	"runtime/debug"
)

// Catch runs a function and returns its panic as an error of kind Internal, with the
// stack, or nil if there was none. It bounds the effect of an unexpected error to the
// request, link or term that caused it.
func Catch(function func()) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = Wrap(Internal, fmt.Errorf("%v\n%s", cause, debug.Stack()), "unexpected error")
		}
	}()
	function()
	return nil
}
