//! Settings of one VM's daemon, read from a JSON file.

mod registry;

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use pistachiotrack_core::{
    config_lease::ConfigLeaseSettings, config_sync::ConfigSyncSettings,
    customer_limit::CustomerLimitSettings, feature_flags::FeatureFlags,
    membership::MembershipSettings, name::Name, quarantine::QuarantineSettings,
};
use serde::Deserialize;

pub use self::registry::RegistrySettings;

/// Settings of the daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this VM, unique within the deployment.
    pub vm: Name,
    /// Data centre that this VM runs in.
    pub data_centre: Name,
    /// Deployment that this VM belongs to.
    pub deployment: Name,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Address that other VMs connect to and send datagrams to (TCP and UDP).
    pub peer_address: SocketAddr,
    /// Address that is advertised to other VMs instead of `peer_address`, if they
    /// reach this VM at a different address.
    #[serde(default)]
    pub advertised_peer_address: Option<SocketAddr>,
    /// Address of the admin port.
    pub admin_address: SocketAddr,
    /// Address of the platform's configuration service.
    pub platform_address: SocketAddr,
    /// Address of the statsd server that metrics are sent to over UDP; none are sent
    /// if it isn't set.
    #[serde(default)]
    pub statsd_address: Option<SocketAddr>,
    /// Lowest level of events that are logged: `error`, `warn`, `info`, `debug` or
    /// `trace`.
    #[serde(default = "default_log_level")]
    pub log_level: Name,
    /// Minimum time for which a leaving daemon still serves callers that hold an old
    /// entry response.
    #[serde(default = "default_entry_drain_ms")]
    pub entry_drain_ms: u64,
    /// Time between the signal to stop and the moment at which a process that still runs is killed.
    #[serde(default = "default_stop_grace_s")]
    pub stop_grace_s: f64,
    /// Expected number of VMs of the fleet; used to spread the first reads of the
    /// platform until the list of VMs is known.
    #[serde(default = "default_expected_vms")]
    pub expected_vms: u32,
    /// Address of the readiness check for the platform; there is none if it isn't
    /// set.
    #[serde(default)]
    pub readiness_address: Option<SocketAddr>,
    /// Additional address, besides the caller address, at which callers query entry
    /// addresses.
    #[serde(default)]
    pub directory_address: Option<SocketAddr>,
    /// Addresses of VMs that this one joins the fleet through; the peer port of this
    /// VM is used in place of their ports.
    #[serde(default)]
    pub seed_addresses: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time, so that no process before this one has used up
    /// limits.
    #[serde(default)]
    pub first_start: bool,
    /// Output of log lines.
    #[serde(default)]
    pub log_output: LogOutput,
    /// Whether the admin port accepts faults to inject, for tests of a deployment.
    #[serde(default)]
    pub fault_injection: bool,
    /// Hardware of the VM.
    #[serde(default)]
    pub hardware: Hardware,
    /// Settings of the fleet membership.
    #[serde(default)]
    pub membership: MembershipSettings,
    /// Settings of the configuration distribution.
    #[serde(default)]
    pub config_sync: ConfigSyncSettings,
    /// Settings of the lease on the configuration.
    #[serde(default)]
    pub config_lease: ConfigLeaseSettings,
    /// Settings of the rate limits of customers.
    #[serde(default)]
    pub customer_limit: CustomerLimitSettings,
    /// Settings of the configuration that is assembled from a registry.
    #[serde(default)]
    pub registry: RegistrySettings,
    /// Settings of the quarantine of requests that crash endpoints.
    #[serde(default)]
    pub quarantine: QuarantineSettings,
    /// Limits on resources and time.
    #[serde(default)]
    pub limits: Limits,
    /// Switches of decision mechanisms; only experiments turn one off.
    #[serde(rename = "mechanisms", default)]
    pub feature_flags: FeatureFlags,
}

/// Hardware of a VM; VMs with higher capacity are preferred as dispatchers.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Hardware {
    /// Share of each processor that the VM may use, from 0 to 1.
    pub processor_share: f64,
    /// Number of processors.
    pub processors: f64,
    /// Bandwidth of its network link.
    pub link_mbps: f64,
}

impl Default for Hardware {
    fn default() -> Hardware {
        Hardware { processor_share: 1.0, processors: 1.0, link_mbps: 1_000.0 }
    }
}

impl Hardware {
    /// Returns the capacity that is advertised to the other VMs: the lower of the CPU in
    /// hundredths of a core and the bandwidth in Mbit/s, but at least 1.
    pub fn capacity(&self) -> u32 {
        let processor_percent = 100.0 * self.processor_share * self.processors;
        processor_percent.min(self.link_mbps).max(1.0) as u32
    }

    fn problem(&self) -> Option<(&'static str, String)> {
        let values = [
            ("hardware.processor_share", self.processor_share),
            ("hardware.processors", self.processors),
            ("hardware.link_mbps", self.link_mbps),
        ];
        let (field, value) = values.into_iter().find(|(_, value)| *value <= 0.0)?;
        Some((field, format!("{value} is not above 0")))
    }
}

/// Output of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogOutput {
    /// Standard error.
    #[default]
    Stderr,
    /// Standard output.
    Stdout,
}

