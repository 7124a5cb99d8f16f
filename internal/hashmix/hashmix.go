// Package hashmix spreads the bits of combined hashes.
package hashmix

// Mix spreads the bits of a combined hash with the finalizer of SplitMix64.
func Mix(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
