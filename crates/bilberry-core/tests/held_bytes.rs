//! The bound on the bytes of bodies that an entry holds.

use bilberry_core::HeldBytes;
use proptest::prelude::*;

#[test]
fn bytes_fit_up_to_half_of_the_memory() {
    let mut held = HeldBytes::new(200);
    assert!(held.try_add(60));
    assert!(!held.try_add(41));
    assert!(held.try_add(40));
    assert!(!held.fits(1));
    held.remove(60);
    assert!(held.fits(60));
}

#[test]
fn an_entry_near_the_watermark_does_not_change_its_readiness_with_each_body() {
    let mut held = HeldBytes::new(200);
    held.add(75);
    assert!(!held.is_over_watermark());
    held.add(1);
    assert!(held.is_over_watermark());
    held.remove(20);
    assert!(held.is_over_watermark());
    held.remove(6);
    assert!(!held.is_over_watermark());
}

#[test]
fn a_body_of_any_declared_size_can_be_checked() {
    assert!(!HeldBytes::new(200).fits(u64::MAX));
}

proptest! {
    #[test]
    fn admitted_bytes_never_exceed_the_bound(sizes in prop::collection::vec(0..80_u64, 0..60)) {
        let mut held = HeldBytes::new(400);
        let mut admitted = Vec::new();
        for (number, bytes) in sizes.into_iter().enumerate() {
            if held.try_add(bytes) {
                admitted.push(bytes);
            }
            if number % 3 == 0 {
                held.remove(admitted.pop().unwrap_or_default());
            }
            prop_assert_eq!(held.held_bytes(), admitted.iter().sum::<u64>());
            prop_assert!(held.held_bytes() <= 200);
        }
    }
}
