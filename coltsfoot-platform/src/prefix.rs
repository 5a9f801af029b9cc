//! Hash that identifies cached prompt prefixes in the engines' cache events.

/// Initial value of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Multiplier of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the FNV-1a hash of a prompt's prefix, the content of its first message.
pub fn prefix_hash(first_message: &str) -> u64 {
    first_message
        .bytes()
        .fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}
