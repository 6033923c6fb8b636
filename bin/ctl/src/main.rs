//! `baobabctl`, the command line for operators.

mod args;
mod audit;
mod cli;
mod declarations;
mod explain;
mod status;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("baobabctl: {error}");
            ExitCode::FAILURE
        }
    }
}
