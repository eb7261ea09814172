package bytebudget

import (
	"bytes"
	"io"
)

// readStep is the number of bytes that are reserved at a time.
const readStep = 32 << 10

// ReadAll reads at most limit bytes and reserves the memory for them as they arrive, so that a peer that announces much
// and sends nothing takes none.
func (a *Account) ReadAll(reader io.Reader, limit int64) ([]byte, error) {
	var buffer bytes.Buffer
	for int64(buffer.Len()) < limit {
		step := min(readStep, limit-int64(buffer.Len()))
		if err := a.Reserve(step); err != nil {
			return nil, err
		}
		n, err := io.CopyN(&buffer, reader, step)
		if err == io.EOF {
			a.unreserve(step - n)
			return buffer.Bytes(), nil
		}
		if err != nil {
			return nil, err
		}
	}
	return buffer.Bytes(), nil
}

func (a *Account) unreserve(bytes int64) {
	a.reserved.Add(-bytes)
	a.budget.reserved.Add(-bytes)
}
