//! Plays the scripts of the review: the router's own program between small stand-ins.

mod engine;
mod forgotten;
mod gateway;
mod http;
mod idle;
mod json;
mod late_write;
mod record;
mod restored;
mod site;
mod store;
mod streams;
mod upgrade;

use record::Record;
use std::{
    env, fs,
    panic::{self, AssertUnwindSafe},
    process::ExitCode,
    thread,
    time::Duration,
};

/// A case may take at most 120 seconds.
const LIMIT: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, record_path] = arguments.as_slice() else {
        eprintln!("usage: review-standin CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    thread::spawn(|| {
        thread::sleep(LIMIT);
        eprintln!("the case takes too long");
        gateway::kill_all();
        std::process::exit(2);
    });
    let directory = env::temp_dir().join(format!("baobab-review-{}", std::process::id()));
    let path = directory.to_string_lossy().into_owned();
    let record = Record::new();
    record.say(format!("case {case}, with trouble: {has_trouble}"));
    let play = || match case.as_str() {
        "forgotten" => forgotten::run(&record, &path, has_trouble),
        "restored" => restored::run(&record, &path, has_trouble),
        "idle" => idle::run(&record, &path, has_trouble),
        "late-write" => late_write::run(&record, &path, has_trouble),
        "upgrade" => upgrade::run(&record, &path, has_trouble),
        _ => Err(format!("no case {case}")),
    };
    let result = panic::catch_unwind(AssertUnwindSafe(play))
        .unwrap_or_else(|_| Err("a step has failed".to_owned()));
    let code = match &result {
        Ok(true) => {
            record.say("the rule held");
            0
        }
        Ok(false) => {
            record.say("the rule was broken");
            1
        }
        Err(reason) => {
            record.say(format!("the case could not run: {reason}"));
            2
        }
    };
    record.write(record_path);
    if env::var_os("KEEP").is_none() {
        let _ = fs::remove_dir_all(directory);
    }
    ExitCode::from(code)
}
