//! Settings of one VM's daemon, read from a JSON file at the start.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use pistachiotrack_core::{
    config::MAX_VALUE_BYTES, config_sync::ConfigSyncSettings, data_centre::DataCentre,
    feature_flags::FeatureFlags, membership::MembershipSettings, name::Name,
    quarantine::QuarantineSettings, registry_view::RegistryViewSettings, service::RetryLimit,
};
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
    /// Address at which the platform asks whether this VM is ready; it isn't
    /// answered where it is missing.
    #[serde(default)]
    pub readiness_address: Option<SocketAddr>,
    /// Address at which callers ask which addresses to use, besides the caller
    /// address.
    #[serde(default)]
    pub directory_address: Option<SocketAddr>,
    /// Addresses of VMs that may know the fleet; they have the peer port of this
    /// one.
    #[serde(default)]
    pub seed_addresses: Vec<SocketAddr>,
    /// Where log lines go.
    #[serde(default)]
    pub log_output: LogOutput,
    /// What the VM can do.
    #[serde(default)]
    pub hardware: Hardware,
    /// How the VMs find each other.
    #[serde(default)]
    pub membership: MembershipSettings,
    /// How configurations spread.
    #[serde(default)]
    pub config_sync: ConfigSyncSettings,
    /// How a configuration is made where endpoints register themselves.
    #[serde(default)]
    pub registry: RegistrySettings,
    /// When requests are held back under which endpoints end.
    #[serde(default)]
    pub quarantine: QuarantineSettings,
    /// Limits on what callers, peers and endpoints may use.
    #[serde(default)]
    pub limits: Limits,
    /// Mechanisms at work; only trials switch one off.
    #[serde(default)]
    pub mechanisms: FeatureFlags,
}

/// What a VM can do; VMs with more of it dispatch for services.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Hardware {
    /// Share of each processor that the VM may use, from 0 to 1.
    pub processor_share: f64,
    /// Number of processors.
    pub processors: f64,
    /// Bandwidth of its link.
    pub link_mbps: f64,
}

impl Default for Hardware {
    fn default() -> Hardware {
        Hardware { processor_share: 1.0, processors: 1.0, link_mbps: 1_000.0 }
    }
}

impl Hardware {
    /// Returns the capacity that the other VMs are told: of hundredths of a core and
    /// Mbit/s, whichever the VM has less of.
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

/// Where log lines go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogOutput {
    /// The standard error.
    #[default]
    Stderr,
    /// The standard output.
    Stdout,
}

/// What a configuration needs besides what a registry has.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RegistrySettings {
    /// Data centres.
    pub data_centres: Vec<DataCentre>,
    /// VMs of each data centre that dispatch side by side.
    pub dispatchers_per_data_centre: u32,
    /// Part of a service's endpoints that stay in rotation whatever their health.
    pub floor_percent: u32,
    /// From 0 (fewest false ejections) to 1 (fastest detection).
    pub sensitivity: f64,
    /// Requests that may wait for a slot.
    pub queue_limit: u32,
    /// Time for which callers may keep an answer about addresses.
    pub entry_lifetime_ms: u64,
    /// Retries of the whole fleet for each request.
    pub retry_ratio: f64,
    /// Retries of the whole fleet besides in each window.
    pub retry_slack: f64,
    /// Length of the window.
    pub retry_window_s: f64,
    /// Largest value that the registry holds.
    pub value_bytes: usize,
}

impl Default for RegistrySettings {
    fn default() -> RegistrySettings {
        RegistrySettings {
            data_centres: Vec::new(),
            dispatchers_per_data_centre: 4,
            floor_percent: 50,
            sensitivity: 1.0,
            queue_limit: 256,
            entry_lifetime_ms: 1_000,
            retry_ratio: 0.1,
            retry_slack: 10.0,
            retry_window_s: 10.0,
            value_bytes: MAX_VALUE_BYTES,
        }
    }
}

impl RegistrySettings {
    /// Returns the settings of the roster.
    pub fn view_settings(&self) -> RegistryViewSettings {
        RegistryViewSettings {
            floor_percent: self.floor_percent,
            ..RegistryViewSettings::default()
        }
    }

    /// Returns the limit of the retries of all VMs together.
    pub fn retry_limit(&self) -> RetryLimit {
        RetryLimit {
            ratio: self.retry_ratio,
            slack: self.retry_slack as u32,
            window_ms: (self.retry_window_s * 1000.0) as u64,
        }
    }

    fn problem(&self) -> Option<(&'static str, String)> {
        let part = 0.0..=1.0;
        if self.floor_percent > 100 {
            let problem = format!("{} is above 100", self.floor_percent);
            return Some(("registry.floor_percent", problem));
        }
        let outside = |value: f64| format!("{value} is not between 0 and 1");
        if !part.contains(&self.sensitivity) {
            return Some(("registry.sensitivity", outside(self.sensitivity)));
        }
        if !part.contains(&self.retry_ratio) {
            return Some(("registry.retry_ratio", outside(self.retry_ratio)));
        }
        if self.retry_slack < 0.0 || self.retry_window_s <= 0.0 {
            let (slack, window_s) = (self.retry_slack, self.retry_window_s);
            let problem = format!("{slack} in {window_s} s is no limit");
            return Some(("registry.retry_slack", problem));
        }
        if self.value_bytes == 0 {
            return Some(("registry.value_bytes", "0 is not above 0".to_owned()));
        }
        None
    }
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
    /// Time after the start in which a request waits for the first configuration;
    /// a VM that restarts with all others has it after a fifth of a second.
    pub first_config_wait_ms: u64,
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
            first_config_wait_ms: 500,
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

/// A settings file that is read again now and then.
#[derive(Debug)]
pub(crate) struct SettingsFile {
    file: PathBuf,
    read: Vec<u8>,
}

impl SettingsFile {
    /// Begins with what the file holds now; an unreadable one counts as empty.
    pub(crate) fn new(file: &Path) -> SettingsFile {
        SettingsFile { file: file.to_owned(), read: fs::read(file).unwrap_or_default() }
    }

    /// Returns the settings if the file has changed since it was last read.
    ///
    /// # Errors
    ///
    /// Returns an error, once for each change, if they can't be used.
    pub(crate) fn changed(&mut self) -> Result<Option<Settings>, SettingsError> {
        let json = fs::read(&self.file)
            .map_err(|source| SettingsError::Read { file: self.file.clone(), source })?;
        if json == self.read {
            return Ok(None);
        }
        self.read = json;
        Settings::parse(&self.file, &self.read).map(Some)
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
        if self.config_sync.answer_bytes_per_second == 0 {
            let problem = "0 leaves other VMs without an answer".to_owned();
            return Some(("config_sync.answer_bytes_per_second", problem));
        }
        let hardware = self.hardware.problem();
        hardware
            .or_else(|| self.registry.problem())
            .or_else(|| self.quarantine.problem())
            .or_else(|| self.limits.problem())
    }

    /// Returns the peer addresses of the VMs that may know the fleet.
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
