//! `baobabctl status`: a table of the routers' status.

use {
    crate::{args::StatusArgs, cli::CommandResult},
    comfy_table::Table,
    std::{net::SocketAddr, time::Duration},
};

const TIMEOUT: Duration = Duration::from_secs(2);
const COLUMNS: [&str; 7] = [
    "host",
    "domain",
    "ready",
    "draining",
    "config_version",
    "config_confirmed_ms_ago",
    "in_flight",
];

/// Prints a row for each router that responds; fails if one does not.
pub fn print(args: &StatusArgs) -> CommandResult {
    let mut table = Table::new();
    table.set_header(COLUMNS);
    let mut failures = Vec::new();
    for address in &args.routers {
        match fetch(*address) {
            Ok(status) => {
                table.add_row(COLUMNS.map(|column| text(&status[column])));
            }
            Err(error) => failures.push(format!("{address}: {error}")),
        }
    }
    println!("{table}");
    if failures.is_empty() {
        Ok(())
    } else {
        Err(failures.join("\n").into())
    }
}

fn fetch(address: SocketAddr) -> Result<serde_json::Value, attohttpc::Error> {
    attohttpc::get(format!("http://{address}/status"))
        .connect_timeout(TIMEOUT)
        .read_timeout(TIMEOUT)
        .send()?
        .json()
}

fn text(value: &serde_json::Value) -> String {
    match value {
        serde_json::Value::String(text) => text.clone(),
        serde_json::Value::Null => "never".into(),
        other => other.to_string(),
    }
}
