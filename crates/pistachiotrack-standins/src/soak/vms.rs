//! The VMs' processes: signals, exits and restarts.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use super::{
    clock::RunClock,
    oracle::{ObservedVersion, Process},
};
use crate::{
    admin::AdminClient,
    daemon::{Daemon, DaemonBinary, DaemonSettings},
};

/// Time between two checks of whether a process is running.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two polls of the active configuration version.
const VERSION_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The VMs of a run.
#[derive(Clone, Debug)]
pub(super) struct VmProcesses {
    vms: Arc<Vec<Mutex<Vm>>>,
    binary: DaemonBinary,
    clock: RunClock,
}

#[derive(Debug)]
struct Vm {
    settings: DaemonSettings,
    daemon: Daemon,
    processes: Vec<Process>,
    restart_after: Duration,
    restart_due: Option<Instant>,
}

impl Vm {
    /// Records that the exit of the current process is expected.
    fn expect_exit(&mut self, restart_after: Duration) -> Option<&mut Process> {
        self.restart_after = restart_after;
        let process = self.processes.last_mut()?;
        process.exit_expected = true;
        Some(process)
    }
}

impl VmProcesses {
    /// Takes over running daemons, in the order of their VMs.
    pub(super) fn new(daemons: Vec<Daemon>, binary: DaemonBinary, clock: RunClock) -> VmProcesses {
        let vm = |(index, daemon): (usize, Daemon)| {
            Mutex::new(Vm {
                settings: daemon.settings().clone(),
                daemon,
                processes: vec![process(index, 0, 0)],
                restart_after: Duration::ZERO,
                restart_due: None,
            })
        };
        VmProcesses {
            vms: Arc::new(daemons.into_iter().enumerate().map(vm).collect()),
            binary,
            clock,
        }
    }

    /// Stops a VM gracefully; it is restarted `restart_after` its exit.
    pub(super) fn terminate(&self, vm: usize, restart_after: Duration) {
        let now_ms = self.clock.now_ms();
        let mut vm = self.lock(vm);
        if let Some(process) = vm.expect_exit(restart_after) {
            process.stop_requested_ms.get_or_insert(now_ms);
        }
        vm.daemon.terminate();
    }

    /// Kills a VM; it is restarted `restart_after` its exit.
    pub(super) fn kill(&self, vm: usize, restart_after: Duration) {
        let now_ms = self.clock.now_ms();
        let mut vm = self.lock(vm);
        if let Some(process) = vm.expect_exit(restart_after) {
            process.killed_ms.get_or_insert(now_ms);
        }
        vm.daemon.start_kill();
    }

    /// Pauses a VM's process.
    pub(super) fn pause(&self, vm: usize) {
        self.lock(vm).daemon.pause();
    }

    /// Resumes a VM's process.
    pub(super) fn resume(&self, vm: usize) {
        self.lock(vm).daemon.resume();
    }

    /// Sends SIGHUP to a VM, which makes it reload its settings.
    pub(super) fn hang_up(&self, vm: usize) {
        self.lock(vm).daemon.hang_up();
    }

    /// Records exits of a VM and restarts it, until the future is dropped.
    pub(super) async fn supervise(self, vm: usize) {
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            let Some(settings) = self.poll_restart(vm) else { continue };
            let started_ms = self.clock.now_ms();
            let Ok(daemon) = self.binary.start(settings).await else { continue };
            let mut state = self.lock(vm);
            state.daemon = daemon;
            state.restart_due = None;
            let number = state.processes.len() as u32;
            state.processes.push(process(vm, number, started_ms));
        }
    }

    /// Records the exit of a process; returns the settings once the restart is due.
    fn poll_restart(&self, vm: usize) -> Option<DaemonSettings> {
        let now_ms = self.clock.now_ms();
        let mut vm = self.lock(vm);
        if vm.daemon.is_running() {
            return None;
        }
        let restart_after = vm.restart_after;
        let due = *vm.restart_due.get_or_insert(Instant::now() + restart_after);
        if let Some(process) = vm.processes.last_mut() {
            process.ended_ms.get_or_insert(now_ms);
        }
        (Instant::now() >= due).then(|| vm.settings.clone())
    }

    /// Polls a VM's active configuration version until the future is dropped.
    pub(super) async fn watch_version(self, vm: usize, seen: Arc<Mutex<Vec<ObservedVersion>>>) {
        let admin = AdminClient::default();
        loop {
            tokio::time::sleep(VERSION_POLL_INTERVAL).await;
            let (address, process) = self.address_and_process(vm);
            let Ok(status) = admin.status(address).await else { continue };
            if self.address_and_process(vm).1 != process {
                continue;
            }
            let at_ms = self.clock.now_ms();
            let version = status.config_version;
            let mut seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
            seen.push(ObservedVersion { at_ms, vm, process, version });
        }
    }

    /// Sets the state of the paths from VMs to endpoints. A VM that is down gets it later.
    pub(super) async fn set_endpoint_paths(&self, vms: &[usize], state: &str) {
        let admin = AdminClient::default();
        let addresses: Vec<_> = vms.iter().map(|vm| self.address_and_process(*vm).0).collect();
        let sent = addresses.into_iter().map(|address| admin.set_endpoint_paths(address, state));
        // A process that is paused or down has no answer.
        futures_util::future::join_all(sent).await;
    }

    fn address_and_process(&self, vm: usize) -> (std::net::SocketAddr, u32) {
        let vm = self.lock(vm);
        (vm.settings.admin_address, vm.processes.len() as u32 - 1)
    }

    /// Returns all processes started so far.
    pub(super) fn processes(&self) -> Vec<Process> {
        (0..self.vms.len()).flat_map(|vm| self.lock(vm).processes.clone()).collect()
    }

    /// Returns the number of open file descriptors of each VM's process.
    pub(super) fn descriptors(&self) -> Vec<usize> {
        (0..self.vms.len()).filter_map(|vm| self.lock(vm).daemon.descriptors()).collect()
    }

    fn lock(&self, vm: usize) -> MutexGuard<'_, Vm> {
        self.vms[vm].lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn process(vm: usize, number: u32, started_ms: u64) -> Process {
    Process {
        vm,
        number,
        started_ms,
        stop_requested_ms: None,
        killed_ms: None,
        ended_ms: None,
        exit_expected: false,
    }
}
