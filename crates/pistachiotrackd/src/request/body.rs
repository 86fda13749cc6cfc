//! Bodies of answers sent to callers.

use std::{
    error::Error,
    future::Future,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use hyper::{
    Response, Version,
    body::{Body, Frame, Incoming, SizeHint},
    header::CONTENT_TYPE,
    http::response::Parts,
};
use kameo::actor::Recipient;
use pistachiotrack_core::{
    idempotency::{MAX_STORED_BODY_BYTES, StoredAnswer},
    request::{AttemptId, BodyEnd, RequestId},
};
use tokio::time::{Instant, Sleep};

use crate::{
    config::settings::Limits,
    connections::{busy_guard::BusyGuard, connection::Connection, connection_pool::ConnectionPool},
    formats::framing::AnswerFraming,
    request::{
        crash_check::ExecutionMonitor,
        in_flight::{InFlightGuard, Stage},
        length_check::{LengthCheck, LengthMismatch},
    },
    stats::{attempt_report::BodyEnded, work_times::AttemptTimer},
};

/// Why the body of an answer is incomplete.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AnswerBodyError {
    /// The connection failed.
    #[error("connection failed while reading the answer: {}", with_cause(.0))]
    Broken(#[from] hyper::Error),
    /// No data arrived within the idle limit.
    #[error("answer timed out: no data within the idle limit")]
    Stalled,
    /// The body was not complete some time after the deadline.
    #[error("answer timed out: its body does not end")]
    Overdue,
    /// The answer had no length, so its end can't be distinguished from a broken connection.
    #[error("answer without a length ended; it may be incomplete")]
    NoLength,
    /// The body has another length than the answer's head announces.
    #[error(transparent)]
    LengthMismatch(#[from] LengthMismatch),
}

/// Returns the message of an error with that of its cause, which says what was wrong with a body.
fn with_cause(error: &hyper::Error) -> String {
    match error.source() {
        Some(cause) => format!("{error}: {cause}"),
        None => error.to_string(),
    }
}

/// Time limits for the bodies of answers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyTimeouts {
    /// Time without data after which a body is abandoned, once the deadline has passed.
    pub(crate) idle: Duration,
    /// Time after a request's deadline at which a body that isn't complete is abandoned.
    pub(crate) overrun: Duration,
}

impl From<&Limits> for BodyTimeouts {
    fn from(limits: &Limits) -> BodyTimeouts {
        BodyTimeouts {
            idle: Duration::from_millis(limits.body_idle_ms),
            overrun: Duration::from_millis(limits.body_overrun_ms),
        }
    }
}

impl BodyTimeouts {
    /// Returns the limits for the answer to a request with this deadline.
    pub(crate) fn limits(self, deadline: Instant) -> BodyLimits {
        BodyLimits { idle: self.idle, deadline, until: deadline + self.overrun }
    }
}

/// Limits for the body of one answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits {
    /// Time without data after which it is abandoned, once the deadline has passed.
    idle: Duration,
    /// Deadline of the request. An endpoint may be at work between two parts of an answer, for
    /// as long as the caller waits.
    deadline: Instant,
    /// Time at which it is abandoned if it isn't complete.
    until: Instant,
}

/// The body of an answer.
#[derive(Debug)]
pub(crate) struct AnswerBody {
    content: Content,
    /// Compares the body with its announced length.
    length: Option<LengthCheck>,
    /// The request, which is in flight until the body has been written.
    _in_flight: Option<InFlightGuard>,
    /// The connection, which is busy until the body has been written.
    _busy: Option<BusyGuard>,
}

#[derive(Debug)]
enum Content {
    /// A whole body in memory.
    Whole(Option<Bytes>),
    /// A body that is forwarded as it arrives.
    Streaming(Box<StreamingBody>),
}

impl From<Content> for AnswerBody {
    fn from(content: Content) -> AnswerBody {
        AnswerBody { content, length: None, _in_flight: None, _busy: None }
    }
}

impl AnswerBody {
    /// Returns a body from memory.
    pub(crate) fn whole(bytes: Bytes) -> AnswerBody {
        Content::Whole((!bytes.is_empty()).then_some(bytes)).into()
    }

    /// Returns the body as that of a request, which is in flight until it has been written.
    pub(crate) fn of_request(self, in_flight: InFlightGuard) -> AnswerBody {
        in_flight.set_stage(Stage::Answering);
        AnswerBody { _in_flight: Some(in_flight), ..self }
    }

