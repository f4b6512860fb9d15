package result

import (
	"errors"
	"io"
	"testing"
)

// Guards against a cause that no caller of Wrap can find, as a refused connection once was.
func TestHasCause(t *testing.T) {
	err := Wrap(StoreUnavailable, Wrap(ConnectFailed, errors.Join(io.EOF, errors.New("other")), "inner"), "outer")
	if !HasCause(err, io.EOF) || HasCause(err, io.ErrClosedPipe) || HasCause(nil, io.EOF) {
		t.Fatal("the cause is not told")
	}
}
