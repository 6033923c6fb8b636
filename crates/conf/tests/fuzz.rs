//! Random declarations never panic the parser, and every finding has a valid line.

use {
    baobab_conf::declarations::parse_declarations,
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
};

fn config() -> Config {
    let cases = std::env::var("FUZZ_CASES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(1000);
    Config {
        cases,
        rng_seed: RngSeed::Fixed(23),
        failure_persistence: None,
        ..Config::default()
    }
}

fn line() -> impl Strategy<Value = String> {
    prop_oneof![
        "\\[(model|class|engine|workspace|service|fleet|)\\.?[a-z]{0,3}\\]?",
        "(weight|slots|model|models|address|addresses|rank|key_digests) ?= ?.{0,12}",
        ".{0,20}",
    ]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn every_finding_names_a_line_of_the_file(lines in prop::collection::vec(line(), 0..30)) {
        let text = lines.join("\n");
        if let Err(findings) = parse_declarations("random.ini", &text) {
            for finding in findings.list() {
                let count = u32::try_from(text.split(['\n', '\r']).count()).unwrap_or(u32::MAX);
                prop_assert!((1..=count.max(1)).contains(&finding.line), "{}", finding);
            }
        }
    }
}
