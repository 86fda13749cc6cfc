//! A caller that writes its requests byte by byte: several at once on one connection, or one whose
//! body arrives slowly.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::{Buf, Bytes, BytesMut};
use hyper::Response;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};

use super::{
    caller::{
        FAILURE_INTERVAL, HANG_TIMEOUT, RECONNECT_DELAY, REQUEST_INTERVAL, build_direct_request,
    },
    clock::RunClock,
    oracle::RequestRecord,
};
use crate::{
    caller::{Exchange, Operation, RequestOutcome, classify_answer},
    load::WorkIds,
    work::WorkId,
};

/// Requests that are sent behind each other.
const PIPELINED: usize = 3;
/// Size of a body that arrives slowly, its pieces, and the time between two of them.
const BODY_BYTES: usize = 600;
const PIECE_BYTES: usize = 100;
const PIECE_INTERVAL: Duration = Duration::from_millis(90);
/// Largest number of headers of an answer.
const MAX_HEADERS: usize = 64;
/// Value of [`Round::whole_ms`] until the last byte is sent.
const NOT_WHOLE: u64 = u64::MAX;

/// How a caller writes its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WireForm {
    /// Several requests at once.
    Pipelined,
    /// One request, whose body arrives in pieces.
    SlowBody,
}

/// A caller that keeps a connection to one VM until it is closed.
#[derive(Clone, Debug)]
pub(super) struct WireCaller {
    /// The VM.
    pub(super) vm: usize,
    /// The VM's caller address.
    pub(super) address: SocketAddr,
    /// How it writes its requests.
    pub(super) form: WireForm,
    /// Operations, sent in turn.
    pub(super) operations: Arc<Vec<Operation>>,
    /// Source of work ids.
    pub(super) ids: WorkIds,
    /// Clock of the run.
    pub(super) clock: RunClock,
}

/// Requests that are written at once.
struct Round<'a> {
    requests: Vec<(WorkId, &'a Operation)>,
    bytes: Bytes,
    sent_ms: u64,
    /// Time at which the last byte was sent.
    whole_ms: AtomicU64,
}

impl WireCaller {
    /// Sends requests until `stop` is true.
    pub(super) async fn run(self, mut stop: watch::Receiver<bool>) -> Vec<RequestRecord> {
        let mut records = Vec::new();
        while !*stop.borrow() {
            let Ok(stream) = TcpStream::connect(self.address).await else {
                // The VM is stopped or still starting.
                let _ = tokio::time::timeout(RECONNECT_DELAY, stop.changed()).await;
                continue;
            };
            let (reader, mut writer) = stream.into_split();
            let mut answers = Answers { reader, buffer: BytesMut::new() };
            while !*stop.borrow() {
                let Some(round) = self.next_round(records.len()) else { return records };
                let first = records.len();
                let is_open = self.exchange(&round, &mut writer, &mut answers, &mut records).await;
                let is_served = |record: &RequestRecord| record.outcome == RequestOutcome::Ok;
                let are_served = records[first..].iter().all(is_served);
                let interval = if are_served { REQUEST_INTERVAL } else { FAILURE_INTERVAL };
                tokio::time::sleep(interval).await;
                if !is_open {
                    break;
                }
            }
        }
        records
    }

