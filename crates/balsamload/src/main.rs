//! balsamload
fn main() {}
