//! `baobabctl audit`: verifies the audit chains.

use {
    crate::{args::AuditArgs, cli::CommandResult},
    baobab_audit::audit_key,
    baobab_conf::load_router_conf,
    baobab_store::HttpStore,
    std::time::Duration,
};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Verifies the audit chains and prints the records of a request.
pub fn verify(args: &AuditArgs) -> CommandResult {
    let conf = load_router_conf(&args.conf)?;
    let platform = HttpStore::open(args.platform, TIMEOUT);
    let prefix = if args.host.is_empty() {
        "audit/".to_owned()
    } else {
        format!("audit/{}/", args.host)
    };
    let report = baobab_audit::verify(&platform, &audit_key(&conf.fleet_key), &prefix)?;
    println!(
        "{} batches, {} records, {} records dropped by their hosts, {} chains not closed",
        report.batches,
        report.records.len(),
        report.dropped,
        report.open_chains.len()
    );
    if let Some(request) = &args.request {
        for record in &report.records {
            let json = serde_json::to_string(record)?;
            if json.contains(&format!("\"request\":\"{request}\"")) {
                println!("{json}");
            }
        }
    }
    for finding in &report.findings {
        println!("{finding}");
    }
    if report.findings.is_empty() {
        Ok(())
    } else {
        Err(format!("{} finding(s)", report.findings.len()).into())
    }
}
