//! Settings and configurations: where they come from, and the one in force.

pub(crate) mod platform;
pub mod registry;
pub mod settings;
pub mod source;
pub(crate) mod view;
