//! Settings of one VM's daemon, read from a JSON file at the start.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use pistachiotrack_core::name::Name;
use serde::Deserialize;

/// Settings of the daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this VM, unique within the deployment.
    pub vm: Name,
    /// Data centre that this VM runs in.
    pub data_centre: Name,
    /// Deployment whose configuration is served.
    pub deployment: Name,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Address that other VMs use: TCP and UDP.
    pub peer_address: SocketAddr,
    /// Address that other VMs are told in place of `peer_address`, where they
    /// reach this VM by another one.
    #[serde(default)]
    pub advertised_peer_address: Option<SocketAddr>,
    /// Address of the admin port.
    pub admin_address: SocketAddr,
    /// Address of the platform's configuration service.
    pub platform_address: SocketAddr,
    /// Address that metrics are sent to by UDP; none are sent where it is
    /// missing.
    #[serde(default)]
    pub statsd_address: Option<SocketAddr>,
    /// Least severe events that are logged: `error`, `warn`, `info`, `debug` or
    /// `trace`.
    #[serde(default = "default_log_level")]
    pub log_level: Name,
    /// Time for which a stopping daemon still serves callers that hold an old
    /// answer about addresses.
    #[serde(default = "default_entry_drain_ms")]
    pub entry_drain_ms: u64,
    /// VMs that the fleet is expected to have; spreads the first reads of the
    /// platform while its list of VMs is not known yet.
    #[serde(default = "default_expected_vms")]
    pub expected_vms: u32,
    /// Limits on what callers, peers and endpoints may use.
    #[serde(default)]
    pub limits: Limits,
}

/// Limits of the daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Threads that serve requests.
    pub worker_threads: usize,
    /// Largest head of a request or an answer.
    pub header_bytes: usize,
    /// Most header fields of a request or an answer.
    pub header_count: usize,
    /// Largest body of a request.
    pub body_bytes: u64,
    /// Largest body of a request that is held in memory, so that it can be sent
    /// again.
    pub buffered_body_bytes: usize,
    /// Time for the next request's head to arrive on a caller's connection;
    /// also ends idle connections.
    pub header_read_timeout_ms: u64,
    /// Time for the next part of a body to arrive.
    pub body_idle_ms: u64,
    /// Caller connections open at the same time.
    pub caller_connections: usize,
    /// Peer connections open at the same time, by direction.
    pub peer_connections: usize,
    /// Time for a connection to an endpoint or a peer to open.
    pub connect_timeout_ms: u64,
    /// Time after which an unused connection is no longer used.
    pub idle_ms: u64,
    /// Age after which a connection takes no further request.
    pub age_ms: u64,
    /// Time since its last answer for which a connection counts as lively.
    pub lively_ms: u64,
    /// Gap between two ticks of the timer that counts as a pause.
    pub pause_threshold_ms: u64,
    /// Time without requests after which a shard is forgotten that this VM does
    /// not own.
    pub careful_idle_ms: u64,
    /// Time for requests in flight to finish when the daemon stops.
    pub shutdown_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            worker_threads: 2,
            header_bytes: 32 * 1024,
            header_count: 100,
            body_bytes: 64 * 1024 * 1024,
            buffered_body_bytes: 64 * 1024,
            header_read_timeout_ms: 15_000,
            body_idle_ms: 10_000,
            caller_connections: 4_096,
            peer_connections: 1_024,
            connect_timeout_ms: 1_000,
            idle_ms: 10_000,
            age_ms: 300_000,
            lively_ms: 1_000,
            pause_threshold_ms: 500,
            careful_idle_ms: 60_000,
            shutdown_ms: 30_000,
        }
    }
}

/// Smallest head that HTTP needs room for.
const MIN_HEADER_BYTES: usize = 8 * 1024;

/// Default of [`Settings::entry_drain_ms`].
const DEFAULT_ENTRY_DRAIN_MS: u64 = 6_000;

/// Default of [`Settings::expected_vms`].
const DEFAULT_EXPECTED_VMS: u32 = 48;

