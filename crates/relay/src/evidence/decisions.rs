//! Log lines of the quarantine's decisions.

use {
    baobab_quarantine::{Decision, Findings},
    baobab_unit::millis,
    log::Level,
};

/// Logs a decision with its inputs.
pub fn log_decision(decision: &Decision) {
    match decision {
        Decision::Suspected { part, findings } => {
            log_findings(
                *part,
                findings,
                "prompt part or request is suspected of crashing servers",
            );
        }
        Decision::Quarantined {
            part,
            findings,
            hold,
            level,
        } => {
            log_findings(*part, findings, "prompt part or request crashes servers");
            log::warn!(part, hold_ms = millis(*hold), level; "prompt part or request is quarantined");
        }
        Decision::Widened {
            part,
            common,
            workspaces,
        } => {
            log::warn!(part, common:?, workspaces:?; "quarantine holds more requests");
        }
        Decision::Adopted {
            part,
            common,
            workspaces,
            hold,
            level,
        } => log::warn!(
            part,
            common:?,
            workspaces:?,
            hold_ms = millis(*hold),
            level;
            "quarantined by another router"
        ),
        Decision::ProbationBegan { part } => {
            log::info!(part; "quarantine is on probation");
        }
        Decision::Cleared {
            part,
            at,
            proof,
            is_lifted,
        } => {
            let level = if *is_lifted {
                Level::Info
            } else {
                Level::Debug
            };
            log::log!(level, part, at_ms = millis(*at), proof:?, is_lifted; "prompt part or request is sound");
        }
        Decision::StillCleared { part, at, proof } => {
            log::info!(part, at_ms = millis(*at), proof:?; "another router quarantines what is sound");
        }
        Decision::Forgotten { part } => log::info!(part; "quarantine has ended"),
        Decision::Displaced { part } => {
            log::warn!(part; "quarantine has ended because there are too many");
        }
    }
}

fn log_findings(part: u64, findings: &Findings, message: &str) {
    log::info!(
        part,
        crashes = findings.crashes,
        all_crashes = findings.all_crashes,
        servers = findings.servers,
        requests = findings.requests,
        server_crashes = findings.server_crashes,
        independent_crashes = findings.independent_crashes,
        workspaces:? = findings.workspaces,
        common:? = findings.common,
        is_one_content = findings.is_one_content,
        was_sound = findings.was_sound,
        is_circumstantial = findings.is_circumstantial;
        "{message}"
    );
}
