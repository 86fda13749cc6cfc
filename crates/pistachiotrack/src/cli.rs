//! Parser of the command line.

use std::{ffi::OsString, net::SocketAddr, path::PathBuf, str::FromStr, time::Duration};

use pico_args::Arguments;
use pistachiotrack_core::{name::Name, request::Class, rule::QueueWaitCondition};

use crate::{
    config::{
        CheckConfig, ContentionConfig, DEFAULT_TIMEOUT, DEFAULT_WINDOW_S, EntriesConfig,
        ExplainConfig, TraceConfig, View, ViewConfig,
    },
    error::Error,
};

/// Longest window of `contention`, a day.
const MAX_WINDOW_S: u32 = 86_400;

const HELP: &str = "\
Command-line tool for operators of the pistachiotrack proxy fleet.

Usage:
  pistachiotrack check [--json] FILE...
  pistachiotrack explain --config FILE (--customer CUSTOMER | --api-key-file FILE)
                 --method METHOD --path PATH [--host HOST] [--header NAME=VALUE]... [--class CLASS]
                 [--service SERVICE]
                 [--data-centre DATA_CENTRE] [--at-floor SERVICE]...
                 [--queue-wait SERVICE=MS]... [--json]
  pistachiotrack status     --admin ADDRESS[,ADDRESS]... [--timeout-ms MS] [--json]
  pistachiotrack endpoints  --admin ADDRESS[,ADDRESS]... [--timeout-ms MS] [--json] [--all]
  pistachiotrack members    --admin ADDRESS[,ADDRESS]... [--timeout-ms MS] [--json]
  pistachiotrack histograms --admin ADDRESS[,ADDRESS]... [--timeout-ms MS] [--json] [--added]
  pistachiotrack customers  --admin ADDRESS[,ADDRESS]... [--timeout-ms MS] [--json]
  pistachiotrack quarantine --admin ADDRESS[,ADDRESS]... [--timeout-ms MS] [--json]
  pistachiotrack entries --vm ADDRESS --service SERVICE --customer CUSTOMER
                 [--timeout-ms MS] [--json]
  pistachiotrack trace REQUEST [--json] [FILE]...
  pistachiotrack contention [--window-s SECONDS] [--json] [FILE]...

Commands:
  check       Checks whether the daemon would accept configuration files
  explain     Shows which rule matches a request and why no earlier one does
  status      Shows state, configuration version, shards and counters of VMs
  endpoints   Shows health and load of endpoints, from the owners of their shards
  members     Shows the members of the fleet as each VM reports them
  histograms  Shows latencies by customer and class
  customers   Shows the rate limits of customers and their use
  quarantine  Shows requests during which endpoints crashed, and which are held back
  entries     Requests the entry addresses from a VM, in the way a caller does
  trace       Sorts the log lines of one request, from files or standard input, and
              shows the line that decided its outcome
  contention  Counts failed attempts and refusals in the logs of many VMs, from files or
              standard input, by window of time

Options:
  --added                  Shows the added latency: the time not spent at an endpoint
  --all                    Includes reports of VMs that own no shard of the service
  --api-key-file FILE      Reads the caller's API key from a file, since other users
                           of a machine see its command lines
  --at-floor SERVICE       Assumes that a service is at its floor
  --queue-wait SERVICE=MS  Assumes this expected wait in a service's queue
  --json                   Prints JSON instead of text
  --timeout-ms MS          Timeout for each address [default: 2000]
  --window-s SECONDS       Length of a window of time [default: 2]
  -h, --help               Prints this help
  -V, --version            Prints the version

Exit codes:
  0  success
  1  negative result: a file is not accepted, no rule matches, the VM refuses, no
     log has the request, or no log has a failed attempt or a refusal
  2  the command line is invalid
  3  at least one address sent no usable response
  4  any other failure, such as a file that can't be read
";

const VERSION: &str = concat!("pistachiotrack ", env!("CARGO_PKG_VERSION"), "\n");

