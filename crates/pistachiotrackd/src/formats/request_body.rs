//! Bodies of requests sent to endpoints and to other VMs.

use std::{
    pin::Pin,
    sync::{Mutex, PoisonError},
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use pistachiotrack_core::hash;

/// Why a body could not be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RequestBodyError {
    /// The body is larger than allowed.
    #[error("body is larger than {limit_bytes} bytes")]
    TooLarge {
        /// Maximum length in bytes.
        limit_bytes: u64,
    },
    /// The connection failed.
    #[error("reading the body failed: {0}")]
    Broken(#[from] hyper::Error),
}

/// Body of a request for a single exchange.
#[derive(Debug)]
pub(crate) enum SendBody {
    /// A whole body in memory.
    Whole(Option<Bytes>),
    /// A body of which only the start is in memory.
    Streamed(Box<StreamedBody>),
}

/// A body of which only the start is in memory.
#[derive(Debug)]
pub(crate) struct StreamedBody {
    start: Option<Bytes>,
    rest: Incoming,
    left_bytes: u64,
    limit_bytes: u64,
}

impl Body for SendBody {
    type Data = Bytes;
    type Error = RequestBodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RequestBodyError>>> {
        match self.get_mut() {
            SendBody::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            SendBody::Streamed(streamed) => streamed.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            SendBody::Whole(bytes) => bytes.is_none(),
            SendBody::Streamed(streamed) => {
                streamed.start.is_none() && streamed.rest.is_end_stream()
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            SendBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            SendBody::Streamed(streamed) => streamed.size_hint(),
        }
    }
}

impl StreamedBody {
    fn poll(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RequestBodyError>>> {
        if let Some(start) = self.start.take() {
            return Poll::Ready(Some(Ok(Frame::data(start))));
        }
        let frame = std::task::ready!(Pin::new(&mut self.rest).poll_frame(cx));
        if let Some(Ok(frame)) = &frame {
            let bytes = frame.data_ref().map_or(0, |data| data.len() as u64);
            let Some(left_bytes) = self.left_bytes.checked_sub(bytes) else {
                let limit_bytes = self.limit_bytes;
                return Poll::Ready(Some(Err(RequestBodyError::TooLarge { limit_bytes })));
            };
            self.left_bytes = left_bytes;
        }
        Poll::Ready(frame.map(|frame| frame.map_err(RequestBodyError::from)))
    }

    fn size_hint(&self) -> SizeHint {
        let start_bytes = self.start.as_ref().map_or(0, |start| start.len() as u64);
        match self.rest.size_hint().exact() {
            Some(rest_bytes) => SizeHint::with_exact(start_bytes + rest_bytes),
            None => SizeHint::default(),
        }
    }
}

/// Body of a request as received from the caller.
///
/// A body in memory can be sent any number of times, a streamed one once.
#[derive(Debug)]
pub(crate) enum RequestBody {
    /// A whole body in memory.
    Whole(Option<Bytes>),
    /// A body that can be sent once.
    Once {
        /// The body, until it is sent.
        body: Mutex<Option<SendBody>>,
        /// Hash of its announced length.
        length_digest: u64,
    },
}

/// Limits of a request's body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits {
    /// Maximum length of a body.
    pub(crate) body_bytes: u64,
    /// Maximum length of a body that is kept in memory.
    pub(crate) buffered_bytes: usize,
}

impl RequestBody {
    /// Reads a small body completely, so that no slot of an endpoint waits for a slow caller. Of
    /// a larger body only the start is read. A caller may pause for as long as it gives its request.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is too large or can't be read.
    pub(crate) async fn read(
        mut incoming: Incoming,
        limits: BodyLimits,
    ) -> Result<RequestBody, RequestBodyError> {
        let limit_bytes = limits.body_bytes;
        if incoming.is_end_stream() {
            return Ok(RequestBody::Whole(None));
        }
        if incoming.size_hint().lower() > limit_bytes {
            return Err(RequestBodyError::TooLarge { limit_bytes });
        }
        let mut start = BytesMut::new();
        if incoming.size_hint().lower() <= limits.buffered_bytes as u64 {
            while start.len() <= limits.buffered_bytes {
                let Some(frame) = incoming.frame().await.transpose()? else {
                    return Ok(RequestBody::Whole(Some(start.freeze())));
                };
                if let Ok(data) = frame.into_data() {
                    start.extend_from_slice(&data);
                }
            }
        }
        let Some(left_bytes) = limit_bytes.checked_sub(start.len() as u64) else {
            return Err(RequestBodyError::TooLarge { limit_bytes });
        };
        let start = (!start.is_empty()).then(|| start.freeze());
        let streamed = StreamedBody { start, rest: incoming, left_bytes, limit_bytes };
        let length_digest = hash::fnv(&streamed.size_hint().lower().to_le_bytes());
        let body = Mutex::new(Some(SendBody::Streamed(Box::new(streamed))));
        Ok(RequestBody::Once { body, length_digest })
    }

    /// Takes the body for one exchange; `None` if it has been sent already and can't be sent
    /// again.
    pub(crate) fn take(&self) -> Option<SendBody> {
        match self {
            RequestBody::Whole(bytes) => Some(SendBody::Whole(bytes.clone())),
            RequestBody::Once { body, .. } => {
                body.lock().unwrap_or_else(PoisonError::into_inner).take()
            }
        }
    }

    /// Restores a body of which no byte was sent.
    pub(crate) fn restore(&self, body: SendBody) {
        if let RequestBody::Once { body: slot, .. } = self {
            *slot.lock().unwrap_or_else(PoisonError::into_inner) = Some(body);
        }
    }

    /// Returns the length of the body, or of the part that is known before it is sent.
    pub(crate) fn announced_bytes(&self) -> usize {
        match self {
            RequestBody::Whole(bytes) => bytes.as_ref().map_or(0, Bytes::len),
            RequestBody::Once { body, .. } => {
                let body = body.lock().unwrap_or_else(PoisonError::into_inner);
                body.as_ref().map_or(0, |body| body.size_hint().lower() as usize)
            }
        }
    }

    /// Returns a hash of the body, or of its length if it isn't kept in memory.
    pub(crate) fn digest(&self) -> u64 {
        match self {
            RequestBody::Whole(bytes) => hash::fnv(bytes.as_deref().unwrap_or_default()),
            RequestBody::Once { length_digest, .. } => *length_digest,
        }
    }

    /// Returns whether the body can be sent any number of times.
    pub(crate) fn is_repeatable(&self) -> bool {
        matches!(self, RequestBody::Whole(_))
    }

    /// Returns whether the body can be sent again, or has not been sent yet.
    pub(crate) fn is_available(&self) -> bool {
        match self {
            RequestBody::Whole(_) => true,
            RequestBody::Once { body, .. } => {
                body.lock().unwrap_or_else(PoisonError::into_inner).is_some()
            }
        }
    }
}
