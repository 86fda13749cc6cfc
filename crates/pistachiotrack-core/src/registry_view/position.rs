//! Positions in the registry's history, and the configuration versions derived from them.

/// Configuration versions for each registry revision. The version within a revision is
/// higher the less the configuration differs from the registry.
pub(super) const VERSIONS_PER_REVISION: u64 = 256;
/// Number of low bits of a version that hold the revision and the version within it.
const ERA_SHIFT: u32 = 48;
const MAX_ERA: u64 = u64::MAX >> ERA_SHIFT;
/// Maximum revision; the versions of configurations have no room for a larger one.
pub const MAX_REVISION: u64 = (1 << ERA_SHIFT) / VERSIONS_PER_REVISION - 1;

/// A position in the registry's history.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RegistryPosition {
    /// Era: a number that the registry increases whenever it has been restored from a copy. The
    /// revisions since the copy are then given out again for other content. 0 if it has none.
    pub era: u64,
    /// Revision within the era.
    pub revision: u64,
}

impl RegistryPosition {
    /// Returns the version of a configuration at this position with `differences` from the
    /// content of the registry.
    pub(super) fn version(self, differences: usize) -> u64 {
        let rank = (VERSIONS_PER_REVISION - 1).saturating_sub(differences as u64);
        let revision = self.revision.min(MAX_REVISION);
        (self.era.min(MAX_ERA) << ERA_SHIFT) + revision * VERSIONS_PER_REVISION + rank
    }

    /// Returns the position of a configuration version.
    pub fn of_version(version: u64) -> RegistryPosition {
        RegistryPosition {
            era: version >> ERA_SHIFT,
            revision: (version / VERSIONS_PER_REVISION) & MAX_REVISION,
        }
    }
}
