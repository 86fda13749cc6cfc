//! Datagrams between VMs, encoded with `postcard`.
