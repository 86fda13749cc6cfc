//! Stable hash functions.
//!
//! Each VM computes owners, alternates and datagram checksums independently, so
//! the hash must not depend on a library version or the word size.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the 64-bit FNV-1a hash of `bytes`, continued from `state`.
pub fn fnv_from(state: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(state, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}

/// Returns the 64-bit FNV-1a hash of `bytes`.
pub fn fnv(bytes: &[u8]) -> u64 {
    fnv_from(FNV_OFFSET, bytes)
}

/// Mixes the bits of `value` with the finalizer of MurmurHash3.
pub fn mix(mut value: u64) -> u64 {
    value ^= value >> 33;
    value = value.wrapping_mul(0xff51_afd7_ed55_8ccd);
    value ^= value >> 33;
    value = value.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    value ^ (value >> 33)
}

/// Returns the rendezvous hashing score of a pair of hashed keys.
pub fn rendezvous_score(left: u64, right: u64) -> u64 {
    mix(left ^ right.rotate_left(32).wrapping_mul(FNV_PRIME))
}
