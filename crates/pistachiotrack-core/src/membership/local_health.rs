//! Estimate of this VM's own health, as in Lifeguard.

/// Score from 0 (healthy) upwards.
///
/// If many members don't respond, the fault is more likely on this VM's side, so it lengthens
/// its timeouts and suspects others later.
#[derive(Clone, Debug)]
pub(super) struct LocalHealth {
    score: u32,
    max: u32,
}

impl LocalHealth {
    pub(super) fn new(max: u32) -> LocalHealth {
        LocalHealth { score: 0, max }
    }

    pub(super) fn on_response(&mut self) {
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
