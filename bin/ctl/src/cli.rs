//! Command dispatch.

use {
    crate::{
        args::{Args, Command},
        audit, declarations, explain, status,
    },
    std::error::Error,
};

/// Result of a command; an error is printed and sets the exit code.
pub type CommandResult = Result<(), Box<dyn Error>>;

/// Parses the command line and runs its command.
pub fn run() -> CommandResult {
    let args: Args = argh::from_env();
    if args.version {
        println!("baobabctl {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    match args.command {
        None => Err("no command given; see --help".into()),
        Some(Command::Check(args)) => declarations::check(&args),
        Some(Command::Diff(args)) => declarations::diff(&args),
        Some(Command::Apply(args)) => declarations::apply(&args),
        Some(Command::Show(args)) => declarations::show(&args),
        Some(Command::Status(args)) => status::print(&args),
        Some(Command::Audit(args)) => audit::verify(&args),
        Some(Command::Explain(args)) => explain::print(&args),
    }
}
