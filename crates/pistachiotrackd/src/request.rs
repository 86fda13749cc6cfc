//! A request on its way: attempts at endpoints, other VMs, and the answer.

pub(crate) mod answer;
pub(crate) mod attempt;
pub(crate) mod body;
pub(crate) mod connection_budget;
pub(crate) mod crash_check;
pub(crate) mod forward;
pub(crate) mod in_flight;
pub(crate) mod length_check;
pub(crate) mod rejection;
pub(crate) mod relay_client;
pub(crate) mod request_task;
pub(crate) mod stop_monitor;
pub(crate) mod transfer_table;
