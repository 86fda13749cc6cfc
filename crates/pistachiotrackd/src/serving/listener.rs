//! Accepts connections and serves HTTP/1.1 on them within limits.

use std::{
    convert::Infallible,
    future::Future,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use hyper::{
    Request, Response, Version,
    body::{Body, Incoming},
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, watch},
};
use tokio_util::task::TaskTracker;

use crate::{
    connections::{
        arrival::ArrivalTracker, busy_guard::BusyGuard, peer_monitor::PeerMonitor,
        stall_guard::StallGuard,
    },
    formats::framing,
    request::body::AnswerBody,
    runtime::socket,
    serving::{
        connection_limits::{ConnectionLimits, Senders},
        context::Context,
    },
    stats::metrics::Event,
};

/// Delay after the operating system failed to accept a connection.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Time for the peer to receive the last answer of a connection and to close it.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// A listening port of the daemon.
pub(crate) struct Listener {
    /// Listening socket.
    pub(crate) socket: TcpListener,
    /// Maximum number of open connections.
    pub(crate) max_connections: usize,
    /// Who sends requests to it.
    pub(crate) senders: Senders,
    /// Becomes true when no more requests are accepted.
    pub(crate) stopping: watch::Receiver<bool>,
    /// Tracks the connections that are still served.
    pub(crate) connections: TaskTracker,
}

impl Listener {
    /// Serves connections with `handler` until the daemon stops.
    pub(crate) async fn serve<H, F>(self, context: Arc<Context>, handler: H)
    where
        H: Fn(Arc<Context>, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Result<Response<AnswerBody>, Infallible>> + Send + 'static,
    {
        let permits = Arc::new(Semaphore::new(self.max_connections));
        let mut stopping = self.stopping.clone();
        loop {
            let accepted = tokio::select! {
                () = stopped(&mut stopping) => return,
                accepted = self.socket.accept() => accepted,
            };
            let stream = match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!("event=accept_failed error={:?}", error.to_string());
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                    continue;
                }
            };
            let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
                context.metrics.count(Event::ConnectionRejected);
                continue;
            };
            let context = Arc::clone(&context);
            let stopping = self.stopping.clone();
            let (handler, senders) = (handler.clone(), self.senders);
            self.connections.spawn(connection(stream, permit, context, handler, senders, stopping));
        }
    }
}

