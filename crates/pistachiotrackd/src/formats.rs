//! Formats of what callers, endpoints and VMs send: headers, datagrams, messages between VMs.

pub(crate) mod datagram;
pub mod dialect;
pub(crate) mod forwarded_route;
pub(crate) mod framing;
pub mod gzip;
pub(crate) mod headers;
pub(crate) mod inbound;
pub(crate) mod lease_times;
pub(crate) mod peer_message;
pub mod peer_result;
pub(crate) mod reach_view;
pub(crate) mod request_body;
pub(crate) mod transferred_copy;