    /// Returns the body as that of an answer on a connection, which is busy until it has been written.
    pub(crate) fn on_connection(self, busy: BusyGuard) -> AnswerBody {
        AnswerBody { _busy: Some(busy), ..self }
    }

    /// Returns the body as that of an answer whose head announces its length.
    pub(crate) fn with_announced_length(self, bytes: u64) -> AnswerBody {
        AnswerBody { length: Some(LengthCheck::new(bytes)), ..self }
    }

    /// Counts a part of the body, or its end.
    fn check_length(
        &mut self,
        frame: Option<Frame<Bytes>>,
    ) -> Option<Result<Frame<Bytes>, AnswerBodyError>> {
        let Some(length) = &mut self.length else { return frame.map(Ok) };
        let checked = match &frame {
            Some(frame) => length.on_data(frame.data_ref().map_or(0, Bytes::len)),
            None => length.on_end(),
        };
        let Err(mismatch) = checked else { return frame.map(Ok) };
        log::error!(
            "event=answer_length_mismatch announced_bytes={} body_bytes={}",
            mismatch.announced_bytes,
            mismatch.body_bytes
        );
        self.length = None;
        Some(Err(mismatch.into()))
    }

    /// Returns a body that is forwarded from a connection as it arrives.
    pub(crate) fn streaming(
        framing: AnswerFraming,
        incoming: Incoming,
        connection: Connection,
        pool: Arc<ConnectionPool>,
        limits: BodyLimits,
        ends_by_closing: bool,
        monitor: Option<AnswerMonitor>,
    ) -> AnswerBody {
        let mut body = StreamingBody {
            incoming,
            connection: Some(connection),
            pool,
            limits,
            idle: None,
            has_known_end: ends_by_closing || framing.marks_end(),
            monitor,
        };
        if body.incoming.is_end_stream() {
            body.finish(BodyEnd::Complete);
        }
        Content::Streaming(Box::new(body)).into()
    }
}

/// Returns the announced length of a body, or 0 if none was announced.
pub(crate) fn announced_bytes(body: &Incoming) -> usize {
    body.size_hint().lower() as usize
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerBodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerBodyError>>> {
        let body = self.get_mut();
        let frame = match &mut body.content {
            Content::Whole(bytes) => bytes.take().map(Frame::data),
            Content::Streaming(streaming) => match ready!(streaming.poll(cx)).transpose() {
                Ok(frame) => frame,
                Err(error) => return Poll::Ready(Some(Err(error))),
            },
        };
        Poll::Ready(body.check_length(frame))
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Whole(bytes) => bytes.is_none(),
            Content::Streaming(streaming) => streaming.incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Content::Streaming(streaming) => streaming.incoming.size_hint(),
        }
    }
}

/// A body that is forwarded as it arrives.
///
/// If an endpoint fails in the middle of its answer, the caller must not take the partial body
/// for the complete one. Every end other than the announced one is therefore an error, on which
/// the server closes the caller's connection without ending the body.
#[derive(Debug)]
pub(crate) struct StreamingBody {
    incoming: Incoming,
    connection: Option<Connection>,
    pool: Arc<ConnectionPool>,
    limits: BodyLimits,
    idle: Option<Pin<Box<Sleep>>>,
    /// Whether the end of the connection can't be taken for the end of the body by mistake.
    has_known_end: bool,
    monitor: Option<AnswerMonitor>,
}

