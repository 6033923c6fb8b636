//! `baobabctl check`, `diff`, `apply` and `show`.

use {
    crate::{
        args::{ApplyArgs, CheckArgs, DiffArgs, ShowArgs},
        cli::Outcome,
    },
    baobab_conf::declarations::{apply_text, changed_lines, parse_declarations, read_in_force},
    baobab_store::HttpStore,
    std::{error::Error, net::SocketAddr, path::Path, time::Duration},
};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Checks a file.
pub fn check(args: &CheckArgs) -> Outcome {
    read_checked(&args.file)?;
    println!("{}: no findings", args.file.display());
    Ok(())
}

/// Prints the lines that a file would change.
pub fn diff(args: &DiffArgs) -> Outcome {
    let text = read_checked(&args.file)?;
    let in_force = read_in_force(&platform(args.platform))?;
    let (version, before) =
        in_force.map_or((0, String::new()), |found| (found.version, found.text));
    println!("against version {version}:");
    for line in changed_lines(&before, &text) {
        println!("{line}");
    }
    Ok(())
}

/// Applies a file.
pub fn apply(args: &ApplyArgs) -> Outcome {
    let text = read_checked(&args.file)?;
    let version = apply_text(&platform(args.platform), &text, &args.by, args.expect)?;
    println!("version {version} is applied");
    Ok(())
}

/// Prints what is in force.
pub fn show(args: &ShowArgs) -> Outcome {
    match read_in_force(&platform(args.platform))? {
        Some(found) => {
            println!(
                "# version {}, applied by {}",
                found.version, found.head.applied_by
            );
            print!("{}", found.text);
            Ok(())
        }
        None => Err("no configuration was applied yet".into()),
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