/// Command given on the command line.
#[derive(Debug)]
pub(crate) enum Invocation {
    /// Prints a fixed text.
    Print(&'static str),
    /// Checks configuration files.
    Check(CheckConfig),
    /// Shows which rule matches a request.
    Explain(ExplainConfig),
    /// Shows a page of the admin ports.
    View(ViewConfig),
    /// Requests entry addresses as a caller does.
    Entries(EntriesConfig),
    /// Sorts the log lines of a request.
    Trace(TraceConfig),
    /// Counts failed attempts and refusals by window of time.
    Contention(ContentionConfig),
}

/// Parses the command line.
///
/// # Errors
///
/// Returns a usage error that names the option or argument.
pub(crate) fn parse(mut args: Arguments) -> anyhow::Result<Invocation> {
    if args.contains(["-h", "--help"]) {
        return Ok(Invocation::Print(HELP));
    }
    if args.contains(["-V", "--version"]) {
        return Ok(Invocation::Print(VERSION));
    }
    let command = args.subcommand().map_err(usage_error)?;
    match command.as_deref() {
        Some("check") => parse_check(args).map(Invocation::Check),
        Some("explain") => parse_explain(args).map(Invocation::Explain),
        Some("status") => parse_view(args, View::Status),
        Some("endpoints") => {
            let all = args.contains("--all");
            parse_view(args, if all { View::AllEndpoints } else { View::Endpoints })
        }
        Some("members") => parse_view(args, View::Members),
        Some("customers") => parse_view(args, View::Customers),
        Some("quarantine") => parse_view(args, View::Quarantine),
        Some("histograms") => {
            let added = args.contains("--added");
            parse_view(args, if added { View::AddedHistograms } else { View::Histograms })
        }
        Some("trace") => parse_trace(args).map(Invocation::Trace),
        Some("contention") => parse_contention(args).map(Invocation::Contention),
        Some("entries") => parse_entries(args).map(Invocation::Entries),
        Some(other) => Err(Error::usage(format!("unknown command '{other}'"))),
        None => Err(Error::usage("no command given")),
    }
}

fn parse_check(mut args: Arguments) -> anyhow::Result<CheckConfig> {
    let json = args.contains("--json");
    let rest = args.finish();
    if let Some(option) = rest.iter().find(|arg| is_option(arg)) {
        return Err(unexpected_argument(option));
    }
    if rest.is_empty() {
        return Err(Error::usage("check: no file given"));
    }
    Ok(CheckConfig { json, files: rest.into_iter().map(PathBuf::from).collect() })
}

fn parse_trace(mut args: Arguments) -> anyhow::Result<TraceConfig> {
    let json = args.contains("--json");
    let rest = args.finish();
    if let Some(option) = rest.iter().find(|arg| is_option(arg)) {
        return Err(unexpected_argument(option));
    }
    let mut rest = rest.into_iter();
    let Some(request) = rest.next() else {
        return Err(Error::usage("trace: no request given"));
    };
    let request = request.to_string_lossy().into_owned();
    Ok(TraceConfig { json, request, files: rest.map(PathBuf::from).collect() })
}

fn parse_contention(mut args: Arguments) -> anyhow::Result<ContentionConfig> {
    let json = args.contains("--json");
    let window_s = args.opt_value_from_fn("--window-s", parse_window_s).map_err(usage_error)?;
    let rest = args.finish();
    if let Some(option) = rest.iter().find(|arg| is_option(arg)) {
        return Err(unexpected_argument(option));
    }
    Ok(ContentionConfig {
        json,
        window_s: window_s.unwrap_or(DEFAULT_WINDOW_S),
        files: rest.into_iter().map(PathBuf::from).collect(),
    })
}

fn parse_window_s(text: &str) -> Result<u32, &'static str> {
    let window_s = text.parse().ok().filter(|window_s| (1..=MAX_WINDOW_S).contains(window_s));
    window_s.ok_or("expected whole seconds from 1 to 86400")
}

