//! What a stand-in caller asks for and what a whole answer to it looks like.
//!
//! Every request carries an identity of its own, and the answer's body follows
//! from that identity alone, so a caller can tell whether the answer is whole
//! and its own.

use bytes::Bytes;

/// Request header: identity of a piece of work, chosen by the caller.
pub const WORK_ID: &str = "x-work-id";
/// Answer header: time that the endpoint worked on the request.
pub const SERVICE_US: &str = "x-service-us";
/// Answer header: endpoint that did the work.
pub const WORKED_BY: &str = "x-worked-by";

/// Size of an answer's body.
pub const BODY_BYTES: usize = 1024;

/// Identifies a piece of work in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WorkId(pub u64);

impl WorkId {
    /// Parses the value of [`WORK_ID`].
    pub fn parse(text: &str) -> Option<WorkId> {
        text.parse().ok().map(WorkId)
    }
}

/// Returns the body of the answer to a piece of work.
pub fn answer_body(id: WorkId) -> Bytes {
    let mut body = format!("{} {BODY_BYTES}\n", id.0).into_bytes();
    let mut state = id.0 ^ 0x9e37_79b9_7f4a_7c15;
    while body.len() < BODY_BYTES {
        state = state.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f);
        body.extend_from_slice(&state.to_be_bytes()[..4]);
    }
    body.truncate(BODY_BYTES);
    Bytes::from(body)
}

/// Returns whether a body is the whole answer to a piece of work.
pub fn is_answer_to(id: WorkId, body: &[u8]) -> bool {
    body == answer_body(id)
}
