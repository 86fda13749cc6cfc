//! The parts of the fault matrix.

pub(crate) mod caller;
pub(crate) mod cell;
pub(crate) mod endpoint;
pub(crate) mod fault;
pub(crate) mod oracle;
pub(crate) mod relay;
pub(crate) mod step;
pub(crate) mod vm;
pub(crate) mod world;

/// Header with the identity of a request, for the endpoints' own use.
pub(crate) const ID: &str = "x-id";

/// Ends the identity of a second sending of a request.
pub(crate) const AGAIN: &str = "#again";

/// Bytes of an answer.
const PAYLOAD_BYTES: usize = 4_096;

/// Returns the one right answer to a request: its identity over and over.
pub(crate) fn payload(id: &str) -> Vec<u8> {
    format!("answer to {id};").bytes().cycle().take(PAYLOAD_BYTES).collect()
}

/// Returns the answer of an endpoint that fails a request.
pub(crate) fn failure(id: &str) -> String {
    format!("failed {id}")
}
