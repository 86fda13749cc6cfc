//! The VMs' processes: signals, exits and restarts.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use super::{
    clock::RunClock,
    oracle::{ObservedVersion, Process},
    plan::StopSignal,
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
    /// Time after which a process that was asked to stop is killed.
    grace_ms: u64,
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

    fn send(&self, signal: StopSignal) {
        match signal {
            StopSignal::Terminate => self.daemon.terminate(),
            StopSignal::Interrupt => self.daemon.interrupt(),
        }
    }

    /// Kills the process if the grace of its stop is over.
    fn end_grace(&mut self, now_ms: u64, grace_ms: u64) {
        let Some(process) = self.processes.last_mut() else { return };
        let is_over = process.stop_requested_ms.is_some_and(|at| now_ms >= at + grace_ms);
        if is_over && process.grace_ended_ms.is_none() {
            process.grace_ended_ms = Some(now_ms);
            self.daemon.start_kill();
        }
    }
}

impl VmProcesses {
    /// Takes over running daemons, in the order of their VMs.
    pub(super) fn new(
        daemons: Vec<Daemon>,
        binary: DaemonBinary,
        clock: RunClock,
        grace_ms: u64,
    ) -> VmProcesses {
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
            grace_ms,
        }
    }

    /// Stops a VM gracefully; it is restarted `restart_after` its exit. Returns the number of its
    /// process.
    pub(super) fn stop(&self, vm: usize, signal: StopSignal, restart_after: Duration) -> u32 {
        let now_ms = self.clock.now_ms();
        let mut vm = self.lock(vm);
        if let Some(process) = vm.expect_exit(restart_after) {
            process.stop_requested_ms.get_or_insert(now_ms);
        }
        vm.send(signal);
        vm.processes.len() as u32 - 1
    }

    /// Sends a signal once more to a process that was asked to stop, unless it has ended.
    pub(super) fn repeat_stop(&self, vm: usize, process: u32, signal: StopSignal) {
        let vm = self.lock(vm);
        if vm.processes.len() as u32 - 1 == process {
            vm.send(signal);
        }
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

    /// Records the exit of a process; returns the settings once the restart is due. A process that
    /// outlives the grace of its stop is killed.
    fn poll_restart(&self, vm: usize) -> Option<DaemonSettings> {
        let now_ms = self.clock.now_ms();
        let mut vm = self.lock(vm);
        if vm.daemon.is_running() {
            vm.end_grace(now_ms, self.grace_ms);
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
        grace_ended_ms: None,
        ended_ms: None,
        exit_expected: false,
    }
}
