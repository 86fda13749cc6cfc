//! Daemons, each in a separate process.

use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{ExitStatus, Stdio},
    sync::{Mutex, PoisonError},
};

use anyhow::Context;
use serde::Serialize;
use tokio::{
    io::AsyncWriteExt,
    process::{Child, Command},
};

const BINARY: &str = "pistachiotrackd";

/// Settings of a daemon, as the daemon reads them.
#[derive(Clone, Debug, Serialize)]
pub struct DaemonSettings {
    /// Name of the VM.
    pub vm: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Deployment served.
    pub deployment: String,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Address that other VMs use.
    pub peer_address: SocketAddr,
    /// Address that is announced to other VMs instead of `peer_address`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub advertised_peer_address: Option<SocketAddr>,
    /// Address of the admin port.
    pub admin_address: SocketAddr,
    /// Address of the platform.
    pub platform_address: SocketAddr,
    /// Expected number of VMs in the deployment, by which the first reads of the platform are
    /// spread over time.
    pub expected_vms: usize,
    /// Time that the daemon has for a stop.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub stop_grace_s: Option<f64>,
    /// Shortest time for which a VM that stops still accepts connections.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub entry_drain_ms: Option<u64>,
    /// Whether the daemon accepts faults to inject.
    pub fault_injection: bool,
    /// Lease on the configuration.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub config_lease: Option<ConfigLease>,
}

/// Settings of the lease on the configuration.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ConfigLease {
    /// Bound after which no key that was taken away is served.
    pub max_age_s: f64,
}

/// The daemon's executable.
#[derive(Clone, Debug)]
pub struct DaemonBinary {
    path: PathBuf,
    log_directory: Option<PathBuf>,
}

impl DaemonBinary {
    /// Finds the executable in the tool's own directory, and builds it with cargo if it is
    /// missing or older than the tool.
    ///
    /// # Errors
    ///
    /// Returns an error if the executable can't be built.
    pub fn find(log_directory: Option<PathBuf>) -> anyhow::Result<DaemonBinary> {
        let tool = std::env::current_exe()?;
        let directory = tool.parent().context("the tool's executable has no parent directory")?;
        let path = directory.join(BINARY);
        if !is_up_to_date(&path, &tool) {
            build(directory)?;
        }
        anyhow::ensure!(path.exists(), "{} is missing", path.display());
        DaemonBinary::at(path, log_directory)
    }

    /// Uses another executable, such as that of another version.
    ///
    /// # Errors
    ///
    /// Returns an error if the directory of the logs can't be created.
    pub fn at(path: PathBuf, log_directory: Option<PathBuf>) -> anyhow::Result<DaemonBinary> {
        if let Some(directory) = &log_directory {
            fs::create_dir_all(directory)?;
        }
        Ok(DaemonBinary { path, log_directory })
    }

    /// Starts a daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be started.
    pub async fn start(&self, settings: DaemonSettings) -> anyhow::Result<Daemon> {
        let log = match &self.log_directory {
            Some(directory) => {
                let name = format!("{}-{}.log", settings.deployment, settings.vm);
                Stdio::from(File::options().create(true).append(true).open(directory.join(name))?)
            }
            None => Stdio::null(),
        };
        let mut child = Command::new(&self.path)
            .args(["--settings", "/dev/stdin"])
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("starting {}", self.path.display()))?;
        let mut stdin = child.stdin.take().context("the daemon has no standard input")?;
        let sent = stdin.write_all(&serde_json::to_vec(&settings)?).await;
        sent.with_context(|| format!("writing the settings of VM {}", settings.vm))?;
        drop(stdin);
        Ok(Daemon { settings, child })
    }
}

fn is_up_to_date(binary: &Path, tool: &Path) -> bool {
    let changed = |path: &Path| fs::metadata(path).and_then(|metadata| metadata.modified()).ok();
    changed(binary).is_some_and(|binary| changed(tool).is_some_and(|tool| binary >= tool))
}

fn build(directory: &Path) -> anyhow::Result<()> {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = std::process::Command::new(cargo);
    command.args(["build", "-p", BINARY]).current_dir(env!("CARGO_MANIFEST_DIR"));
    if directory.ends_with("release") {
        command.arg("--release");
    }
    let status = command.status().context("running cargo")?;
    anyhow::ensure!(status.success(), "cargo build -p {BINARY}: {status}");
    Ok(())
}

