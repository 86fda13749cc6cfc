//! A daemon on its own thread, so that it can be crashed and paused like a
//! process.

use std::net::SocketAddr;

use pistachiotrackd::{daemon::Daemon, settings::Settings};
use tokio::sync::{mpsc, oneshot};

/// A daemon on its own thread; crashes when dropped.
pub(crate) struct Vm {
    /// Address that callers connect to.
    pub(crate) caller_address: SocketAddr,
    /// Address of the admin port.
    pub(crate) admin_address: SocketAddr,
    control: mpsc::UnboundedSender<Command>,
}

enum Command {
    Stop(oneshot::Sender<()>),
    Pause(std::sync::mpsc::Receiver<()>),
    Crash,
}

impl Vm {
    /// Starts a daemon.
    pub(crate) async fn start(settings: Settings) -> Vm {
        let (control, commands) = mpsc::unbounded_channel();
        let (started, addresses) = oneshot::channel();
        std::thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(run(settings, started, commands));
            runtime.shutdown_background();
        });
        let (caller_address, admin_address) = addresses.await.expect("the daemon should start");
        Vm { caller_address, admin_address, control }
    }

    /// Begins to stop the daemon; the returned receiver completes when it has stopped.
    pub(crate) fn stop(&self) -> oneshot::Receiver<()> {
        let (stopped, receiver) = oneshot::channel();
        let _ = self.control.send(Command::Stop(stopped));
        receiver
    }

    /// Ends the daemon at once, as when its VM fails.
    pub(crate) fn crash(&self) {
        let _ = self.control.send(Command::Crash);
    }

    /// Pauses the daemon until the returned sender is dropped.
    ///
    /// The only thread of the daemon blocks, so that all its tasks stop at
    /// whatever point they are, and continue later with outdated state.
    pub(crate) fn pause(&self) -> std::sync::mpsc::Sender<()> {
        let (resume, resumed) = std::sync::mpsc::channel();
        let _ = self.control.send(Command::Pause(resumed));
        resume
    }
}

async fn run(
    settings: Settings,
    started: oneshot::Sender<(SocketAddr, SocketAddr)>,
    mut commands: mpsc::UnboundedReceiver<Command>,
) {
    let daemon = Daemon::start(settings).await.unwrap();
    let _ = started.send((daemon.caller_address(), daemon.admin_address()));
    let mut daemon = Some(daemon);
    // Returns when the daemon has stopped even if connections are open, as its process does.
    let (ended, mut end) = mpsc::channel(1);
    loop {
        let command = tokio::select! {
            command = commands.recv() => command,
            _ = end.recv() => return,
        };
        match command {
            None | Some(Command::Crash) => return,
            Some(Command::Pause(resumed)) => drop(resumed.recv()),
            Some(Command::Stop(stopped)) => {
                let Some(daemon) = daemon.take() else { continue };
                let ended = ended.clone();
                tokio::spawn(async move {
                    daemon.stop().await;
                    let _ = stopped.send(());
                    let _ = ended.send(()).await;
                });
            }
        }
    }
}
