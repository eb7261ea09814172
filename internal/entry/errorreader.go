package entry

import "io"

// errorReader keeps the error of the last read. A parser may report a line that was cut short as malformed instead.
type errorReader struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (r *errorReader) Read(buffer []byte) (int, error) {
	n, err := r.Reader.Read(buffer)
	r.err = err
	return n, err
}