/// A running daemon; dropping it kills its process.
#[derive(Debug)]
pub struct Daemon {
    settings: DaemonSettings,
    child: Child,
}

impl Daemon {
    /// Returns the settings that the daemon runs with.
    pub fn settings(&self) -> &DaemonSettings {
        &self.settings
    }

    /// Sends SIGTERM, on which the daemon stops gracefully.
    pub fn terminate(&self) {
        self.signal(libc::SIGTERM);
    }

    /// Sends SIGINT, on which the daemon stops gracefully as well.
    pub fn interrupt(&self) {
        self.signal(libc::SIGINT);
    }

    /// Pauses the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Resumes a paused process with SIGCONT.
    pub fn resume(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Sends SIGHUP, on which the daemon reloads its settings.
    pub fn hang_up(&self) {
        self.signal(libc::SIGHUP);
    }

    /// Kills the process without waiting for its exit.
    pub fn start_kill(&self) {
        self.signal(libc::SIGKILL);
    }

    /// Returns the number of open file descriptors of the process, if it is running.
    pub fn descriptors(&self) -> Option<usize> {
        Some(fs::read_dir(format!("/proc/{}/fd", self.child.id()?)).ok()?.count())
    }

    /// Kills the process and waits for its exit.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be killed.
    pub async fn kill(&mut self) -> std::io::Result<()> {
        self.child.kill().await
    }

    /// Waits for the process to exit.
    ///
    /// # Errors
    ///
    /// Returns an error if its exit status can't be read.
    pub async fn wait(&mut self) -> std::io::Result<ExitStatus> {
        self.child.wait().await
    }

    /// Returns whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    #[allow(unsafe_code)]
    fn signal(&self, signal: libc::c_int) {
        let Some(pid) = self.child.id() else { return };
        // SAFETY: kill takes plain numbers. The child has not been waited for, so
        // its id can't belong to another process.
        unsafe { libc::kill(pid as libc::pid_t, signal) };
    }
}

/// First port that daemons can use. The range lies below the system's ephemeral ports, so that
/// an outgoing connection can't take a port between the check that it is free and the daemon's
/// start.
const FIRST_PORT: u16 = 20_000;
/// Number of ports that daemons can use.
const PORTS: u16 = 12_000;
/// Number of ports in a block. A process reserves a block by listening on its first port.
const BLOCK_PORTS: u16 = 32;

/// Listeners on the first ports of the blocks that this process has reserved.
static RESERVED_BLOCKS: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());

/// Returns ports that are free for TCP and UDP on all loopback addresses and reserved until
/// this process exits.
///
/// Without the reservation, two processes of this tool could find the same ports free at the
/// same time, and daemons would exit at their start because they can't bind their ports. Each
/// process therefore reserves whole blocks by listening on the first port of each.
///
/// # Errors
///
/// Returns an error if there are too few free ports.
pub fn free_ports(count: usize) -> std::io::Result<Vec<u16>> {
    let mut reserved = RESERVED_BLOCKS.lock().unwrap_or_else(PoisonError::into_inner);
    let blocks = PORTS / BLOCK_PORTS;
    let start = rand::random_range(0..blocks);
    let mut free = Vec::new();
    for block in 0..blocks {
        if free.len() >= count {
            break;
        }
        let first = FIRST_PORT + (start + block) % blocks * BLOCK_PORTS;
        let Ok(listener) = TcpListener::bind((Ipv4Addr::UNSPECIFIED, first)) else { continue };
        reserved.push(listener);
        free.extend((first + 1..first + BLOCK_PORTS).filter(|port| is_free(*port)));
    }
    free.truncate(count);
    if free.len() < count {
        return Err(std::io::ErrorKind::AddrInUse.into());
    }
    Ok(free)
}

fn is_free(port: u16) -> bool {
    let everywhere = (Ipv4Addr::UNSPECIFIED, port);
    TcpListener::bind(everywhere).is_ok() && UdpSocket::bind(everywhere).is_ok()
}
