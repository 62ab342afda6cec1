//! Known ranks, which must never change: VMs of different builds must compute the same order.

use havengrade_core::ranking::rank;

#[test]
fn known_texts_keep_their_rank_in_every_build() {
    assert_eq!(rank(&[]), 15_130_871_412_783_076_140);
    assert_eq!(rank(&["vm-1"]), 1_350_658_254_145_531_359);
    assert_eq!(rank(&["large/doc", "e1"]), 4_545_366_520_798_408_343);
}
