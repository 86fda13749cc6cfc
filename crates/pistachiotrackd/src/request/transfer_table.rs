//! Serves requests that other VMs send, each once however many copies arrive.

use std::{
    future::Future,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use futures_util::future::{BoxFuture, FutureExt};
use pistachiotrack_core::{
    copies::{Copies, Undispatched},
    prior_attempts::PriorAttempts,
    refusal::Reason,
    transfers::{Admission, TransferId, Transfers},
};
use rustc_hash::FxHashMap;
use tokio::sync::{
    mpsc::{self, UnboundedReceiver, UnboundedSender},
    oneshot,
};

use crate::{
    formats::inbound::Inbound,
    request::answer::Served,
    runtime::clock::Clock,
    stats::metrics::{Event, Metrics},
};

/// Requests that other VMs have sent to this one.
#[derive(Debug)]
pub(crate) struct TransferTable {
    clock: Clock,
    metrics: Arc<Metrics>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    transfers: Transfers,
    /// The handlers of the requests that are being served.
    handlers: FxHashMap<TransferId, UnboundedSender<Successor>>,
}

/// Gets a request that is being served from the handler of its earlier copy.
type Successor = oneshot::Sender<Ongoing>;

/// A request that is being served.
struct Ongoing {
    served: BoxFuture<'static, Served>,
    inbound: Arc<Inbound>,
    /// Dropped before the channel closes, so that successors find the record.
    _end: EndRecord,
    successors: UnboundedReceiver<Successor>,
}

/// Records on drop what became of a request.
struct EndRecord {
    table: Arc<TransferTable>,
    id: TransferId,
    inbound: Arc<Inbound>,
}

impl Drop for EndRecord {
    fn drop(&mut self) {
        let mut state = self.table.lock();
        state.handlers.remove(&self.id);
        state.transfers.on_end(&self.id, self.inbound.attempts().clone());
    }
}

/// How a copy is handled.
enum Arrival {
    /// It is the only one.
    Serve { end: EndRecord, successors: UnboundedReceiver<Successor> },
    /// Another one is being served and is taken over.
    Join(oneshot::Receiver<Ongoing>),
    /// It isn't served.
    Refuse,
}

impl TransferTable {
    /// Creates the table of a process that has just started.
    pub(crate) fn new(clock: Clock, metrics: Arc<Metrics>) -> TransferTable {
        let transfers = Transfers::new(clock.now());
        let state = State { transfers, handlers: FxHashMap::default() };
        TransferTable { clock, metrics, state: Mutex::new(state) }
    }

    /// Serves a request that another VM has sent with `serve`, unless a copy of it is being
    /// served, and returns the result with the attempts so far.
    pub(crate) async fn serve<F>(
        self: &Arc<Self>,
        inbound: Arc<Inbound>,
        undispatched: Undispatched,
        serve: impl FnOnce(Arc<Inbound>, Undispatched) -> F,
    ) -> (Served, PriorAttempts)
    where
        F: Future<Output = Served> + Send + 'static,
    {
        let Some(id) = &inbound.copy.id else {
            let served = serve(Arc::clone(&inbound), undispatched).await;
            return (served, inbound.attempts().clone());
        };
        loop {
            match self.on_arrival(id, &inbound) {
                Arrival::Serve { end, successors } => {
                    let served = serve(Arc::clone(&inbound), undispatched).boxed();
                    return Ongoing { served, inbound, _end: end, successors }.run().await;
                }
                Arrival::Join(taken_over) => {
                    // The earlier copy may just have ended.
                    let Ok(ongoing) = taken_over.await else { continue };
                    self.metrics.count(Event::CopyJoined);
                    return ongoing.run().await;
                }
                Arrival::Refuse => {
                    log::info!("event=copy_refused request={}", inbound.fleet_id);
                    let refusal = Copies::from(undispatched).refuse_as_unknown(Reason::AnswerLost);
                    return (Served::refused(refusal), inbound.attempts().clone());
                }
            }
        }
    }

    fn on_arrival(self: &Arc<Self>, id: &TransferId, inbound: &Arc<Inbound>) -> Arrival {
        let mut state = self.lock();
        let (now, copy) = (self.clock.now(), &inbound.copy);
        let admission = state.transfers.on_arrival(
            now,
            id,
            copy.first_sent_ago(),
            inbound.deadline,
            copy.prior.clone(),
        );
        match admission {
            Admission::Serve(attempts) => {
                *inbound.attempts() = attempts;
                let (handler, successors) = mpsc::unbounded_channel();
                state.handlers.insert(id.clone(), handler);
                let (table, inbound) = (Arc::clone(self), Arc::clone(inbound));
                Arrival::Serve { end: EndRecord { table, id: id.clone(), inbound }, successors }
            }
            Admission::Join => {
                let (successor, taken_over) = oneshot::channel();
                if let Some(handler) = state.handlers.get(id) {
                    // A handler that has ended drops the successor.
                    let _ = handler.send(successor);
                }
                Arrival::Join(taken_over)
            }
            Admission::Refuse => Arrival::Refuse,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Ongoing {
    /// Serves the request until it ends, or until a further copy of it takes over: the answer may
    /// not pass on the connection of the earlier one.
    async fn run(mut self) -> (Served, PriorAttempts) {
        loop {
            let successor = tokio::select! {
                biased;
                served = &mut self.served => return (served, self.inbound.attempts().clone()),
                Some(successor) = self.successors.recv() => successor,
            };
            match successor.send(self) {
                Ok(()) => {
                    let copies = Copies::from(Undispatched::on_arrival());
                    let refusal = copies.refuse_as_unknown(Reason::AnswerLost);
                    return (Served::refused(refusal), PriorAttempts::default());
                }
                // Its connection has closed meanwhile.
                Err(ongoing) => self = ongoing,
            }
        }
    }
}
