//! When what a router knows may be outdated, and when it no longer is.

use {
    baobab_origin::{Contact, Standing},
    std::time::Duration,
};

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against routers that trust what they knew before they stood still or were cut off.
#[test]
fn a_router_that_was_out_of_step_knows_versions_again_by_rows_requested_since() {
    // Steps, and rows by the time of their request, with whether knowledge is outdated after each.
    enum Event {
        Step(u64, bool, Standing, bool),
        Rows(u64, bool),
    }
    use Event::{Rows, Step};
    use Standing::{CutOff, InStep, StoodStill};
    for events in [
        &[
            Step(0, true, InStep, false),
            Step(100, true, InStep, false),
            Step(1_100, true, InStep, false),
        ][..],
        &[
            Step(0, true, InStep, false),
            Step(3_000, true, StoodStill, true),
            Rows(2_999, true),
            Step(3_100, true, InStep, true),
            Rows(3_000, false),
            Step(3_200, true, InStep, false),
        ],
        &[
            Step(0, false, CutOff, true),
            Step(100, false, CutOff, true),
            Rows(50, true),
            Rows(100, false),
            Step(200, false, CutOff, true),
            Step(300, true, InStep, true),
            Rows(300, false),
        ],
    ] {
        let mut contact = Contact::default();
        for event in events {
            match *event {
                Step(now, hears_fleet, standing, is_outdated) => {
                    assert_eq!(contact.step(hears_fleet, at(now)), standing, "at {now}");
                    assert_eq!(contact.is_outdated(), is_outdated, "at {now}");
                }
                Rows(requested_at, is_outdated) => {
                    contact.on_rows(at(requested_at));
                    assert_eq!(contact.is_outdated(), is_outdated, "rows of {requested_at}");
                }
            }
        }
    }
}
