//! `lockusher-lab`.

fn main() {}
