//! The load and experiment tool.

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
