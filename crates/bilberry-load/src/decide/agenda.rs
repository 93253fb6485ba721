//! What is still to happen, in the order of its times.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use bilberry_core::PrefillInProgress;
use bilberry_core::UnixMs;

/// What is still to happen.
#[derive(Debug, Default)]
pub(crate) struct Agenda {
    dues: BinaryHeap<Due>,
    order: usize,
}

/// Something that happens at a moment.
#[derive(Debug)]
pub(crate) struct Due {
    pub(crate) at_ms: f64,
    order: usize,
    pub(crate) what: What,
}

#[derive(Debug)]
pub(crate) enum What {
    Place(usize),
    Tell { from: usize, part: u64, reading: PrefillInProgress },
    Crash { share: f64, for_ms: f64 },
    Name,
    Load { engine: usize, version: u64, turn_at: UnixMs },
}

impl Agenda {
    /// Adds what happens at a moment; of two at one moment the first added comes first.
    pub(crate) fn put(&mut self, at_ms: f64, what: What) {
        self.order += 1;
        self.dues.push(Due { at_ms, order: self.order, what });
    }

    /// Takes out what happens next.
    pub(crate) fn pop(&mut self) -> Option<Due> {
        self.dues.pop()
    }
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    /// The earliest is the greatest, as a heap gives out the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        other.at_ms.total_cmp(&self.at_ms).then(other.order.cmp(&self.order))
    }
}
