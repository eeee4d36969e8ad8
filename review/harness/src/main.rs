//! Runs one case of the review: `case NAME FOLDER`. The record goes to `FOLDER/record.txt`.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With the
//! environment variable `TROUBLE=0` the disruption is left out.

mod endless_body;
mod foreign_entry;
mod http;
mod stale_relay_answer;
mod store;
mod world;

use std::{env, path::Path, process};

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [name, folder] = &arguments[..] else {
        eprintln!("usage: case NAME FOLDER");
        process::exit(2);
    };
    let folder = Path::new(folder);
    match name.as_str() {
        "endless-body" => world::run(folder, endless_body::run),
        "foreign-entry" => world::run(folder, foreign_entry::run),
        "stale-relay-answer" => world::run(folder, stale_relay_answer::run),
        _ => {
            eprintln!("no such case: {name}");
            process::exit(2)
        }
    }
}
