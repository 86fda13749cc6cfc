//! Handlers of what arrives: requests of callers and of peers, and operators' questions.

pub(crate) mod admin;
pub(crate) mod caller_check;
pub(crate) mod connection_limits;
pub(crate) mod context;
pub(crate) mod entries;
pub(crate) mod exposition;
pub(crate) mod hand_off;
pub(crate) mod listener;
pub(crate) mod local_dispatch;
pub(crate) mod peer_service;
pub(crate) mod proxy;
pub(crate) mod receive;
pub(crate) mod refusal_log;
pub(crate) mod relay_server;
