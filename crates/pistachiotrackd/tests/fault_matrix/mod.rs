//! Modules of the fault matrix.

pub(crate) mod caller;
pub(crate) mod cell;
pub(crate) mod endpoint;
pub(crate) mod fault;
pub(crate) mod link;
pub(crate) mod oracle;
pub(crate) mod step;
pub(crate) mod testbed;
pub(crate) mod vm;

/// Header with the ID of a request, which only the fake endpoints read.
pub(crate) const ID_HEADER: &str = "x-id";

/// Suffix of the ID of a request that is sent for the second time.
pub(crate) const REPEAT_SUFFIX: &str = "#again";

/// Size of the body of a successful answer.
const PAYLOAD_BYTES: usize = 4_096;

/// Returns the body of the only correct answer to a request, which repeats its ID.
pub(crate) fn payload(id: &str) -> Vec<u8> {
    format!("answer to {id};").bytes().cycle().take(PAYLOAD_BYTES).collect()
}

/// Returns the body of the answer of an endpoint that fails a request.
pub(crate) fn failure_body(id: &str) -> String {
    format!("failed {id}")
}
