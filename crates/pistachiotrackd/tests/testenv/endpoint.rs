//! Fake endpoints: correct ones over HTTP and faulty ones over raw TCP.

use std::{
    convert::Infallible,
    future::Future,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    io::AsyncReadExt,
    net::{TcpListener, TcpStream},
    sync::watch,
};

use super::client::HANG_LIMIT;

/// A request that an endpoint received, with its whole body.
pub(crate) type Received = Request<Bytes>;

/// A fake endpoint.
pub(crate) struct Endpoint {
    /// Address that the endpoint listens on.
    pub(crate) address: SocketAddr,
    received: Arc<Mutex<Vec<Received>>>,
    connections: Arc<AtomicU32>,
    closed: watch::Receiver<u32>,
}

impl Endpoint {
    /// Starts an endpoint that answers every request with `body`.
    pub(crate) async fn answering(body: &'static (impl AsRef<[u8]> + ?Sized)) -> Endpoint {
        let body = Bytes::from_static(body.as_ref());
        Endpoint::start(move |_| {
            let body = body.clone();
            async move { Response::new(Full::new(body)) }
        })
        .await
    }

    /// Starts an endpoint that answers with `handler`.
    pub(crate) async fn start<H, F>(handler: H) -> Endpoint
    where
        H: Fn(Received) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
    {
        let received = Arc::new(Mutex::new(Vec::new()));
        let log = Arc::clone(&received);
        let mut endpoint = Endpoint::serve(move |stream| {
            let (handler, log) = (handler.clone(), Arc::clone(&log));
            async move {
                let service =
                    service_fn(move |request| answer(request, handler.clone(), Arc::clone(&log)));
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            }
        })
        .await;
        endpoint.received = received;
        endpoint
    }

    /// Starts an endpoint that calls `behaviour` with every connection.
    pub(crate) async fn serve<B, F>(behaviour: B) -> Endpoint
    where
        B: Fn(TcpStream) -> F + Send + 'static,
        F: Future<Output = ()> + Send + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let connections = Arc::new(AtomicU32::new(0));
        let count = Arc::clone(&connections);
        let (closed_sender, closed) = watch::channel(0);
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                count.fetch_add(1, Ordering::SeqCst);
                let served = behaviour(stream);
                let closed = closed_sender.clone();
                tokio::spawn(async move {
                    served.await;
                    closed.send_modify(|closed| *closed += 1);
                });
            }
        });
        Endpoint { address, received: Arc::default(), connections, closed }
    }

    /// Returns the requests received so far.
    pub(crate) fn received(&self) -> Vec<Received> {
        self.received.lock().unwrap().clone()
    }

    /// Waits until `count` requests have been received.
    pub(crate) async fn wait_received(&self, count: usize) {
        let start = std::time::Instant::now();
        while self.received().len() < count {
            let received = self.received().len();
            assert!(start.elapsed() < HANG_LIMIT, "only {received} of {count} requests arrived");
            tokio::task::yield_now().await;
        }
    }

    /// Returns the number of connections accepted so far.
    pub(crate) fn connections(&self) -> u32 {
        self.connections.load(Ordering::SeqCst)
    }

    /// Waits until `count` connections have ended.
    pub(crate) async fn wait_closed(&self, count: u32) {
        let mut closed = self.closed.clone();
        let wait = closed.wait_for(|closed| *closed >= count);
        tokio::time::timeout(HANG_LIMIT, wait)
            .await
            .expect("a connection should end in time")
            .unwrap();
    }
}

async fn answer<H, F>(
    request: Request<hyper::body::Incoming>,
    handler: H,
    log: Arc<Mutex<Vec<Received>>>,
) -> Result<Response<Full<Bytes>>, Infallible>
where
    H: Fn(Received) -> F,
    F: Future<Output = Response<Full<Bytes>>>,
{
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    let request = Request::from_parts(parts, body);
    log.lock().unwrap().push(request.clone());
    Ok(handler(request).await)
}

/// Reads the head of a request from a raw connection; returns false if the connection ends.
pub(crate) async fn read_head(stream: &mut TcpStream) -> bool {
    read_request_line(stream).await.is_some()
}

/// Reads until the peer closes the connection.
pub(crate) async fn read_to_end(stream: &mut TcpStream) {
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest).await;
}

/// Reads the head of a request from a raw connection and returns its first line.
pub(crate) async fn read_request_line(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let line = head.split(|byte| *byte == b'\r').next().unwrap_or_default();
    Some(String::from_utf8_lossy(line).into_owned())
}
