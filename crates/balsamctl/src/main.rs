//! balsamctl
fn main() {}
