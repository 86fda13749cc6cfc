//! Consumers: one attempt of a request, on a kept connection.

use std::{
    io::{self, BufReader, Read},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use crate::{http, http::Message, record::Record};

/// The reading half of a connection, on which a read fails after the consumer's time budget.
struct TimedReader {
    stream: TcpStream,
    until: Instant,
}

impl Read for TimedReader {
    fn read(&mut self, bytes: &mut [u8]) -> io::Result<usize> {
        let left = self.until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        self.stream.read(bytes)
    }
}

/// A consumer's connection to one machine.
pub struct Consumer {
    address: SocketAddr,
    connection: Option<(BufReader<TimedReader>, TcpStream)>,
}

/// A request as a consumer sends it.
pub struct Request<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    pub body: &'a [u8],
}

impl Request<'_> {
    pub fn bytes(&self) -> Vec<u8> {
        let Request { method, host, path, id, deadline_ms, body } = self;
        let mut head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Pistachiotrack-Request-Id: {id}\r\n\
             X-Pistachiotrack-Deadline-Ms: {deadline_ms}\r\n"
        );
        if !body.is_empty() {
            head += &format!("Content-Length: {}\r\n", body.len());
        }
        head += "\r\n";
        [head.as_bytes(), body].concat()
    }
}

impl Consumer {
    pub fn new(address: SocketAddr) -> Consumer {
        Consumer { address, connection: None }
    }

    /// Sends a request and returns its answer; notes both.
    pub fn send(&mut self, record: &Record, request: &Request<'_>) -> io::Result<Message> {
        let Request { method, path, id, .. } = request;
        record.note(&format!("consumer sends {id} {method} {path} to {}", self.address));
        let answer = self.exchange(request);
        match &answer {
            Ok(answer) => record.note(&format!(
                "consumer gets {} for {id}, signature {}, {} bytes",
                answer.status(),
                answer.header("x-pistachiotrack-server-signature").unwrap_or("none"),
                answer.body.len()
            )),
            Err(error) => record.note(&format!("consumer gets no whole answer for {id}: {error}")),
        }
        let closes = |answer: &Message| answer.header("connection") == Some("close");
        if answer.as_ref().map_or(true, closes) {
            self.connection = None;
        }
        answer
    }

    fn exchange(&mut self, request: &Request<'_>) -> io::Result<Message> {
        let until = Instant::now() + Duration::from_millis(request.deadline_ms);
        if self.connection.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            let reader = TimedReader { stream: stream.try_clone()?, until };
            self.connection = Some((BufReader::new(reader), stream));
        }
        let Some((reader, writer)) = &mut self.connection else {
            return Err(io::ErrorKind::NotConnected.into());
        };
        reader.get_mut().until = until;
        http::write(writer, &request.bytes())?;
        let answer = http::read(reader)?;
        answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}
