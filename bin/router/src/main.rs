//! The router process.

mod args;
mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("baobab-router: {error}");
            ExitCode::FAILURE
        }
    }
}
