package hasher

// Mix is the 64-bit finalizer of MurmurHash3: every bit of the input affects every bit of the result.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33

	return x
}
