//! Experiments that measure the decisions in logical time.

use anyhow::bail;

mod detect;

/// Runs the experiment that the arguments name.
///
/// # Errors
///
/// Returns an error if there is no such experiment or its arguments are wrong.
pub(crate) fn run(mut arguments: pico_args::Arguments) -> anyhow::Result<()> {
    match arguments.subcommand()?.as_deref() {
        Some("detect") => detect::run(arguments),
        Some(other) => bail!("unknown experiment {other:?}"),
        None => bail!("which experiment? known: detect"),
    }
}
