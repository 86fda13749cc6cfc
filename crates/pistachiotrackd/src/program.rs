//! The life of the process.

pub mod daemon;
pub mod logging;
pub mod process;
mod signals;
