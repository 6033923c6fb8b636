//! Audit chains: tampering and outages of the store.

use {
    baobab_audit::{Decision, Journal, audit_key, verify},
    baobab_store::{Faults, MemoryStore, ObjectStore},
};

const BATCHES: u64 = 4;

type Tamper = fn(&MemoryStore);

fn decision(number: u64) -> Decision {
    Decision::Granted {
        request: format!("r-{number}"),
        engine: "e1".into(),
    }
}

fn chain_key() -> [u8; 32] {
    audit_key(&[7; 32])
}

fn closed_chain() -> MemoryStore {
    let platform = MemoryStore::default();
    let mut journal = Journal::open(chain_key(), "host-a", 5);
    for number in 0..BATCHES {
        journal.add(number, decision(number));
        journal.flush(&platform, false).expect("the store works");
    }
    journal.flush(&platform, true).expect("the store works");
    platform
}

fn object_key(platform: &MemoryStore, index: usize) -> String {
    platform.list("audit/").expect("the store works")[index].clone()
}

#[test]
fn an_unaltered_chain_has_no_findings() {
    let report = verify(&closed_chain(), &chain_key(), "audit/").expect("the store works");
    assert_eq!(report.findings, []);
    assert_eq!(report.batches, BATCHES + 1);
    assert!(report.open_chains.is_empty());
}

#[test]
fn tampering_is_reported() {
    let tamperings: [(&str, Tamper, &str); 5] = [
        (
            "a record is altered",
            |platform| {
                let name = object_key(platform, 1);
                let text = read_text(platform, &name).replace("r-1", "r-9");
                platform.overwrite(&name, text.into_bytes());
            },
            "altered",
        ),
        (
            "a batch is removed",
            |platform| platform.remove(&object_key(platform, 2)),
            "batch 2 is missing",
        ),
        (
            "a batch is cut short",
            |platform| {
                let name = object_key(platform, 1);
                let text = read_text(platform, &name);
                platform.overwrite(&name, text.as_bytes()[..text.len() / 2].to_vec());
            },
            "cut short",
        ),
        (
            "a batch is replaced by a copy of another",
            |platform| {
                let text = read_text(platform, &object_key(platform, 1));
                platform.overwrite(&object_key(platform, 2), text.into_bytes());
            },
            "another key",
        ),
        (
            "the chain is rewritten with another key",
            |platform| {
                let mut journal = Journal::open(audit_key(&[8; 32]), "host-a", 5);
                journal.add(0, decision(0));
                journal.flush(platform, true).expect("the store works");
            },
            "altered",
        ),
    ];
    for (name, tamper, expected) in tamperings {
        let platform = closed_chain();
        tamper(&platform);
        let report = verify(&platform, &chain_key(), "audit/").expect("the store works");
        assert!(
            report
                .findings
                .iter()
                .any(|finding| finding.message.contains(expected)),
            "{name}: {:?}",
            report.findings
        );
    }
}

#[test]
fn an_outage_delays_records_and_counts_those_dropped() {
    let platform = MemoryStore::default();
    let mut journal = Journal::open(chain_key(), "host-a", 5);
    platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    for number in 0..30_000 {
        journal.add(number, decision(number));
    }
    assert!(journal.flush(&platform, false).is_err());
    platform.set_faults(Faults::default());
    journal.flush(&platform, true).expect("the store works");
    let report = verify(&platform, &chain_key(), "audit/").expect("the store works");
    assert_eq!(report.findings, []);
    assert_eq!(report.records.len() as u64 + report.dropped, 30_000);
    assert_eq!(report.dropped, 10_000);
}

fn read_text(platform: &MemoryStore, name: &str) -> String {
    let bytes = platform.get(name).expect("the store works");
    String::from_utf8(bytes.expect("the object exists")).expect("the batch is text")
}
