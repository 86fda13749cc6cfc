//! How well this VM itself seems to hear the others.

/// Score from 0 (well) upwards: a VM that misses answers of many members is
/// more likely ill itself, so its timeouts grow and its accusations slow down.
#[derive(Clone, Debug)]
pub(super) struct LocalHealth {
    score: u32,
    max: u32,
}

impl LocalHealth {
    pub(super) fn new(max: u32) -> LocalHealth {
        LocalHealth { score: 0, max }
    }

    pub(super) fn on_answer(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    pub(super) fn on_miss(&mut self) {
        self.score = (self.score + 1).min(self.max);
    }

    /// Returns the factor by which timeouts are lengthened.
    pub(super) fn factor(&self) -> u32 {
        1 + self.score
    }
}
