//! Counts of arrived requests, as they are reported in the logs.

use baobab_overload::{Arrivals, Counts};

#[test]
fn nothing_is_reported_unless_a_request_was_refused() {
    let mut arrivals = Arrivals::default();
    arrivals.on_request(1, false);
    assert!(arrivals.take_report().is_empty());
    arrivals.on_request(2, true);
    let counts = Counts {
        arrived: 1,
        refused: 1,
    };
    assert_eq!(arrivals.take_report(), [(2, counts)]);
    assert!(arrivals.take_report().is_empty());
}

#[test]
fn a_report_names_the_five_workspaces_with_most_requests() {
    let mut arrivals = Arrivals::default();
    for workspace in 1..=9 {
        for request in 0..workspace {
            arrivals.on_request(workspace, request == 0);
        }
    }
    let report = arrivals.take_report();
    let reported: Vec<_> = report
        .iter()
        .map(|(workspace, counts)| (*workspace, counts.arrived, counts.refused))
        .collect();
    assert_eq!(
        reported,
        [(9, 9, 1), (8, 8, 1), (7, 7, 1), (6, 6, 1), (5, 5, 1)]
    );
}
