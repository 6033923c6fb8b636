//! `baobabctl check`, `diff`, `apply` and `show`.

use {
    crate::{
        args::{ApplyArgs, CheckArgs, DiffArgs, ShowArgs},
        cli::CommandResult,
    },
    baobab_conf::declarations::{
        apply_declarations, changed_lines, parse_declarations, read_active,
    },
    baobab_store::HttpStore,
    std::{error::Error, net::SocketAddr, path::Path, time::Duration},
};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Validates a declarations file.
pub fn check(args: &CheckArgs) -> CommandResult {
    read_checked(&args.file)?;
    println!("{}: no findings", args.file.display());
    Ok(())
}

/// Prints the lines that applying a file would change.
pub fn diff(args: &DiffArgs) -> CommandResult {
    let text = read_checked(&args.file)?;
    let active = read_active(&platform(args.platform))?;
    let (version, before) =
        active.map_or((0, String::new()), |active| (active.version, active.text));
    println!("against version {version}:");
    for line in changed_lines(&before, &text) {
        println!("{line}");
    }
    Ok(())
}

/// Validates and applies a declarations file.
pub fn apply(args: &ApplyArgs) -> CommandResult {
    let text = read_checked(&args.file)?;
    let version = apply_declarations(&platform(args.platform), &text, &args.by, args.expect)?;
    println!("version {version} is applied");
    Ok(())
}

/// Prints the active declarations.
pub fn show(args: &ShowArgs) -> CommandResult {
    match read_active(&platform(args.platform))? {
        Some(active) => {
            println!(
                "# version {}, applied by {}",
                active.version, active.head.applied_by
            );
            print!("{}", active.text);
            Ok(())
        }
        None => Err("no configuration has been applied yet".into()),
    }
}

fn platform(address: SocketAddr) -> HttpStore {
    HttpStore::open(address, TIMEOUT)
}

fn read_checked(path: &Path) -> Result<String, Box<dyn Error>> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| format!("{name}: {error}"))?;
    parse_declarations(&name, &text)?;
    Ok(text)
}
