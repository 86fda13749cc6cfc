//! Placeholder until the thin path lands.

fn main() {}
