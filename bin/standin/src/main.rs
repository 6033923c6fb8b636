//! Simulated dependencies of the routers, for tests and trials.

mod args;
mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("baobab-standin: {error}");
            ExitCode::FAILURE
        }
    }
}
