//! Findings of settings and declarations, as printed for operators.

use baobab_conf::{declarations::parse_declarations, load_router_conf};

const BAD_DECLARATIONS: &str = "\
[model.assistant]
[class.question]
rank = soon
[engine.e1]
model = assistnt
domain = couva
address = 127.0.0.1
slots = 0
colour = red
[engine.e1]
model = assistant
domain = couva
address = 127.0.0.1:8000
[workspace.north]
weight = 4000
weight = 4
key_digests = abc
models = assistant, ghost
nonsense
[flet]
urgent_reserve_slots = 1
";

#[test]
fn every_error_is_reported_with_its_line() {
    let findings =
        parse_declarations("bad.ini", BAD_DECLARATIONS).expect_err("the file is invalid");
    insta::assert_snapshot!(findings.to_string());
}

#[test]
fn invalid_settings_are_reported_with_their_lines() {
    let directory = std::env::temp_dir().join("baobab-conf-findings");
    std::fs::create_dir_all(&directory).expect("the directory is writable");
    let path = directory.join("router.ini");
    let text = "\
[router]
host = r1
caller_address = nowhere
admin_address = 127.0.0.1:9
fleet_key = 12
drain_notice = 5 minutes
[platform]
address = 127.0.0.1:1
head_poll = 1
[peer.r2]
domain = couva
";
    std::fs::write(&path, text).expect("the file is writable");
    let findings = load_router_conf(&path).expect_err("the file is invalid");
    let shown = findings
        .to_string()
        .replace(&path.display().to_string(), "router.ini");
    insta::assert_snapshot!(shown);
}

#[test]
fn the_shipped_files_are_valid() {
    let resources = concat!(env!("CARGO_MANIFEST_DIR"), "/../../resources");
    let declarations = std::fs::read_to_string(format!("{resources}/declarations.ini"))
        .expect("the file is shipped");
    parse_declarations("declarations.ini", &declarations).expect("no findings");
    load_router_conf(std::path::Path::new(&format!("{resources}/router.ini")))
        .expect("no findings");
}
