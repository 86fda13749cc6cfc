//! A daemon in a separate process, which a test can pause and kill.

use std::{
    fs,
    net::SocketAddr,
    process::Stdio,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use tokio::{
    io::{AsyncBufReadExt, AsyncWriteExt, BufReader},
    process::{Child, ChildStderr, Command},
};

use super::client::HANG_LIMIT;

/// Interval at which the state of a process is read.
const STATE_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A daemon in a separate process; killed when dropped.
pub(crate) struct DaemonProcess {
    /// Address that callers connect to.
    pub(crate) caller_address: SocketAddr,
    /// Address that other VMs use.
    pub(crate) peer_address: SocketAddr,
    /// Address of the admin port.
    pub(crate) admin_address: SocketAddr,
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
}

impl DaemonProcess {
    /// Starts a daemon named `vm` that reads from `platform`.
    pub(crate) async fn start(vm: &str, platform: SocketAddr) -> DaemonProcess {
        DaemonProcess::start_with(vm, platform, json!({})).await
    }

    /// Starts a daemon with additional settings, which replace the usual ones.
    pub(crate) async fn start_with(
        vm: &str,
        platform: SocketAddr,
        overrides: Value,
    ) -> DaemonProcess {
        let mut settings = json!({
            "vm": vm, "data_centre": "oslo-1", "deployment": "timeliten",
            "caller_address": "127.0.0.1:0", "peer_address": "127.0.0.1:0",
            "admin_address": "127.0.0.1:0", "platform_address": platform, "expected_vms": 4,
            "entry_drain_ms": 0});
        let overrides = overrides.as_object().unwrap().clone();
        settings.as_object_mut().unwrap().extend(overrides);
        let mut child = spawn(&settings).await;
        let log = Arc::<Mutex<Vec<String>>>::default();
        tokio::spawn(collect_lines(child.stderr.take().unwrap(), Arc::clone(&log)));
        let started = wait_for_line(&log, &["event=started"]).await;
        DaemonProcess {
            caller_address: address(&started, "caller_address="),
            peer_address: address(&started, "peer_address="),
            admin_address: address(&started, "admin_address="),
            child,
            log,
        }
    }

    /// Waits until the log has a line that contains all of `parts`, and returns it.
    pub(crate) async fn wait_for_line(&self, parts: &[&str]) -> String {
        wait_for_line(&self.log, parts).await
    }

    /// Returns the lines written so far.
    pub(crate) fn log(&self) -> Vec<String> {
        self.log.lock().unwrap().clone()
    }

    /// Returns this daemon's entry in the platform's list of VMs.
    pub(crate) fn vm_list_entry(&self, vm: &str) -> Value {
        super::vm_list_entry(vm, self.peer_address, self.caller_address)
    }

    /// Kills the daemon at once, as when its VM fails.
    pub(crate) async fn kill(&mut self) {
        self.child.kill().await.unwrap();
    }

    /// Sends a signal, such as `STOP`, to the daemon.
    pub(crate) async fn signal(&self, signal: &str) {
        let pid = self.child.id().unwrap().to_string();
        let status = Command::new("kill").args([format!("-{signal}"), pid]).status().await.unwrap();
        assert!(status.success());
        if signal == "STOP" {
            self.wait_until_stopped().await;
        }
    }

    /// Waits until all threads have stopped: one that is running when the signal is sent may
    /// still read a request that is sent after it.
    async fn wait_until_stopped(&self) {
        let tasks = format!("/proc/{}/task", self.child.id().unwrap());
        let is_stopped = |task: std::io::Result<fs::DirEntry>| {
            let stat = fs::read_to_string(task.unwrap().path().join("stat")).unwrap_or_default();
            // The state follows the name, which is in parentheses and may contain blanks.
            stat.rsplit_once(')').is_none_or(|(_, fields)| fields.trim_start().starts_with('T'))
        };
        let start = Instant::now();
        while !fs::read_dir(&tasks).unwrap().all(is_stopped) {
            assert!(start.elapsed() < HANG_LIMIT, "the daemon should stop in time");
            tokio::time::sleep(STATE_POLL_INTERVAL).await;
        }
    }

    /// Waits until the daemon exits and returns its exit code.
    pub(crate) async fn exit_code(&mut self) -> Option<i32> {
        let ended = tokio::time::timeout(HANG_LIMIT, self.child.wait()).await;
        ended.expect("the daemon should exit in time").unwrap().code()
    }
}

async fn collect_lines(output: ChildStderr, log: Arc<Mutex<Vec<String>>>) {
    let mut lines = BufReader::new(output).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        log.lock().unwrap().push(line);
    }
}

async fn wait_for_line(log: &Mutex<Vec<String>>, parts: &[&str]) -> String {
    let start = Instant::now();
    loop {
        let has_all = |line: &&String| parts.iter().all(|part| line.contains(part));
        if let Some(line) = log.lock().unwrap().iter().find(has_all) {
            return line.clone();
        }
        assert!(start.elapsed() < HANG_LIMIT, "no line with {parts:?} in {:?}", log.lock());
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

async fn spawn(settings: &Value) -> Child {
    let mut child = Command::new(env!("CARGO_BIN_EXE_pistachiotrackd"))
        .args(["--settings", "/dev/stdin"])
        .stdin(Stdio::piped())
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .unwrap();
    let mut stdin = child.stdin.take().unwrap();
    stdin.write_all(settings.to_string().as_bytes()).await.unwrap();
    child
}

fn address(line: &str, field: &str) -> SocketAddr {
    let value = line.split_whitespace().find_map(|pair| pair.strip_prefix(field)).unwrap();
    value.parse().unwrap()
}
