//! How much of a service's work is lost, as all its dispatchers see it.

use serde::{Deserialize, Serialize};

/// Part of the requests not served from which on a service is strained: well above what
/// single endpoints' spells cost, and below the tenth from which on sound endpoints must
/// not be left without work.
const STRAINED: f64 = 0.085;
/// Weight of one request: about the last 100 of all dispatchers count, a second or
/// two of the users' work. Fewer don't tell a tenth from a twentieth.
const WEIGHT: f64 = 0.01;

/// How many requests were served in the end and how many weren't.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Served {
    /// Requests that were served.
    pub served: u8,
    /// Requests that were refused or failed.
    pub lost: u8,
}

/// The part of a service's requests that is not served.
///
/// One VM sees too few requests to tell within seconds, so that the VMs tell each
/// other; each request counts once, whoever took it in.
#[derive(Clone, Debug, Default)]
pub(super) struct Strain {
    lost_part: f64,
    untold: Served,
}

impl Strain {
    /// Notes whether a request of this VM was served in the end.
    pub(super) fn note(&mut self, served: bool) {
        self.count(served);
        let told = if served { &mut self.untold.served } else { &mut self.untold.lost };
        *told = told.saturating_add(1);
    }

    /// Takes what another VM tells.
    pub(super) fn on_peer(&mut self, told: Served) {
        (0..told.served).for_each(|_| self.count(true));
        (0..told.lost).for_each(|_| self.count(false));
    }

    /// Takes what the other VMs haven't been told.
    pub(super) fn take_untold(&mut self) -> Served {
        std::mem::take(&mut self.untold)
    }

    /// Returns whether so much is lost that no endpoint may be left without work.
    pub(super) fn is_strained(&self) -> bool {
        self.lost_part >= STRAINED
    }

    fn count(&mut self, served: bool) {
        let lost = if served { 0.0 } else { 1.0 };
        self.lost_part += WEIGHT * (lost - self.lost_part);
    }
}
