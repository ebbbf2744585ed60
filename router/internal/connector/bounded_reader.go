package connector

import "io"

// boundedReader reads from a connection, and while it is bounded no more than a number of bytes.
type boundedReader struct {
	reader io.Reader
	// left is how many bytes may still be read. It is valid if isBounded is true.
	left      int
	isBounded bool
}

// bound allows n more bytes, until unbound is called.
func (b *boundedReader) bound(n int) {
	b.left = n
	b.isBounded = true
}

func (b *boundedReader) unbound() {
	b.isBounded = false
}

// isExhausted reports whether the bound has been reached.
func (b *boundedReader) isExhausted() bool {
	return b.isBounded && b.left <= 0
}

// Read implements io.Reader. It returns ErrHeadTooLong at the bound.
func (b *boundedReader) Read(p []byte) (int, error) {
	if !b.isBounded {
		return b.reader.Read(p)
	}
	if b.left <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err := b.reader.Read(p[:min(len(p), b.left)])
	b.left -= n

	return n, err
}
