//! A small HTTP server that stops when its handle is dropped.

use std::{
    convert::Infallible,
    future::Future,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Instant,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    task::{JoinHandle, JoinSet},
};

use crate::late_copies::{LateCopies, RepeatingStream};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// An answer of a stand-in.
pub type Answer = Response<Full<Bytes>>;

/// A running server; dropping it closes its port and all connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Starts a server on a free loopback port.
    ///
    /// `handler` is called with each request and the time at which its connection was opened.
    /// Its future is dropped when the client closes the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start<H, F>(handler: H) -> std::io::Result<Server>
    where
        H: Fn(Request<Incoming>, Instant) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Answer> + Send + 'static,
    {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Server::start_on(reserve(any)?, Arc::default(), handler)
    }

    /// Starts a server on a reserved address, which repeats answers as `copies` says.
    ///
    /// # Errors
    ///
    /// Returns an error if the server can't listen on the address.
    pub(crate) fn start_on<H, F>(
        reserved: TcpSocket,
        copies: Arc<LateCopies>,
        handler: H,
    ) -> std::io::Result<Server>
    where
        H: Fn(Request<Incoming>, Instant) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Answer> + Send + 'static,
    {
        let listener = reserved.listen(BACKLOG)?;
        let address = listener.local_addr()?;
        Ok(Server { address, task: tokio::spawn(accept(listener, copies, handler)) })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Reserves an address: connections to it are refused, and no other process can bind it.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub(crate) fn reserve(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept<H, F>(listener: TcpListener, copies: Arc<LateCopies>, handler: H)
where
    H: Fn(Request<Incoming>, Instant) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve(stream, Arc::clone(&copies), handler.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve<H, F>(stream: TcpStream, copies: Arc<LateCopies>, handler: H)
where
    H: Fn(Request<Incoming>, Instant) -> F + Send + Sync,
    F: Future<Output = Answer> + Send,
{
    let opened = Instant::now();
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let answer = handler(request, opened);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    // An error here means that the client closed the connection early.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(RepeatingStream::new(stream, copies)), service)
        .await;
}

/// Returns an answer without a body.
pub fn empty(status: u16) -> Answer {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() =
        hyper::StatusCode::from_u16(status).unwrap_or(hyper::StatusCode::INTERNAL_SERVER_ERROR);
    answer
}