    /// Returns the next requests, or `None` if an operation makes no valid one.
    fn next_round(&self, sent: usize) -> Option<Round<'_>> {
        let (count, body) = match self.form {
            WireForm::Pipelined => (PIPELINED, Bytes::new()),
            WireForm::SlowBody => (1, Bytes::from(vec![b'x'; BODY_BYTES])),
        };
        let operations = self.operations.iter().cycle().skip(sent % self.operations.len());
        let requests: Vec<_> =
            operations.take(count).map(|operation| (self.ids.next(), operation)).collect();
        let mut bytes = Vec::new();
        for (id, operation) in &requests {
            let request = build_direct_request(self.address, operation, *id, body.clone()).ok()?;
            bytes.extend(format!("{} {} HTTP/1.1\r\n", request.method(), request.uri()).bytes());
            for (name, value) in request.headers() {
                bytes.extend_from_slice(name.as_str().as_bytes());
                bytes.extend_from_slice(b": ");
                bytes.extend_from_slice(value.as_bytes());
                bytes.extend_from_slice(b"\r\n");
            }
            bytes.extend(format!("content-length: {}\r\n\r\n", body.len()).bytes());
            bytes.extend_from_slice(&body);
        }
        let (sent_ms, whole_ms) = (self.clock.now_ms(), AtomicU64::new(NOT_WHOLE));
        Some(Round { requests, bytes: bytes.into(), sent_ms, whole_ms })
    }

    /// Writes the requests while it reads the answers; returns whether the connection is still open.
    async fn exchange(
        &self,
        round: &Round<'_>,
        writer: &mut OwnedWriteHalf,
        answers: &mut Answers,
        records: &mut Vec<RequestRecord>,
    ) -> bool {
        let write = async {
            if self.write(round, writer).await.is_ok() {
                round.whole_ms.store(self.clock.now_ms(), Ordering::Relaxed);
            }
            std::future::pending().await
        };
        tokio::select! {
            is_open = self.read(round, answers, records) => {
                // An answer may come before the body was whole; nothing can follow the rest of it.
                is_open && round.whole_ms.load(Ordering::Relaxed) != NOT_WHOLE
            }
            () = write => false,
        }
    }

    async fn write(&self, round: &Round<'_>, writer: &mut OwnedWriteHalf) -> std::io::Result<()> {
        if self.form == WireForm::Pipelined {
            return writer.write_all(&round.bytes).await;
        }
        let (head, body) = round.bytes.split_at(round.bytes.len() - BODY_BYTES);
        writer.write_all(head).await?;
        for piece in body.chunks(PIECE_BYTES) {
            tokio::time::sleep(PIECE_INTERVAL).await;
            writer.write_all(piece).await?;
        }
        Ok(())
    }

    /// Reads the answers and records the requests; returns whether all were answered and the
    /// connection stays open.
    async fn read(
        &self,
        round: &Round<'_>,
        answers: &mut Answers,
        records: &mut Vec<RequestRecord>,
    ) -> bool {
        let mut is_open = true;
        let mut behind_until_ms = None;
        for (id, operation) in &round.requests {
            let timeout = Duration::from_millis(operation.deadline_ms) + HANG_TIMEOUT;
            let answer = match is_open {
                true => tokio::time::timeout(timeout, answers.next()).await.ok().flatten(),
                false => None,
            };
            is_open = answer.as_ref().is_some_and(|answer| !closes_connection(answer));
            let Exchange { outcome, reason, request_id, .. } = match &answer {
                Some(answer) => classify_answer(*id, answer),
                None => RequestOutcome::Lost.into(),
            };
            let ended_ms = self.clock.now_ms();
            let whole_ms = round.whole_ms.load(Ordering::Relaxed);
            let Operation { service, non_idempotent, deadline_ms, .. } = **operation;
            records.push(RequestRecord {
                id: *id,
                service,
                non_idempotent,
                vm: Some(self.vm),
                deadline_ms,
                sent_ms: round.sent_ms,
                whole_ms: (whole_ms != NOT_WHOLE).then_some(whole_ms),
                behind_until_ms: behind_until_ms.replace(ended_ms),
                ended_ms,
                outcome,
                reason,
                request_id,
            });
        }
        is_open
    }
}

fn closes_connection(answer: &Response<Bytes>) -> bool {
    answer.headers().get(hyper::header::CONNECTION).is_some_and(|value| value == "close")
}

/// The answers on a connection.
struct Answers {
    reader: OwnedReadHalf,
    buffer: BytesMut,
}

impl Answers {
    /// Reads the next complete final answer.
    async fn next(&mut self) -> Option<Response<Bytes>> {
        loop {
            match self.take_answer()? {
                Some(answer) if answer.status().is_informational() => {}
                Some(answer) => return Some(answer),
                None => {
                    let read = self.reader.read_buf(&mut self.buffer).await.ok()?;
                    (read > 0).then_some(())?;
                }
            }
        }
    }

    /// Takes an answer from the buffer. The inner `None` says that it isn't complete, the outer one that
    /// it isn't valid.
    fn take_answer(&mut self) -> Option<Option<Response<Bytes>>> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let httparse::Status::Complete(head_bytes) = head.parse(&self.buffer).ok()? else {
            return Some(None);
        };
        let mut answer = Response::builder().status(head.code?);
        for header in head.headers.iter() {
            answer = answer.header(header.name, header.value);
        }
        let length = answer.headers_ref()?.get(hyper::header::CONTENT_LENGTH);
        let body_bytes: usize = match length {
            Some(length) => length.to_str().ok()?.parse().ok()?,
            None => 0,
        };
        if self.buffer.len() < head_bytes + body_bytes {
            return Some(None);
        }
        self.buffer.advance(head_bytes);
        let body = self.buffer.split_to(body_bytes).freeze();
        Some(Some(answer.body(body).ok()?))
    }
}
