//! Positions in the store: an offset together with the era in which the store assigned it.
//!
//! A store that is restored from an older copy assigns offsets again. Each restore increments its era, so that every
//! position of a later era is greater than all positions of earlier ones, however small its offset is.

/// Number of times that the store has been restored from an older copy.
pub type Era = u64;

/// Bits of a position that hold the offset: enough for a thousand records per second over thirty years.
const OFFSET_BITS: u32 = 40;

/// The position of an offset in an era.
///
/// ```
/// use havengrade_core::published::position::{era, offset, position};
///
/// assert!(position(2, 5) > position(1, 900));
/// assert_eq!((era(position(2, 5)), offset(position(2, 5))), (2, 5));
/// ```
pub fn position(era: Era, offset: u64) -> u64 {
    (era << OFFSET_BITS) | offset
}

/// The era of a position.
pub fn era(position: u64) -> Era {
    position >> OFFSET_BITS
}

/// The offset of a position.
pub fn offset(position: u64) -> u64 {
    position & ((1 << OFFSET_BITS) - 1)
}
