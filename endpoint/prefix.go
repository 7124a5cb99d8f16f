package endpoint

import "github.com/cespare/xxhash/v2"

// PrefixBlock is the number of prompt bytes in one block of a prefix cache.
const PrefixBlock = 64

// PrefixHashes returns one hash for each whole block of the prompt. Each
// covers the model and all bytes up to the block's end, so that two prompts
// share as many leading hashes as they share leading blocks.
func PrefixHashes(model string, prompt []byte) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/PrefixBlock)
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	_, _ = digest.Write([]byte{0})
	for len(prompt) >= PrefixBlock {
		_, _ = digest.Write(prompt[:PrefixBlock])
		hashes = append(hashes, digest.Sum64())
		prompt = prompt[PrefixBlock:]
	}
	return hashes
}
