/** FNV-1a, 32 bits: offset basis and prime. */
const FNV_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Multipliers of MurmurHash3's 32-bit finalizer. */
const MIX_A = 0x85ebca6b;
const MIX_B = 0xc2b2ae35;

/**
 * A 32-bit hash of a short text: FNV-1a followed by MurmurHash3's finalizer, since plain FNV-1a is too regular
 * where hashes are combined by XOR. It is cheap, and need not be cryptographic, since nobody gains by forging a hash.
 */
export function hash32(text: string): number {
  let hash = FNV_BASIS;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), MIX_A);
  hash = Math.imul(hash ^ (hash >>> 13), MIX_B);
  return (hash ^ (hash >>> 16)) >>> 0;
}
