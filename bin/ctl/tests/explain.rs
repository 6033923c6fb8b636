//! `baobabctl explain` finds the cause of a failed request in the logs of several routers.

use std::{env, fs, process::Command};

fn line(time: &str, message: &str, kvs: &str) -> String {
    format!(
        "{{\"timestamp\":\"2026-03-02T15:40:{time}+00:00\",\"level\":\"INFO\",\"message\":\"{message}\",\"kvs\":{{{kvs}}}}}\n"
    )
}

fn explain(id: &str, logs: &[String]) -> (bool, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_baobabctl"));
    command.args(["explain", id]);
    for (index, log) in logs.iter().enumerate() {
        let path = env::temp_dir().join(format!("explain-{}-{id}-{index}.log", std::process::id()));
        fs::write(&path, log).unwrap();
        command.arg(path);
    }
    let output = command.output().unwrap();
    (
        output.status.success(),
        String::from_utf8_lossy(&output.stdout).into_owned(),
    )
}

#[test]
fn each_kind_of_failure_is_explained() {
    let congested = line(
        "01.5",
        "no engine would answer on time",
        "\"id\":\"a1\",\"late\":11,\"full\":7,\"out_of_memory\":0,\"least_queue_ms\":240,\"objective_ms\":400",
    );
    let refused = |reason: &str| {
        line(
            "02.0",
            "request is refused",
            &format!("\"id\":\"a1\",\"reason\":\"{reason}\""),
        )
    };
    let sent = line(
        "01.0",
        "request is sent",
        "\"id\":\"a1\",\"server\":\"i-7\",\"attempt\":1",
    );
    let cases = [
        (
            congested + &refused("busy"),
            "not run: no engine would have answered on time: 11 engines late, 7 full",
        ),
        (
            refused("servers_backing_off"),
            "not run: all servers of its service had asked for no requests",
        ),
        (
            refused("configuration_unconfirmed"),
            "not run: the store confirmed the configuration longer ago",
        ),
        (
            sent.clone() + &refused("server_failed"),
            "it may have run: a server failed or broke off",
        ),
        (
            sent.clone()
                + &line(
                    "03.0",
                    "stream breaks off",
                    "\"id\":\"a1\",\"reason\":\"connection reset\"",
                ),
            "the stream broke off and was not resumed: connection reset",
        ),
        (
            sent.clone() + &line("03.0", "caller has left", "\"id\":\"a1\""),
            "the caller left",
        ),
        (sent, "the router ended"),
    ];
    for (log, expected) in cases {
        let (is_found, text) = explain("a1", &[log]);
        assert!(is_found);
        let cause = text.lines().last().unwrap();
        assert!(cause.contains(expected), "{cause} is not: {expected}");
    }
}

#[test]
fn lines_of_several_routers_are_sorted_by_time() {
    let first = "edge-1 ".to_owned()
        + &line(
            "01.0",
            "request is sent",
            "\"id\":\"b2\",\"server\":\"i-1\"",
        );
    let second = "edge-2 ".to_owned()
        + &line(
            "00.5",
            "request is refused",
            "\"id\":\"b2\",\"reason\":\"stopping\"",
        );
    let other = line("00.1", "request is sent", "\"id\":\"other\"");
    let (_, text) = explain("b2", &[first + "torn {\"timestamp\n", second + &other]);
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 3);
    assert!(lines[0].contains("edge-2") && lines[1].contains("edge-1"));
}

#[test]
fn an_unknown_id_is_an_error() {
    let (is_found, _) = explain("c3", &[line("01.0", "request is sent", "\"id\":\"other\"")]);
    assert!(!is_found);
}
