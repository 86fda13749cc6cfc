//! Compares the body of an answer with the length that its head announces.

/// The body of an answer has another length than its head announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the head announces {announced_bytes} bytes, the body has {body_bytes}")]
pub(crate) struct LengthMismatch {
    /// Length that the head announces.
    pub(crate) announced_bytes: u64,
    /// Bytes of the body so far.
    pub(crate) body_bytes: u64,
}

/// Counts the bytes of a body whose length was announced.
///
/// The HTTP server ends a body at the announced length and drops the rest without an error.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LengthCheck {
    announced_bytes: u64,
    body_bytes: u64,
}

impl LengthCheck {
    /// Creates the check of a body with an announced length.
    pub(crate) fn new(announced_bytes: u64) -> LengthCheck {
        LengthCheck { announced_bytes, body_bytes: 0 }
    }

    /// Counts further bytes of the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is longer than announced.
    pub(crate) fn on_data(&mut self, bytes: usize) -> Result<(), LengthMismatch> {
        self.body_bytes += bytes as u64;
        self.check(self.body_bytes <= self.announced_bytes)
    }

    /// Checks the length at the end of the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is shorter than announced.
    pub(crate) fn on_end(&self) -> Result<(), LengthMismatch> {
        self.check(self.body_bytes == self.announced_bytes)
    }

    fn check(&self, is_consistent: bool) -> Result<(), LengthMismatch> {
        let LengthCheck { announced_bytes, body_bytes } = *self;
        if is_consistent { Ok(()) } else { Err(LengthMismatch { announced_bytes, body_bytes }) }
    }
}
