//! Daemons as processes of their own.

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
    /// Address that other VMs are told in place of `peer_address`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub advertised_peer_address: Option<SocketAddr>,
    /// Address of the admin port.
    pub admin_address: SocketAddr,
    /// Address of the platform.
    pub platform_address: SocketAddr,
    /// VMs of the deployment, over which the first reads of the platform are
    /// spread.
    pub expected_vms: usize,
}

/// The daemon's executable.
#[derive(Clone, Debug)]
pub struct DaemonBinary {
    path: PathBuf,
    log_directory: Option<PathBuf>,
}

impl DaemonBinary {
    /// Finds the executable next to the tool's own and has cargo build it if it
    /// is missing or older than the tool.
    ///
    /// # Errors
    ///
    /// Returns an error if the executable can't be built.
    pub fn find(log_directory: Option<PathBuf>) -> anyhow::Result<DaemonBinary> {
        let tool = std::env::current_exe()?;
        let directory = tool.parent().context("the tool is in no directory")?;
        let path = directory.join(BINARY);
        if !is_up_to_date(&path, &tool) {
            build(directory)?;
        }
        anyhow::ensure!(path.exists(), "{} is missing", path.display());
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
        let mut stdin = child.stdin.take().context("no standard input")?;
        let sent = stdin.write_all(&serde_json::to_vec(&settings)?).await;
        sent.with_context(|| format!("the daemon of {} takes no settings", settings.vm))?;
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

/// A running daemon; dropping it ends its process.
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

    /// Asks the daemon to stop gracefully.
    pub fn terminate(&self) {
        self.signal(libc::SIGTERM);
    }

    /// Pauses the process.
    pub fn pause(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Lets a paused process go on.
    pub fn resume(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Has the daemon read its settings again.
    pub fn hang_up(&self) {
        self.signal(libc::SIGHUP);
    }

    /// Ends the process at once, without waiting for its end.
    pub fn start_kill(&self) {
        self.signal(libc::SIGKILL);
    }

    /// Returns the number of descriptors that the process has open, if it runs.
    pub fn descriptors(&self) -> Option<usize> {
        Some(fs::read_dir(format!("/proc/{}/fd", self.child.id()?)).ok()?.count())
    }

    /// Ends the process at once.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be ended.
    pub async fn kill(&mut self) -> std::io::Result<()> {
        self.child.kill().await
    }

    /// Waits for the process to end.
    ///
    /// # Errors
    ///
    /// Returns an error if its status can't be had.
    pub async fn wait(&mut self) -> std::io::Result<ExitStatus> {
        self.child.wait().await
    }

    /// Returns whether the process still runs.
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

/// First of the ports given to daemons. They lie below those that the system
/// gives to outgoing connections, so that none is taken between the moment at
/// which it is found free and the daemon's start.
const FIRST_PORT: u16 = 20_000;
/// Number of the ports given to daemons.
const PORTS: u16 = 12_000;
/// Ports that one tool takes at a time; the first of them says that they are taken.
const BLOCK_PORTS: u16 = 32;

/// Listeners at the first ports of the blocks that this process has taken.
static TAKEN: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());

/// Returns ports that are free for TCP and for UDP on all loopback addresses, and that
/// no other tool takes as long as this process lives.
///
/// Failure guarded against: two tools look for ports at the same moment, find the same
/// ones free, and a daemon of one can't bind what a daemon of the other has. It shows as
/// daemons that end at their start. The guard holds because a tool takes whole blocks,
/// and holds the first port of each.
///
/// # Errors
///
/// Returns an error if there are too few free ports.
pub fn free_ports(count: usize) -> std::io::Result<Vec<u16>> {
    let mut taken = TAKEN.lock().unwrap_or_else(PoisonError::into_inner);
    let blocks = PORTS / BLOCK_PORTS;
    let start = rand::random_range(0..blocks);
    let mut free = Vec::new();
    for block in 0..blocks {
        if free.len() >= count {
            break;
        }
        let first = FIRST_PORT + (start + block) % blocks * BLOCK_PORTS;
        let Ok(listener) = TcpListener::bind((Ipv4Addr::UNSPECIFIED, first)) else { continue };
        taken.push(listener);
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
