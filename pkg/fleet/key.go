package fleet

import "crypto/sha256"

// KeyDigest identifies a key of a client account without revealing it. Keys are compared by their digests only, so
// the time of a comparison tells nothing of a key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key as the client sends it.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }
