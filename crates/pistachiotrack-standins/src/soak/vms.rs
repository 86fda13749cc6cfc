//! The VMs' processes: signals from outside, ends, and starts after them.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use super::{
    clock::RunClock,
    oracle::{Process, VersionSeen},
};
use crate::{
    admin::AdminClient,
    daemon::{Daemon, DaemonBinary, DaemonSettings},
};

/// Time between two looks at a process.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two questions for the version in force.
const VERSION_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The VMs of a run.
#[derive(Clone, Debug)]
pub(super) struct Vms {
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
    /// Notes that the end of the process that runs now is meant.
    fn expect_exit(&mut self, restart_after: Duration) -> Option<&mut Process> {
        self.restart_after = restart_after;
        let process = self.processes.last_mut()?;
        process.exit_expected = true;
        Some(process)
    }
}

impl Vms {
    /// Takes over running daemons, in the order of their VMs.
    pub(super) fn new(daemons: Vec<Daemon>, binary: DaemonBinary, clock: RunClock) -> Vms {
        let vm = |(index, daemon): (usize, Daemon)| {
            Mutex::new(Vm {
                settings: daemon.settings().clone(),
                daemon,
                processes: vec![process(index, 0, 0)],
                restart_after: Duration::ZERO,
                restart_due: None,
            })
        };
        Vms { vms: Arc::new(daemons.into_iter().enumerate().map(vm).collect()), binary, clock }
    }

    /// Stops a VM gracefully; it starts again `restart_after` its end.
    pub(super) fn terminate(&self, vm: usize, restart_after: Duration) {
        let now_ms = self.clock.now_ms();
        let mut vm = self.lock(vm);
        if let Some(process) = vm.expect_exit(restart_after) {
            process.stop_requested_ms.get_or_insert(now_ms);
        }
        vm.daemon.terminate();
    }

    /// Ends a VM at once; it starts again `restart_after` its end.
    pub(super) fn kill(&self, vm: usize, restart_after: Duration) {
        let now_ms = self.clock.now_ms();
        let mut vm = self.lock(vm);
        if let Some(process) = vm.expect_exit(restart_after) {
            process.killed_ms.get_or_insert(now_ms);
        }
        vm.daemon.start_kill();
    }

    /// Makes a VM stand still.
    pub(super) fn pause(&self, vm: usize) {
        self.lock(vm).daemon.pause();
    }

    /// Lets a VM go on.
    pub(super) fn resume(&self, vm: usize) {
        self.lock(vm).daemon.resume();
    }

    /// Has a VM read its settings again.
    pub(super) fn hang_up(&self, vm: usize) {
        self.lock(vm).daemon.hang_up();
    }

    /// Notes ends and starts VMs again, for as long as it is polled.
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

    /// Notes the end of a process; returns the settings once its start is due.
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

    /// Asks a VM for the version in force again and again, for as long as it is polled.
    pub(super) async fn watch_version(self, vm: usize, seen: Arc<Mutex<Vec<VersionSeen>>>) {
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
            seen.push(VersionSeen { at_ms, vm, process, version });
        }
    }

    fn address_and_process(&self, vm: usize) -> (std::net::SocketAddr, u32) {
        let vm = self.lock(vm);
        (vm.settings.admin_address, vm.processes.len() as u32 - 1)
    }

    /// Returns the processes so far.
    pub(super) fn processes(&self) -> Vec<Process> {
        (0..self.vms.len()).flat_map(|vm| self.lock(vm).processes.clone()).collect()
    }

    /// Returns the number of descriptors that the process of each VM has open.
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
