//! A daemon on a thread of its own, so that it can be crashed and paused like a
//! process.

use std::net::SocketAddr;

use pistachiotrackd::{daemon::Daemon, settings::Settings};
use tokio::sync::{mpsc, oneshot};

/// A daemon on a thread of its own; crashes when dropped.
pub(crate) struct Vm {
    /// Address that callers connect to.
    pub(crate) caller_address: SocketAddr,
    /// Address of the admin port.
    pub(crate) admin_address: SocketAddr,
    control: mpsc::UnboundedSender<Control>,
}

enum Control {
    Stop(oneshot::Sender<()>),
    Pause(std::sync::mpsc::Receiver<()>),
    Crash,
}

impl Vm {
    /// Starts a daemon.
    pub(crate) async fn start(settings: Settings) -> Vm {
        let (control, orders) = mpsc::unbounded_channel();
        let (started, addresses) = oneshot::channel();
        std::thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(run(settings, started, orders));
            runtime.shutdown_background();
        });
        let (caller_address, admin_address) = addresses.await.expect("the daemon starts");
        Vm { caller_address, admin_address, control }
    }

    /// Asks the daemon to stop; the answer comes when it has stopped.
    pub(crate) fn stop(&self) -> oneshot::Receiver<()> {
        let (stopped, receiver) = oneshot::channel();
        let _ = self.control.send(Control::Stop(stopped));
        receiver
    }

    /// Ends the daemon at once, as a VM's failure does.
    pub(crate) fn crash(&self) {
        let _ = self.control.send(Control::Crash);
    }

    /// Pauses the daemon until what is returned is dropped.
    ///
    /// The only thread of the daemon stands still in one piece, in the middle
    /// of whatever its tasks were about to do, and goes on with old facts.
    pub(crate) fn pause(&self) -> std::sync::mpsc::Sender<()> {
        let (resume, resumed) = std::sync::mpsc::channel();
        let _ = self.control.send(Control::Pause(resumed));
        resume
    }
}

async fn run(
    settings: Settings,
    started: oneshot::Sender<(SocketAddr, SocketAddr)>,
    mut orders: mpsc::UnboundedReceiver<Control>,
) {
    let daemon = Daemon::start(settings).await.unwrap();
    let _ = started.send((daemon.caller_address(), daemon.admin_address()));
    let mut daemon = Some(daemon);
    // The process ends when the daemon has stopped, whatever is still open.
    let (ended, mut end) = mpsc::channel(1);
    loop {
        let order = tokio::select! {
            order = orders.recv() => order,
            _ = end.recv() => return,
        };
        match order {
            None | Some(Control::Crash) => return,
            Some(Control::Pause(resumed)) => drop(resumed.recv()),
            Some(Control::Stop(stopped)) => {
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
