//! Small stand-ins for trying out a fleet, and the measurements of its costs.

mod slopes;

use pico_args::Arguments;

fn main() -> anyhow::Result<()> {
    let mut args = Arguments::from_env();
    match args.subcommand()?.as_deref() {
        Some("slopes") => slopes::run(args),
        _ => anyhow::bail!("usage: pistachiotrack-standins slopes [--json]"),
    }
}
