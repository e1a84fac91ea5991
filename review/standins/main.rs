//! Runs one case: `cases NAME`. `TROUBLE=0` leaves out the disruption.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
//! not run.

mod deployment;
mod disk_full;
mod drain_queue;
mod fleet;
mod foreign_beat;
mod http;
mod idle_connections;
mod many_changes;
mod operator;
mod scale_in;
mod server;
mod slow_reader;
mod three_cores;
mod upload_memory;

use std::{path::PathBuf, process::exit, thread, time::Duration};

/// The longest time that a case may take.
const LIMIT: Duration = Duration::from_secs(118);

fn main() {
    let name = std::env::args().nth(1).unwrap_or_default();
    let folder = PathBuf::from(std::env::args().nth(2).unwrap_or_else(|| ".".to_owned()));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    thread::spawn(|| {
        thread::sleep(LIMIT);
        println!("the case took too long");
        fleet::clean_up();
        exit(2);
    });
    let record = fleet::Record::create(&folder.join("record.txt"));
    let broken = match name.as_str() {
        "disk-full" => disk_full::run(&record, trouble),
        "foreign-beat" => foreign_beat::run(&record, trouble),
        "upload-memory" => upload_memory::run(&record, trouble),
        "many-changes" => many_changes::run(&record, trouble),
        "scale-in" => scale_in::run(&record, trouble),
        "drain-queue" => drain_queue::run(&record, trouble),
        "slow-reader" => slow_reader::run(&record, trouble),
        "three-cores" => three_cores::run(&record, trouble),
        "idle-connections" => idle_connections::run(&record, trouble),
        _ => fleet::fail("no such case"),
    };
    record.note(if broken {
        "the rule was broken"
    } else {
        "the rule held"
    });
    exit(i32::from(broken));
}
