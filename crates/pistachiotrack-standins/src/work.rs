//! Requests of the stand-in callers and their expected answers.
//!
//! Every request has a unique id, and the answer's body is a function of that id, so a caller
//! can check that an answer is complete and belongs to its request.

use bytes::Bytes;

/// Request header: id of a piece of work, chosen by the caller.
pub const WORK_ID: &str = "x-work-id";
/// Answer header: service time at the endpoint, in microseconds.
pub const SERVICE_US: &str = "x-service-us";
/// Answer header: endpoint that ran the request.
pub const WORKED_BY: &str = "x-worked-by";

/// Size of an answer's body, in bytes.
pub const BODY_BYTES: usize = 1024;

/// Id of a piece of work, unique in a run.
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

/// Returns whether a body is the complete answer to a piece of work.
pub fn is_answer_to(id: WorkId, body: &[u8]) -> bool {
    body == answer_body(id)
}