async fn connection<H, F>(
    stream: TcpStream,
    _permit: OwnedSemaphorePermit,
    context: Arc<Context>,
    handler: H,
    senders: Senders,
    mut stopping: watch::Receiver<bool>,
) where
    H: Fn(Arc<Context>, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Result<Response<AnswerBody>, Infallible>> + Send + 'static,
{
    if let Err(error) = socket::configure_incoming(&stream) {
        log::debug!("event=connection_ended error={:?}", error.to_string());
        return;
    }
    let limits = OpenedWith { limits: context.connection_limits(senders), senders };
    let builder = builder(&limits.limits);
    let outgrown = limits.outgrown(Arc::clone(&context));
    let arrivals = Arc::new(ArrivalTracker::new(context.clock, context.gate.clone()));
    let idle_limit = Duration::from_millis(context.settings.limits.body_idle_ms);
    let stream = StallGuard::new(stream, idle_limit, Arc::clone(&arrivals));
    let peer = stream.peer_monitor();
    let (stop, monitor) = (context.stop.clone(), peer.clone());
    let is_busy = Arc::new(AtomicBool::new(false));
    let is_http_10 = Arc::new(AtomicBool::new(false));
    let (busy, http_10) = (Arc::clone(&is_busy), Arc::clone(&is_http_10));
    let service = service_fn(move |mut request: Request<Incoming>| {
        http_10.store(request.version() == Version::HTTP_10, Ordering::Relaxed);
        if let Some(arrival) = arrivals.arrival_before_resume() {
            request.extensions_mut().insert(arrival);
        }
        answer(Arc::clone(&context), &handler, request, peer.clone(), &busy, limits)
    });
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let closing = async {
        tokio::select! {
            () = stopped(&mut stopping) => {}
            () = outgrown => {}
        }
    };
    let (ended, was_idle) = tokio::select! {
        ended = connection.as_mut() => (ended, false),
        () = closing => {
            let was_idle = !is_busy.load(Ordering::Relaxed);
            connection.as_mut().graceful_shutdown();
            (connection.await, was_idle)
        }
    };
    match ended {
        // Of an idle connection that this VM closes nothing more is read: a request that crosses
        // the close is then known to be unread.
        Ok(()) if was_idle => {}
        Ok(()) => monitor.drain(CLOSE_TIMEOUT).await,
        Err(error) => {
            log::debug!("event=connection_ended error={error:?}");
            // HTTP/1.0 has no chunks: the end of the connection would make the part of the answer
            // that was sent look like the whole.
            if error.is_user() && is_http_10.load(Ordering::Relaxed) {
                monitor.reset();
            }
        }
    }
    if stop.has_begun() {
        log_unread_bytes(&monitor);
    }
}

/// The limits in force when a connection was opened, which the HTTP implementation keeps to its end.
#[derive(Clone, Copy, Debug)]
struct OpenedWith {
    limits: ConnectionLimits,
    senders: Senders,
}

impl OpenedWith {
    /// Returns whether requests are allowed by now that the connection would refuse.
    fn is_outgrown(&self, context: &Context) -> bool {
        !self.limits.covers(&context.connection_limits(self.senders))
    }

    /// Returns when requests are allowed that the connection would refuse.
    ///
    /// Never returns for a connection of another VM: a request that crosses the close is lost to that
    /// VM, whereas callers send it again. Such a connection ends with its next answer.
    async fn outgrown(self, context: Arc<Context>) {
        let mut promised = context.caller_limits.clone();
        let outgrown = promised.wait_for(|promised| {
            let settings = &context.settings.limits;
            let in_force = ConnectionLimits::new(settings, promised.as_ref(), self.senders);
            !self.limits.covers(&in_force)
        });
        if self.senders == Senders::Vms || outgrown.await.is_err() {
            std::future::pending().await
        }
    }
}

/// Writes a log line if a connection ends with bytes that nobody has read: the system resets it then,
/// and drops what the peer hasn't received yet.
fn log_unread_bytes(connection: &PeerMonitor) {
    let unread_bytes = connection.unread_bytes();
    if unread_bytes > 0 {
        log::warn!("event=connection_reset_by_close unread_bytes={unread_bytes}");
    }
}

/// The peer closed its connection before its request was answered.
#[derive(Debug, thiserror::Error)]
#[error("the peer closed its connection before its request was answered")]
struct PeerGone;

/// Handles a request, and closes its connection after the answer while the daemon is shutting
/// down or if the connection would refuse what is allowed by now. A request whose peer has left is dropped with its connection.
///
/// If a stopping daemon closes a keep-alive connection while a caller sends a
/// request on it, the caller can't know whether the request ran. Each connection used during the
/// shutdown therefore ends with an answer, so that only idle connections are closed at the end.
fn answer<H, F>(
    context: Arc<Context>,
    handler: &H,
    request: Request<Incoming>,
    peer: PeerMonitor,
    is_busy: &Arc<AtomicBool>,
    limits: OpenedWith,
) -> impl Future<Output = Result<Response<AnswerBody>, PeerGone>> + use<H, F>
where
    H: Fn(Arc<Context>, Request<Incoming>) -> F,
    F: Future<Output = Result<Response<AnswerBody>, Infallible>>,
{
    let busy = BusyGuard::new(is_busy);
    let answered = handler(Arc::clone(&context), request);
    async move {
        let Ok(mut response) = tokio::select! {
            answered = answered => answered,
            () = peer.closed() => return Err(PeerGone),
        };
        if context.stop.has_begun() || limits.is_outgrown(&context) {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        let response = response.map(|body| body.on_connection(busy));
        Ok(with_announced_length(response))
    }
}

/// Lets the body be compared with the length that the head of the answer announces.
fn with_announced_length(mut response: Response<AnswerBody>) -> Response<AnswerBody> {
    if response.body().is_end_stream() {
        return response;
    }
    let body_bytes = response.body().size_hint().exact();
    if let Some(announced) = framing::remove_other_length(response.headers_mut(), body_bytes) {
        log::error!(
            "event=answer_length_mismatch announced_bytes={announced:?} body_bytes={body_bytes:?}"
        );
    }
    match body_bytes {
        Some(bytes) => response.map(|body| body.with_announced_length(bytes)),
        None => response,
    }
}

async fn stopped(stopping: &mut watch::Receiver<bool>) {
    // An error means that the daemon has ended, which also counts as stopped.
    let _ = stopping.wait_for(|stopping| *stopping).await;
}

fn builder(limits: &ConnectionLimits) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_read_timeout)
        .max_headers(limits.header_count)
        .max_buf_size(limits.header_bytes);
    builder
}
