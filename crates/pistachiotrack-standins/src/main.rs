//! Stand-ins of the systems around pistachiotrack, and the experiments.

use anyhow::bail;

mod experiment;

fn main() -> anyhow::Result<()> {
    let mut arguments = pico_args::Arguments::from_env();
    match arguments.subcommand()?.as_deref() {
        Some("experiment") => experiment::run(arguments),
        _ => bail!("usage: pistachiotrack-standins experiment NAME"),
    }
}
