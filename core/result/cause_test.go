package result

import (
	"errors"
	"io"
	"testing"
)

// Guards against causes that HasCause does not find behind several calls of Wrap, as happened with a refused connection.
func TestHasCause(t *testing.T) {
	err := Wrap(StoreUnavailable, Wrap(ConnectFailed, errors.Join(io.EOF, errors.New("other")), "inner"), "outer")
	if !HasCause(err, io.EOF) || HasCause(err, io.ErrClosedPipe) || HasCause(nil, io.EOF) {
		t.Fatal("HasCause does not tell the causes of an error from other errors")
	}
}