fn default_expected_vms() -> u32 {
    DEFAULT_EXPECTED_VMS
}

fn default_log_level() -> Name {
    Name::from("info")
}

fn default_entry_drain_ms() -> u64 {
    DEFAULT_ENTRY_DRAIN_MS
}

/// Why the settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{}: {source}", file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The file is not JSON, or a field is missing, unknown or of another type.
    #[error("{}: {field}: {problem}", file.display())]
    Parse {
        /// The file.
        file: PathBuf,
        /// Path of the field.
        field: String,
        /// What is wrong, with the offending value.
        problem: String,
    },
    /// A field's value can't be used.
    #[error("{}: {field}: {problem}", file.display())]
    Invalid {
        /// The file.
        file: PathBuf,
        /// Path of the field.
        field: &'static str,
        /// What is wrong, with the offending value.
        problem: String,
    },
}

impl SettingsError {
    fn parse(file: &Path, field: String, error: &serde_json::Error) -> SettingsError {
        SettingsError::Parse { file: file.to_owned(), field, problem: error.to_string() }
    }
}

impl Settings {
    /// Reads and checks the settings in `file`.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, the field and its value.
    pub fn read(file: &Path) -> Result<Settings, SettingsError> {
        let json = fs::read(file)
            .map_err(|source| SettingsError::Read { file: file.to_owned(), source })?;
        Settings::parse(file, &json)
    }

    /// Parses and checks settings that were read from `file`.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, the field and its value.
    pub fn parse(file: &Path, json: &[u8]) -> Result<Settings, SettingsError> {
        let mut deserializer = serde_json::Deserializer::from_slice(json);
        let settings: Settings =
            serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
                let field = error.path().to_string();
                SettingsError::parse(file, field, error.inner())
            })?;
        deserializer.end().map_err(|error| SettingsError::parse(file, ".".to_owned(), &error))?;
        match settings.problem() {
            None => Ok(settings),
            Some((field, problem)) => {
                Err(SettingsError::Invalid { file: file.to_owned(), field, problem })
            }
        }
    }

    /// Returns the first field whose value can't be used.
    fn problem(&self) -> Option<(&'static str, String)> {
        let empty_name = [
            ("vm", &self.vm),
            ("data_centre", &self.data_centre),
            ("deployment", &self.deployment),
        ]
        .into_iter()
        .find(|(_, name)| !is_name(name));
        if let Some((field, name)) = empty_name {
            let problem =
                format!("{:?}: use letters, digits, '-', '_' and '.' only", name.as_str());
            return Some((field, problem));
        }
        if self.log_level.parse::<log::LevelFilter>().is_err() {
            let problem = format!("{:?} is not a log level", self.log_level.as_str());
            return Some(("log_level", problem));
        }
        self.limits.problem()
    }
}

impl Limits {
    fn problem(&self) -> Option<(&'static str, String)> {
        if self.header_bytes < MIN_HEADER_BYTES {
            let problem = format!("{} is less than {MIN_HEADER_BYTES}", self.header_bytes);
            return Some(("limits.header_bytes", problem));
        }
        let positive = [
            ("limits.worker_threads", self.worker_threads as u64),
            ("limits.header_count", self.header_count as u64),
            ("limits.header_read_timeout_ms", self.header_read_timeout_ms),
            ("limits.body_idle_ms", self.body_idle_ms),
            ("limits.caller_connections", self.caller_connections as u64),
            ("limits.peer_connections", self.peer_connections as u64),
            ("limits.connect_timeout_ms", self.connect_timeout_ms),
            ("limits.idle_ms", self.idle_ms),
            ("limits.age_ms", self.age_ms),
            ("limits.pause_threshold_ms", self.pause_threshold_ms),
        ];
        let zero = positive.into_iter().find(|(_, value)| *value == 0);
        zero.map(|(field, _)| (field, "0 is not allowed".to_owned()))
    }
}

fn is_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !name.is_empty() && name.chars().all(allowed)
}