/// Limits of the daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Worker threads of the runtime.
    pub worker_threads: usize,
    /// Maximum size of the head of a request or response.
    pub header_bytes: usize,
    /// Maximum number of header fields of a request or response.
    pub header_count: usize,
    /// Maximum size of a request body.
    pub body_bytes: u64,
    /// Maximum size of a request body that is buffered in memory, so that the request
    /// can be retried.
    pub buffered_body_bytes: usize,
    /// Timeout for the head of the next request on a caller's connection; also the
    /// idle timeout of these connections.
    pub header_read_timeout_ms: u64,
    /// Timeout between two parts of an answer once its request's deadline has passed, and for a caller to
    /// read the next part.
    pub body_idle_ms: u64,
    /// Time after a request's deadline at which an answer whose body isn't complete is abandoned.
    pub body_overrun_ms: u64,
    /// Time after a request's deadline at which it is refused if the VM that it was sent to is silent.
    pub refusal_overrun_ms: u64,
    /// Maximum number of concurrent caller connections.
    pub caller_connections: usize,
    /// Maximum number of concurrent peer connections in each direction.
    pub peer_connections: usize,
    /// Timeout for establishing a connection to an endpoint or a peer.
    pub connect_timeout_ms: u64,
    /// Idle time after which a pooled connection is no longer reused.
    pub idle_ms: u64,
    /// Age after which a pooled connection is no longer reused.
    pub age_ms: u64,
    /// Time since its last response for which a connection counts as recently used.
    pub lively_ms: u64,
    /// Time after the start in which requests wait for the first configuration. A VM
    /// that restarts together with all others has it after 0.2 s.
    pub first_config_wait_ms: u64,
    /// Gap between two timer ticks from which the process counts as paused.
    pub pause_threshold_ms: u64,
    /// Time without requests after which the state of a shard that this VM doesn't own
    /// is dropped.
    pub careful_idle_ms: u64,
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
            body_overrun_ms: 10_000,
            refusal_overrun_ms: 750,
            caller_connections: 4_096,
            peer_connections: 1_024,
            connect_timeout_ms: 1_000,
            idle_ms: 10_000,
            age_ms: 300_000,
            lively_ms: 1_000,
            first_config_wait_ms: 500,
            pause_threshold_ms: 500,
            careful_idle_ms: 60_000,
        }
    }
}

/// Minimum of [`Limits::header_bytes`], as required by the HTTP implementation.
const MIN_HEADER_BYTES: usize = 8 * 1024;

/// Default of [`Settings::entry_drain_ms`].
const DEFAULT_ENTRY_DRAIN_MS: u64 = 6_000;

/// Default of [`Settings::stop_grace_s`].
const DEFAULT_STOP_GRACE_S: f64 = 36.0;
/// Maximum of [`Settings::stop_grace_s`], a day.
const MAX_STOP_GRACE_S: f64 = 86_400.0;

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

fn default_stop_grace_s() -> f64 {
    DEFAULT_STOP_GRACE_S
}

/// Why the settings are invalid.
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
    /// The file isn't valid JSON, or a field is missing, unknown or has the wrong type.
    #[error("{}: {field}: {problem}", file.display())]
    Parse {
        /// The file.
        file: PathBuf,
        /// Path of the field.
        field: String,
        /// What is wrong, with the offending value.
        problem: String,
    },
    /// A field has an invalid value.
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

/// A settings file that is checked for changes.
#[derive(Debug)]
pub(crate) struct SettingsFile {
    file: PathBuf,
    last_content: Vec<u8>,
}

impl SettingsFile {
    /// Starts with the current content of the file; an unreadable file counts as empty.
    pub(crate) fn new(file: &Path) -> SettingsFile {
        SettingsFile { file: file.to_owned(), last_content: fs::read(file).unwrap_or_default() }
    }

    /// Returns the settings if the file has changed since it was last read.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or, once for each change, if the
    /// settings are invalid.
    pub(crate) fn read_if_changed(&mut self) -> Result<Option<Settings>, SettingsError> {
        let json = fs::read(&self.file)
            .map_err(|source| SettingsError::Read { file: self.file.clone(), source })?;
        if json == self.last_content {
            return Ok(None);
        }
        self.last_content = json;
        Settings::parse(&self.file, &self.last_content).map(Some)
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

    /// Returns the first field with an invalid value, and what is wrong with it.
    fn problem(&self) -> Option<(&'static str, String)> {
        let invalid_name = [
            ("vm", &self.vm),
            ("data_centre", &self.data_centre),
            ("deployment", &self.deployment),
        ]
        .into_iter()
        .find(|(_, name)| !is_valid_name(name));
        if let Some((field, name)) = invalid_name {
            let problem =
                format!("{:?}: use letters, digits, '-', '_' and '.' only", name.as_str());
            return Some((field, problem));
        }
        if self.log_level.parse::<log::LevelFilter>().is_err() {
            let problem = format!("{:?} is not a log level", self.log_level.as_str());
            return Some(("log_level", problem));
        }
        if self.config_sync.answer_bytes_per_second == 0 {
            let problem = "0 leaves other VMs without an answer".to_owned();
            return Some(("config_sync.answer_bytes_per_second", problem));
        }
        if self.stop_grace_s <= 0.0 || self.stop_grace_s > MAX_STOP_GRACE_S {
            let problem = format!("{} is not between 0 and {MAX_STOP_GRACE_S}", self.stop_grace_s);
            return Some(("stop_grace_s", problem));
        }
        let hardware = self.hardware.problem();
        hardware
            .or_else(|| self.config_lease.problem())
            .or_else(|| self.customer_limit.problem())
            .or_else(|| self.registry.problem())
            .or_else(|| self.quarantine.problem())
            .or_else(|| self.limits.problem())
    }

    /// Returns the peer addresses of the seed VMs.
    pub(crate) fn seeds(&self, peer_port: u16) -> Vec<SocketAddr> {
        let peer = |seed: &SocketAddr| SocketAddr::new(seed.ip(), peer_port);
        self.seed_addresses.iter().map(peer).collect()
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
            ("limits.refusal_overrun_ms", self.refusal_overrun_ms),
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

fn is_valid_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !name.is_empty() && name.chars().all(allowed)
}