fn parse_explain(mut args: Arguments) -> anyhow::Result<ExplainConfig> {
    let class = args
        .opt_value_from_fn("--class", |text| {
            Class::parse(text).ok_or("expected interactive, standard or batch")
        })
        .map_err(usage_error)?;
    let api_key_file: Option<String> =
        args.opt_value_from_str("--api-key-file").map_err(usage_error)?;
    let customer = match api_key_file {
        Some(_) => String::new(),
        None => required(&mut args, "--customer")?,
    };
    let config = ExplainConfig {
        api_key_file: api_key_file.map(PathBuf::from),
        customer,
        json: args.contains("--json"),
        file: PathBuf::from(required::<String>(&mut args, "--config")?),
        host: args.opt_value_from_str("--host").map_err(usage_error)?.unwrap_or_default(),
        method: required(&mut args, "--method")?,
        path: required(&mut args, "--path")?,
        headers: args.values_from_fn("--header", parse_header).map_err(usage_error)?,
        class: class.unwrap_or_default(),
        service: args.opt_value_from_str("--service").map_err(usage_error)?,
        data_centre: args
            .opt_value_from_str("--data-centre")
            .map_err(usage_error)?
            .unwrap_or_default(),
        services_at_floor: args.values_from_str("--at-floor").map_err(usage_error)?,
        queue_waits: args.values_from_fn("--queue-wait", parse_queue_wait).map_err(usage_error)?,
    };
    finish(args)?;
    Ok(config)
}

fn parse_view(mut args: Arguments, view: View) -> anyhow::Result<Invocation> {
    let config = ViewConfig {
        json: args.contains("--json"),
        view,
        admin_addresses: args.value_from_fn("--admin", parse_addresses).map_err(usage_error)?,
        timeout: parse_timeout(&mut args)?,
    };
    finish(args)?;
    Ok(Invocation::View(config))
}

fn parse_entries(mut args: Arguments) -> anyhow::Result<EntriesConfig> {
    let config = EntriesConfig {
        json: args.contains("--json"),
        vm_address: required(&mut args, "--vm")?,
        service: required(&mut args, "--service")?,
        customer: required(&mut args, "--customer")?,
        timeout: parse_timeout(&mut args)?,
    };
    finish(args)?;
    Ok(config)
}

fn required<T>(args: &mut Arguments, option: &'static str) -> anyhow::Result<T>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    args.value_from_str(option).map_err(usage_error)
}

fn parse_timeout(args: &mut Arguments) -> anyhow::Result<Duration> {
    let timeout_ms: Option<u64> = args.opt_value_from_str("--timeout-ms").map_err(usage_error)?;
    Ok(timeout_ms.map_or(DEFAULT_TIMEOUT, Duration::from_millis))
}

fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>, String> {
    text.split(',').map(parse_address).collect()
}

fn parse_address(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("'{text}' is not an IP address with port"))
}

fn parse_header(text: &str) -> Result<(String, String), &'static str> {
    let (name, value) = text.split_once('=').ok_or("expected NAME=VALUE")?;
    Ok((name.to_ascii_lowercase(), value.to_owned()))
}

fn parse_queue_wait(text: &str) -> Result<QueueWaitCondition, &'static str> {
    let (service, wait) = text.split_once('=').ok_or("expected SERVICE=MS")?;
    let wait_ms = wait.parse().map_err(|_| "expected SERVICE=MS with a whole number")?;
    Ok(QueueWaitCondition { service: Name::from(service), wait_ms })
}

fn finish(args: Arguments) -> anyhow::Result<()> {
    match args.finish().first() {
        Some(argument) => Err(unexpected_argument(argument)),
        None => Ok(()),
    }
}

fn is_option(argument: &OsString) -> bool {
    argument.as_encoded_bytes().starts_with(b"-")
}

fn unexpected_argument(argument: &OsString) -> anyhow::Error {
    Error::usage(format!("unexpected argument '{}'", argument.to_string_lossy()))
}

fn usage_error(error: pico_args::Error) -> anyhow::Error {
    Error::usage(error.to_string())
}
