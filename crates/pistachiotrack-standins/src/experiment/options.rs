//! Options of the experiments that run real daemons.

use std::path::PathBuf;

/// Seed if the arguments don't give one.
const DEFAULT_SEED: u64 = 1;

/// Options of an experiment.
#[derive(Clone, Debug)]
pub(super) struct Options {
    /// Seed of the load, the endpoints and the links.
    pub(super) seed: u64,
    /// Whether to print the report as JSON on the last line.
    pub(super) json: bool,
    /// Directory that the daemons' logs are written to.
    pub(super) log_directory: Option<PathBuf>,
}

impl Options {
    /// Parses the options from the command line.
    ///
    /// # Errors
    ///
    /// Returns an error if an option is unknown or has no valid value.
    pub(super) fn parse(mut arguments: pico_args::Arguments) -> anyhow::Result<Options> {
        let options = Options {
            seed: arguments.opt_value_from_str("--seed")?.unwrap_or(DEFAULT_SEED),
            json: arguments.contains("--json"),
            log_directory: arguments.opt_value_from_str("--logs")?,
        };
        let rest = arguments.finish();
        anyhow::ensure!(rest.is_empty(), "unexpected arguments {rest:?}");
        Ok(options)
    }
}
