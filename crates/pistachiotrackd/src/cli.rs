//! Command-line interface of the daemon.

use std::path::PathBuf;

/// Text of `--help`.
pub(crate) const HELP: &str = "\
The daemon of the pistachiotrack proxy fleet.

Usage: pistachiotrackd --settings FILE [--check]

Options:
  -s, --settings FILE  Read the settings of this VM from FILE (JSON)
      --check          Check the settings only, then exit
  -h, --help           Print this help
  -V, --version        Print the version

Exit codes:
  0  stopped as asked, or the settings are valid
  1  failed while running
  2  invalid command line
  3  settings can't be read or hold an invalid value
  4  an address of the settings can't be bound
";

/// Action requested on the command line.
#[derive(Debug)]
pub(crate) enum Command {
    /// Prints the help.
    Help,
    /// Prints the version.
    Version,
    /// Checks the settings.
    Check {
        /// File that the settings are read from.
        settings: PathBuf,
    },
    /// Runs the daemon.
    Run {
        /// File that the settings are read from.
        settings: PathBuf,
    },
}

/// Parses the command line of the process.
///
/// # Errors
///
/// Returns an error if an option is missing, unknown or has no value.
pub(crate) fn parse() -> Result<Command, pico_args::Error> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    if args.contains(["-V", "--version"]) {
        return Ok(Command::Version);
    }
    let check = args.contains("--check");
    let settings = args.value_from_os_str(["-s", "--settings"], |value| {
        Ok::<_, std::convert::Infallible>(PathBuf::from(value))
    })?;
    match args.finish().into_iter().next() {
        None if check => Ok(Command::Check { settings }),
        None => Ok(Command::Run { settings }),
        Some(argument) => Err(pico_args::Error::ArgumentParsingFailed {
            cause: format!("unexpected argument '{}'", argument.to_string_lossy()),
        }),
    }
}
