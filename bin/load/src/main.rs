//! Load generator for the routers: generates and replays traces, and measures costs by size.

mod args;
mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("baobab-load: {error}");
            ExitCode::FAILURE
        }
    }
}
