package bytebudget

import (
	"bytes"
	"io"
)

const (
	// firstStep and readStep bound the number of bytes that are reserved at a time. Between them it is the number of bytes
	// that have arrived.
	firstStep = 512
	readStep  = 32 << 10
)

// ReadAll reads at most limit bytes and reserves the memory for them as they arrive, so that a peer that announces much
// and sends nothing takes none. It reads into separate pieces: a buffer that grows would leave its former copies behind.
// The result has no spare capacity, which would not be accounted for.
func (a *Account) ReadAll(reader io.Reader, limit int64) ([]byte, error) {
	var pieces [][]byte
	for left := limit; left > 0; {
		step := min(max(limit-left, firstStep), readStep, left)
		if err := a.Reserve(step); err != nil {
			return nil, err
		}
		piece := make([]byte, step)
		n, err := fill(reader, piece)
		left -= int64(n)
		pieces = append(pieces, piece[:n])
		if err == io.EOF {
			a.unreserve(step - int64(n))
			break
		}
		if err != nil {
			return nil, err
		}
	}
	return bytes.Join(pieces, nil), nil
}

// fill reads until the piece is full or the reader fails. Unlike io.ReadFull it returns the error of the reader itself, so
// that a body that broke off is not taken for one that ended.
func fill(reader io.Reader, piece []byte) (int, error) {
	n := 0
	for n < len(piece) {
		read, err := reader.Read(piece[n:])
		n += read
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

func (a *Account) unreserve(bytes int64) {
	a.reserved.Add(-bytes)
	a.budget.reserved.Add(-bytes)
}