impl StreamingBody {
    fn poll(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerBodyError>>> {
        let frame = loop {
            match Pin::new(&mut self.incoming).poll_frame(cx) {
                // Trailers belong to the connection to the endpoint. The HTTP server would drop them,
                // and would take them for the end of the body.
                Poll::Ready(Some(Ok(frame))) if frame.is_trailers() => {}
                Poll::Ready(frame) => break frame,
                Poll::Pending => return self.poll_idle(cx),
            }
        };
        self.idle = None;
        if frame.is_some() && Instant::now() >= self.limits.until {
            return self.fail(AnswerBodyError::Overdue);
        }
        match frame {
            Some(Ok(frame)) => {
                if let Some(connection) = &self.connection {
                    connection.guard.on_progress();
                }
                if let (Some(monitor), Some(data)) = (&mut self.monitor, frame.data_ref()) {
                    monitor.record(data);
                }
                if self.incoming.is_end_stream() {
                    self.finish(BodyEnd::Complete);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(error)) => self.fail(AnswerBodyError::Broken(error)),
            None if self.has_known_end || self.connection.is_none() => {
                self.finish(BodyEnd::Complete);
                Poll::Ready(None)
            }
            None => self.fail(AnswerBodyError::NoLength),
        }
    }

    fn poll_idle(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerBodyError>>> {
        let BodyLimits { idle, deadline, until } = self.limits;
        let idle = self.idle.get_or_insert_with(|| {
            let stalled_at = deadline.max(Instant::now() + idle);
            Box::pin(tokio::time::sleep_until(stalled_at.min(until)))
        });
        ready!(idle.as_mut().poll(cx));
        let is_overdue = Instant::now() >= until;
        self.fail(if is_overdue { AnswerBodyError::Overdue } else { AnswerBodyError::Stalled })
    }

    /// Ends the body as one that is incomplete.
    fn fail(
        &mut self,
        error: AnswerBodyError,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerBodyError>>> {
        if let Some(connection) = &self.connection {
            let execution = self.monitor.as_ref().map(|monitor| &monitor.execution.execution);
            log::warn!(
                "event=answer_broken request={} endpoint={} address={} local_port={} exchange={} \
                 error={:?}",
                execution.map_or("", |execution| &*execution.inbound.fleet_id),
                execution.map_or("", |execution| &*execution.endpoint),
                connection.address,
                connection.local_port,
                connection.exchanges,
                error.to_string()
            );
        }
        self.finish(BodyEnd::Truncated);
        Poll::Ready(Some(Err(error)))
    }

    fn finish(&mut self, end: BodyEnd) {
        let Some(connection) = self.connection.take() else { return };
        if end == BodyEnd::Complete {
            self.pool.check_in(connection);
        }
        if let Some(monitor) = self.monitor.take() {
            monitor.finish(end);
        }
    }
}

impl Drop for StreamingBody {
    fn drop(&mut self) {
        self.finish(BodyEnd::CallerGone);
    }
}

/// Reports to a shard how the body of an answer ended.
#[derive(Debug)]
pub(crate) struct AnswerMonitor {
    /// The shard.
    pub(crate) shard: Recipient<BodyEnded>,
    /// Attempt that the answer belongs to.
    pub(crate) attempt: AttemptId,
    /// Copy of the answer that is stored for duplicates of the request.
    pub(crate) copy: Option<AnswerCopy>,
    /// Execution of the request that produced the answer.
    pub(crate) execution: ExecutionMonitor,
    /// Measures the attempt.
    pub(crate) timer: AttemptTimer,
}

impl AnswerMonitor {
    fn record(&mut self, data: &Bytes) {
        let Some(copy) = &mut self.copy else { return };
        if copy.answer.body.len() + data.len() > MAX_STORED_BODY_BYTES {
            self.copy = None;
            return;
        }
        copy.answer.body.extend_from_slice(data);
    }

    fn finish(self, end: BodyEnd) {
        if end == BodyEnd::Complete && !self.execution.is_failure {
            self.timer.complete();
        }
        self.execution.finish(end);
        let stored =
            self.copy.filter(|_| end == BodyEnd::Complete).map(|copy| (copy.request, copy.answer));
        let ended = BodyEnded { attempt: self.attempt, end, stored };
        // A stopped shard doesn't track attempts.
        let _ = self.shard.tell(ended).try_send();
    }
}

/// A copy of an answer that is collected while the answer is forwarded.
#[derive(Debug)]
pub(crate) struct AnswerCopy {
    request: RequestId,
    answer: StoredAnswer,
}

impl AnswerCopy {
    /// Starts a copy of the answer to `request`.
    pub(crate) fn begin(request: RequestId, parts: &Parts) -> AnswerCopy {
        let content_type =
            parts.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok()).map(String::from);
        let answer = StoredAnswer { status: parts.status.as_u16(), content_type, body: Vec::new() };
        AnswerCopy { request, answer }
    }
}

/// Returns the response with the head of an answer and `body`.
///
/// An endpoint may answer in HTTP/1.0, which has no chunks. In that version a body without a length
/// would end with its connection, and one that has failed would look complete.
pub(crate) fn response(
    mut parts: Parts,
    framing: AnswerFraming,
    body: AnswerBody,
) -> Response<AnswerBody> {
    parts.version = Version::HTTP_11;
    framing.write_to(&mut parts.headers);
    Response::from_parts(parts, body)
}
